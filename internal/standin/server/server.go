// Package server is a stand-in for a backend server: it runs parts on a few
// slots, within a connection limit, and misbehaves on demand. It counts each
// run, so that a test can see a request that ran twice.
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

// Settings describe a server.
type Settings struct {
	Name            string `json:"name"`
	Service         string `json:"service"`
	Zone            string `json:"zone"`
	Address         string `json:"address"`
	Slots           int    `json:"slots"`
	ConnectionLimit int    `json:"connection_limit"`
	// ConnectCost delays each new connection.
	ConnectCost time.Duration `json:"-"`
	// Work is the usual time of one part.
	Work time.Duration `json:"-"`
	// Queue is the most parts that wait for a slot; above it they are shed.
	Queue int `json:"-"`
	// Cold is how long after the start parts take coldFactor times as long.
	Cold time.Duration `json:"-"`
	// Shards maps each snapshot to the shards of it that are held; nil holds
	// everything.
	Shards map[string][]string `json:"-"`
}

// Defaults returns a server of the teacher app's services.
func (Settings) Defaults() Settings {
	return Settings{
		Slots: 2, ConnectionLimit: 25, ConnectCost: 6 * time.Millisecond,
		Work: 4 * time.Millisecond, Queue: 64,
	}
}

const coldFactor = 3

// Faults are the ways in which a server misbehaves.
type Faults struct {
	// Straggle multiplies the time of each part; 0 is 1.
	Straggle float64 `json:"straggle"`
	// CrashOn ends the server when a query contains it.
	CrashOn string `json:"crash_on"`
	// SwapAnswers answers each part with the answer to another request, and
	// SwapShards with the answer of another shard.
	SwapAnswers bool `json:"swap_answers"`
	SwapShards  bool `json:"swap_shards"`
	// Corrupt changes a byte of the answers' bodies.
	Corrupt bool `json:"corrupt"`
	// Truncate cuts the answers' bodies short.
	Truncate bool `json:"truncate"`
	// LoseSnapshot names a snapshot that is not held any more.
	LoseSnapshot string `json:"lose_snapshot"`
	// OtherSnapshot answers from the named snapshot in place of the asked.
	OtherSnapshot string `json:"other_snapshot"`
	// Late answers only after the deadline.
	Late bool `json:"late"`
	// Shed refuses all parts.
	Shed bool `json:"shed"`
	// Drain refuses new parts and says so in the health.
	Drain bool `json:"drain"`
	// HideDrain keeps the health at ready while draining.
	HideDrain bool `json:"hide_drain"`
	// ClaimDrain says draining in the health and goes on working.
	ClaimDrain bool `json:"claim_drain"`
	// ReportLoad is the load that is reported in place of the true one.
	ReportLoad *int `json:"report_load"`
}

// Server is one backend server. Make one with New.
type Server struct {
	Settings Settings
	// Crash ends the server; it is set before the first part.
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

// New returns a server that starts now.
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

// Set switches the faults.
func (sr *Server) Set(faults Faults) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.faults = faults
}

// Runs returns how often each request ran, by request id and shard.
func (sr *Server) Runs() map[string]int {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	runs := make(map[string]int, len(sr.runs))
	for id, count := range sr.runs {
		runs[id] = count
	}
	return runs
}

// Total returns the number of parts that ran.
func (sr *Server) Total() int {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	return sr.total
}

func (sr *Server) current() Faults {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	return sr.faults
}

// refuse is the error of a part.
type refuse struct {
	code   backendapi.RefusalCode
	notRun bool
	reason string
}

// Error returns the reason.
func (rf refuse) Error() string { return rf.reason }

// RunPart is of backendapi.Handler.
func (sr *Server) RunPart(ctx context.Context, pt *backendapi.Part) (*backendapi.PartAnswer, error) {
	faults := sr.current()
	if err := sr.check(faults, pt); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(time.Duration(pt.DeadlineMs) * time.Millisecond)
	if err := sr.takeSlot(ctx, deadline); err != nil {
		return nil, err
	}
	defer sr.freeSlot()
	sr.count(pt)
	if faults.CrashOn != "" && strings.Contains(string(pt.Query), faults.CrashOn) {
		sr.Crash()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	work := sr.workTime(faults)
	if faults.Late {
		work = time.Until(deadline) + time.Millisecond
	}
	if err := network.Sleep(ctx, work); err != nil {
		return nil, err
	}
	return sr.answer(faults, pt), nil
}

func (sr *Server) check(faults Faults, pt *backendapi.Part) error {
	switch {
	case faults.Drain:
		return refuse{backendapi.RefusalCodeDraining, true, "the server is draining"}
	case faults.Shed:
		return refuse{backendapi.RefusalCodeShed, true, "the server sheds load"}
	case faults.LoseSnapshot == pt.Snapshot || !sr.holds(pt.Snapshot, pt.Shard):
		return refuse{backendapi.RefusalCodeSnapshotLost, true, "the snapshot is not held here"}
	}
	return nil
}

func (sr *Server) holds(snapshot, shard string) bool {
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
	if sr.queued >= sr.Settings.Queue {
		sr.lock.Unlock()
		return refuse{backendapi.RefusalCodeShed, true, "the queue is full"}
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
		return refuse{backendapi.RefusalCodeDeadlinePassed, true, "the deadline passed in the queue"}
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

func (sr *Server) count(pt *backendapi.Part) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	sr.runs[pt.RequestID+" "+pt.Shard]++
	sr.total++
}

// workTime draws the time of one part: half of it is fixed, the rest varies.
func (sr *Server) workTime(faults Faults) time.Duration {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	factor := 0.5 + sr.random.ExpFloat64()/2
	if faults.Straggle > 0 {
		factor *= faults.Straggle
	}
	if time.Since(sr.startedAt) < sr.Settings.Cold {
		factor *= coldFactor
	}
	return time.Duration(factor * float64(sr.Settings.Work))
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

// Body returns what a shard answers to a query. It depends on nothing else, so
// that two ways of gathering can be compared.
func Body(snapshot, shard string, query []byte) []byte {
	hit := fmt.Sprintf("%s-%08x", shard, uint32(xxhash.Sum64(query)))
	// A map of strings always encodes.
	body, _ := json.Marshal(map[string]string{"shard": shard, "snapshot": snapshot, "hit": hit})
	return body
}

// GetHealth is of backendapi.Handler.
func (sr *Server) GetHealth(context.Context) (*backendapi.Health, error) {
	faults := sr.current()
	state := backendapi.HealthStateReady
	switch {
	case faults.ClaimDrain, faults.Drain && !faults.HideDrain:
		state = backendapi.HealthStateDraining
	case time.Since(sr.startedAt) < sr.Settings.Cold:
		state = backendapi.HealthStateCold
	}
	return &backendapi.Health{State: state}, nil
}

// GetLoad is of backendapi.Handler.
func (sr *Server) GetLoad(context.Context) (*backendapi.Load, error) {
	sr.lock.Lock()
	defer sr.lock.Unlock()
	ld := &backendapi.Load{Slots: sr.Settings.Slots, InFlight: sr.inFlight, Queued: sr.queued}
	if sr.faults.ReportLoad != nil {
		ld.InFlight, ld.Queued = *sr.faults.ReportLoad, 0
	}
	return ld, nil
}

// NewError is of backendapi.Handler.
func (sr *Server) NewError(_ context.Context, err error) *backendapi.RefusedStatusCode {
	rf, ok := err.(refuse)
	if !ok {
		rf = refuse{backendapi.RefusalCodeFailed, false, err.Error()}
	}
	return &backendapi.RefusedStatusCode{
		StatusCode: http.StatusServiceUnavailable,
		Response:   backendapi.Refusal{Code: rf.code, Reason: rf.reason, NotRun: rf.notRun},
	}
}

// Routes returns the HTTP handler of the server's own address.
func (sr *Server) Routes() (http.Handler, error) {
	routes, err := backendapi.NewServer(sr)
	if err != nil {
		return nil, fmt.Errorf("server routes: %w", err)
	}
	return routes, nil
}
