// Package server is a stand-in for a backend server. It runs parts on a limited
// number of slots, within a connection limit, and injects faults on demand. It
// counts each run, so that tests can detect a request that ran twice.
package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/standin/network"
	"daisystage.example/daisystage/internal/wire/backendapi"
)

// Settings configures a Server.
type Settings struct {
	Name            string `json:"name"`
	Service         string `json:"service"`
	Zone            string `json:"zone"`
	Address         string `json:"address"`
	Slots           int    `json:"slots"`
	ConnectionLimit int    `json:"connection_limit"`
	// ConnectDelay delays each new connection.
	ConnectDelay time.Duration `json:"-"`
	// MeanPartTime is the mean run time of one part.
	MeanPartTime time.Duration `json:"-"`
	// MaxQueued is the number of parts that may wait for a slot; further ones are
	// shed.
	MaxQueued int `json:"-"`
	// WarmUp is the warm-up time after the start, during which parts take
	// warmUpFactor times as long.
	WarmUp time.Duration `json:"-"`
	// Shards maps each snapshot to the shards of it that the server holds; nil
	// means all shards of all snapshots.
	Shards map[string][]string `json:"-"`
}

// Defaults returns the settings of the teacher app's servers.
func (Settings) Defaults() Settings {
	return Settings{
		Slots: 2, ConnectionLimit: 25, ConnectDelay: 6 * time.Millisecond,
		MeanPartTime: 4 * time.Millisecond, MaxQueued: 64,
	}
}

// warmUpFactor multiplies the run time of parts during the warm-up.
const warmUpFactor = 3

// Faults selects the faults that a server injects.
type Faults struct {
	// Slowdown multiplies the run time of each part; 0 means 1.
	Slowdown float64 `json:"straggle"`
	// CrashOn crashes the server when a query contains this text.
	CrashOn string `json:"crash_on"`
	// SwapAnswers returns the answer to another request, SwapShards the answer
	// of another shard.
	SwapAnswers bool `json:"swap_answers"`
	SwapShards  bool `json:"swap_shards"`
	// Corrupt changes one byte of each answer's body but not its digest.
	Corrupt bool `json:"corrupt"`
	// Truncate shortens each answer's body but not its stated length and
	// digest.
	Truncate bool `json:"truncate"`
	// LoseSnapshot names a snapshot that the server no longer holds.
	LoseSnapshot string `json:"lose_snapshot"`
	// OtherSnapshot answers from the named snapshot instead of the requested
	// one.
	OtherSnapshot string `json:"other_snapshot"`
	// Late delays each answer until after its deadline.
	Late bool `json:"late"`
	// Shed refuses all parts.
	Shed bool `json:"shed"`
	// Drain refuses new parts and reports draining as the health.
	Drain bool `json:"drain"`
	// HideDrain reports ready as the health while draining.
	HideDrain bool `json:"hide_drain"`
	// ClaimDrain reports draining as the health but still runs parts.
	ClaimDrain bool `json:"claim_drain"`
	// ReportLoad, if set, is reported as the number of parts in flight, with
	// none queued.
	ReportLoad *int `json:"report_load"`
}

// Server is one backend server. Make one with New.
type Server struct {
	Settings Settings
	// Crash stops the server. It must be set before the first part.
	Crash func()

	startedAt time.Time
	slots     chan struct{}
	lock      sync.Mutex
	faults    Faults
	inFlight  int
	queued    int
	runs      map[string]int
	total     int
	random    *rand.Rand
}

// New returns a server whose warm-up starts at now.
func New(now time.Time, settings Settings) *Server {
	seed := xxhash.Sum64String(settings.Name)
	return &Server{
		Settings:  settings,
		Crash:     func() {},
		startedAt: now,
		slots:     make(chan struct{}, settings.Slots),
		runs:      map[string]int{},
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the injected faults.
func (sr *Server) SetFaults(faults Faults) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.faults = faults
}

// Runs returns the number of runs of each part, with keys of the form
// "request-id shard".
func (sr *Server) Runs() map[string]int {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	runs := make(map[string]int, len(sr.runs))
	for id, count := range sr.runs {
		runs[id] = count
	}
	return runs
}

// Total returns the number of parts run.
func (sr *Server) Total() int {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	return sr.total
}

func (sr *Server) currentFaults() Faults {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	return sr.faults
}

// refusal is the error of a part that the server refused.
type refusal struct {
	code   backendapi.RefusalCode
	notRun bool
	reason string
}

// Error implements error.
func (rf refusal) Error() string { return rf.reason }

// RunPart implements backendapi.Handler.
func (sr *Server) RunPart(ctx context.Context, pt *backendapi.Part) (*backendapi.PartAnswer, error) {
	faults := sr.currentFaults()
	if err := sr.checkPart(faults, pt); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(time.Duration(pt.DeadlineMs) * time.Millisecond)
	if err := sr.takeSlot(ctx, deadline); err != nil {
		return nil, err
	}
	defer sr.freeSlot()
	sr.countRun(pt)
	if faults.CrashOn != "" && strings.Contains(string(pt.Query), faults.CrashOn) {
		sr.Crash()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	took := sr.drawPartTime(faults)
	if faults.Late {
		took = time.Until(deadline) + time.Millisecond
	}
	if err := network.Sleep(ctx, took); err != nil {
		return nil, err
	}
	return sr.answer(faults, pt), nil
}

func (sr *Server) checkPart(faults Faults, pt *backendapi.Part) error {
	switch {
	case faults.Drain:
		return refusal{backendapi.RefusalCodeDraining, true, "the server is draining"}
	case faults.Shed:
		return refusal{backendapi.RefusalCodeShed, true, "the server sheds load"}
	case faults.LoseSnapshot == pt.Snapshot || !sr.holdsShard(pt.Snapshot, pt.Shard):
		return refusal{backendapi.RefusalCodeSnapshotLost, true, "the snapshot is not held here"}
	}
	return nil
}

func (sr *Server) holdsShard(snapshot, shard string) bool {
	if sr.Settings.Shards == nil {
		return true
	}
	for _, name := range sr.Settings.Shards[snapshot] {
		if name == shard {
			return true
		}
	}
	return false
}

func (sr *Server) takeSlot(ctx context.Context, deadline time.Time) error {
	sr.lock.Lock()
	if sr.queued >= sr.Settings.MaxQueued {
		sr.lock.Unlock()
		return refusal{backendapi.RefusalCodeShed, true, "the queue is full"}
	}
	sr.queued++
	sr.lock.Unlock()
	defer func() {
		sr.lock.Lock()
		sr.queued--
		sr.lock.Unlock()
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case sr.slots <- struct{}{}:
		sr.lock.Lock()
		sr.inFlight++
		sr.lock.Unlock()
		return nil
	case <-timer.C:
		return refusal{backendapi.RefusalCodeDeadlinePassed, true, "the deadline passed in the queue"}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (sr *Server) freeSlot() {
	sr.lock.Lock()
	sr.inFlight--
	sr.lock.Unlock()
	<-sr.slots
}

func (sr *Server) countRun(pt *backendapi.Part) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.runs[pt.RequestID+" "+pt.Shard]++
	sr.total++
}

// drawPartTime draws the run time of one part: half of the mean is fixed, the
// other half is exponentially distributed.
func (sr *Server) drawPartTime(faults Faults) time.Duration {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	factor := 0.5 + sr.random.ExpFloat64()/2
	if faults.Slowdown > 0 {
		factor *= faults.Slowdown
	}
	if time.Since(sr.startedAt) < sr.Settings.WarmUp {
		factor *= warmUpFactor
	}
	return time.Duration(factor * float64(sr.Settings.MeanPartTime))
}

func (sr *Server) answer(faults Faults, pt *backendapi.Part) *backendapi.PartAnswer {
	snapshot := pt.Snapshot
	if faults.OtherSnapshot != "" {
		snapshot = faults.OtherSnapshot
	}
	request, shard, query := pt.RequestID, pt.Shard, pt.Query
	if faults.SwapAnswers {
		request, query = "another-request", []byte(`"another query"`)
	}
	if faults.SwapShards {
		shard = "another-shard"
	}
	body := Body(snapshot, shard, query)
	an := &backendapi.PartAnswer{
		RequestID: request, Attempt: pt.Attempt, Shard: shard, Snapshot: snapshot,
		Length: len(body), Digest: backend.Digest(body), Draining: faults.Drain, Body: body,
	}
	if faults.Corrupt {
		an.Body = bytes.Replace(body, []byte("shard-0"), []byte("shard-9"), 1)
	}
	if faults.Truncate {
		an.Body = []byte(`"cut"`)
	}
	return an
}

// Body returns a shard's answer to a query. It depends only on its arguments, so
// that the results of two ways of gathering parts can be compared.
func Body(snapshot, shard string, query []byte) []byte {
	hit := fmt.Sprintf("%s-%08x", shard, uint32(xxhash.Sum64(query)))
	// Encoding a map of strings cannot fail.
	body, _ := json.Marshal(map[string]string{"shard": shard, "snapshot": snapshot, "hit": hit})
	return body
}

// GetHealth implements backendapi.Handler.
func (sr *Server) GetHealth(context.Context) (*backendapi.Health, error) {
	faults := sr.currentFaults()
	state := backendapi.HealthStateReady
	switch {
	case faults.ClaimDrain, faults.Drain && !faults.HideDrain:
		state = backendapi.HealthStateDraining
	case time.Since(sr.startedAt) < sr.Settings.WarmUp:
		state = backendapi.HealthStateCold
	}
	return &backendapi.Health{State: state}, nil
}

// GetLoad implements backendapi.Handler.
func (sr *Server) GetLoad(context.Context) (*backendapi.Load, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	ld := &backendapi.Load{Slots: sr.Settings.Slots, InFlight: sr.inFlight, Queued: sr.queued}
	if sr.faults.ReportLoad != nil {
		ld.InFlight, ld.Queued = *sr.faults.ReportLoad, 0
	}
	return ld, nil
}

// NewError implements backendapi.Handler.
func (sr *Server) NewError(_ context.Context, err error) *backendapi.RefusedStatusCode {
	rf, ok := err.(refusal)
	if !ok {
		rf = refusal{backendapi.RefusalCodeFailed, false, err.Error()}
	}
	return &backendapi.RefusedStatusCode{
		StatusCode: http.StatusServiceUnavailable,
		Response:   backendapi.Refusal{Code: rf.code, Reason: rf.reason, NotRun: rf.notRun},
	}
}

// Routes returns the HTTP handler for the server's own address.
func (sr *Server) Routes() (http.Handler, error) {
	routes, err := backendapi.NewServer(sr)
	if err != nil {
		return nil, fmt.Errorf("server routes: %w", err)
	}
	return routes, nil
}
