package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/container/rcu"
	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/view"
)

// fakeEngine returns a scripted result for each shard and keeps the last job.
type fakeEngine struct {
	answer     func(shard string) scatter.PartResult[Answer]
	mayHaveRun bool
	job        *scatter.Job[Attempt]
}

func (fe *fakeEngine) Run(_ context.Context, jb *scatter.Job[Attempt]) scatter.Result[Answer] {
	fe.job = jb
	rs := scatter.Result[Answer]{MayHaveRun: fe.mayHaveRun}
	for _, sh := range jb.Shards {
		part := fe.answer(sh.Name)
		part.Record.Shard = sh.Name
		rs.Parts = append(rs.Parts, part)
	}
	return rs
}

// recordingObserver keeps the records of all finished calls.
type recordingObserver struct{ all []*CallRecord }

func (ro *recordingObserver) CallFinished(_ time.Time, record *CallRecord) {
	ro.all = append(ro.all, record)
}

// bootTime is the reading of the clock of the configuration's age in these tests.
const bootTime = 100 * time.Hour

func newService(t *testing.T, fe *fakeEngine) (*Service, *recordingObserver) {
	t.Helper()
	routes := []*contract.ForwardRoute{
		{
			Name: "find", Host: "plans.example", Prefix: "/find/", Idempotent: true, Timeout: time.Second, MaxAttempts: 2,
			Goal: 100 * time.Millisecond, Shards: []string{"s0", "s1", "s2", "s3"}, TopK: 3, MinCoverage: 0.75,
		},
		{
			Name: "save", Host: "plans.example", Prefix: "/save/", Timeout: time.Second, MaxAttempts: 2,
			Services: []contract.WeightedService{{Service: "storage", Weight: 1}},
		},
	}
	tb, err := contract.NewTable(4, routes, nil, contract.CallerLimits{}.Defaults())
	assert.NilError(t, err)
	fl := view.Fleet{Table: tb}
	for _, service := range []string{"s0", "s1", "s2", "s3", "storage"} {
		fl = fl.WithServer(time.Now(), machine.Server{Name: "i-" + service, Service: service, Slots: 1})
	}
	ro := &recordingObserver{}
	return &Service{
		Freshness: &view.Freshness{}, SinceBoot: func() time.Duration { return bootTime }, KeyBounds: func() view.KeyBounds { return view.KeyBounds{} },
		Fleets: rcu.New(fl), ConfirmedAt: time.Now, Quarantine: contract.NewQuarantine(),
		Engine: fe, Budgets: NewBudgets(time.Now(), contract.RetryBudget{Window: 10 * time.Second}, 1), Observer: ro,
	}, ro
}

func newCall(path string, deadline time.Duration) Call {
	return Call{Deadline: deadline, Message: Message{ID: "call", Method: "GET", Host: "plans.example:80", URL: &url.URL{Path: path}}}
}

func answeredPart(signature, body string) scatter.PartResult[Answer] {
	return scatter.PartResult[Answer]{Answered: true, Answer: Answer{Status: 200, Signature: signature, Body: []byte(body)}}
}

// TestRoutesMatchThePathAsSent guards against a path that is decoded before routes are
// compared: an encoded slash is data, and the request would run at the service of another route.
func TestRoutesMatchThePathAsSent(t *testing.T) {
	tests := []struct{ target, route string }{
		{"/plans/2026/spring", "year"},
		{"/plans/2026%2Fspring", "plans"},
		{"/plans/2026%2fspring", "plans"},
		{"/plans/2026", "plans"},
		{"/plans%2F2026/spring", ""},
		{"/plans/2026/a|b", "year"},
		{"/plans/a%20b/1", "encoded"},
		{"/plans/2026/spring?of=/plans/", "year"},
	}
	var routes []*contract.ForwardRoute
	for name, prefix := range map[string]string{"plans": "/plans/", "year": "/plans/2026/", "encoded": "/plans/a%20b/"} {
		routes = append(routes, &contract.ForwardRoute{
			Name: name, Host: "plans.example", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1,
			Services: []contract.WeightedService{{Service: "storage", Weight: 1}},
		})
	}
	tb, err := contract.NewTable(5, routes, nil, contract.CallerLimits{}.Defaults())
	assert.NilError(t, err)
	for _, tt := range tests {
		fe := &fakeEngine{mayHaveRun: true, answer: func(string) scatter.PartResult[Answer] { return answeredPart("x", "") }}
		sv, ro := newService(t, fe)
		sv.Fleets.Update(func(fl view.Fleet) view.Fleet { return fl.WithTable(tb) })
		cl := newCall("", time.Second)
		cl.Message.URL, err = url.ParseRequestURI(tt.target)
		assert.NilError(t, err)
		_, err = sv.Run(t.Context(), time.Now(), cl)
		assert.Equal(t, err == nil, tt.route != "", tt.target)
		assert.Equal(t, ro.all[0].Route, tt.route, tt.target)
	}
}

func TestRunOutcomes(t *testing.T) {
	record := func(letter string) string { return fmt.Sprintf("%016s", letter) }
	tests := []struct {
		name, path string
		deadline   time.Duration
		mayHaveRun bool
		answer     func(shard string) scatter.PartResult[Answer]
		// outcome and code are those expected in the record.
		outcome contract.Outcome
		code    contract.Code
		records string
		missing int
	}{
		{
			name: "whole", path: "/find/1", mayHaveRun: true, outcome: contract.Whole,
			answer:  func(shard string) scatter.PartResult[Answer] { return answeredPart(shard, record(shard)) },
			records: record("s3") + record("s2") + record("s1"),
		},
		{
			name: "partial", path: "/find/1", mayHaveRun: true, outcome: contract.Partial, missing: 1,
			answer: func(shard string) scatter.PartResult[Answer] {
				if shard == "s3" {
					return scatter.PartResult[Answer]{}
				}
				return answeredPart(shard, record(shard))
			},
			records: record("s2") + record("s1") + record("s0"),
		},
		{
			name: "parts with equal signatures count once", path: "/find/1", mayHaveRun: true, outcome: contract.Unknown,
			code: contract.CodeLowCoverage, answer: func(string) scatter.PartResult[Answer] { return answeredPart("same", record("a")) },
		},
		{
			name: "no shard ran the request", path: "/find/1", outcome: contract.NotRun, code: contract.CodeNoServer,
			answer: func(string) scatter.PartResult[Answer] { return scatter.PartResult[Answer]{} },
		},
		{
			name: "no part was sent, for lack of room", path: "/find/1", outcome: contract.NotRun, code: contract.CodeOverloaded,
			answer: func(string) scatter.PartResult[Answer] {
				return scatter.PartResult[Answer]{Record: contract.PartRecord{Cause: contract.CauseNoRoom}}
			},
		},
		{
			name: "may have run", path: "/save/1", mayHaveRun: true, outcome: contract.Unknown, code: contract.CodeNoAnswer,
			answer: func(string) scatter.PartResult[Answer] { return scatter.PartResult[Answer]{} },
		},
		{
			name: "failure reported by the server is forwarded", path: "/save/1", mayHaveRun: true, outcome: contract.Whole,
			answer: func(string) scatter.PartResult[Answer] {
				return scatter.PartResult[Answer]{Failed: true, Answer: Answer{Status: 500, Signature: "x"}}
			},
		},
		{name: "no route", path: "/other", outcome: contract.Invalid, code: contract.CodeNoRoute},
		{name: "deadline too short", path: "/find/1", deadline: 10 * time.Millisecond, outcome: contract.NotRun, code: contract.CodeDeadlineHopeless},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fe := &fakeEngine{answer: tt.answer, mayHaveRun: tt.mayHaveRun}
			sv, ro := newService(t, fe)
			sv.Freshness.ConfirmByStore(bootTime, 1, 1)
			reply, err := sv.Run(t.Context(), time.Now(), newCall(tt.path, tt.deadline))
			assert.Equal(t, ro.all[0].Outcome, tt.outcome)
			assert.Equal(t, ro.all[0].Code, tt.code)
			if refusal := (*contract.Refusal)(nil); errors.As(err, &refusal) {
				assert.Equal(t, refusal.Outcome, tt.outcome)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(reply.Records), tt.records)
			assert.Equal(t, len(reply.Coverage.Missing), tt.missing)
		})
	}
}

func TestRunWithoutConfigurationIsRefused(t *testing.T) {
	sv, _ := newService(t, &fakeEngine{})
	sv.Fleets.Update(func(view.Fleet) view.Fleet { return view.Fleet{} })
	_, err := sv.Run(t.Context(), time.Now(), newCall("/find/1", time.Second))
	refusal := (*contract.Refusal)(nil)
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, contract.NotRun)
	assert.Equal(t, refusal.Code, contract.CodeStarting)
}

func TestForwardedDeadlineIsNotLonger(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, time.Minute, 0} {
		fe := &fakeEngine{mayHaveRun: true, answer: func(shard string) scatter.PartResult[Answer] { return answeredPart(shard, "") }}
		sv, _ := newService(t, fe)
		now := time.Now()
		_, err := sv.Run(t.Context(), now, newCall("/find/1", deadline))
		assert.NilError(t, err)
		left := fe.job.Message(&fe.job.Shards[0], 1).Deadline.Sub(now)
		assert.Assert(t, left <= time.Second, "the route's timeout")
		assert.Assert(t, deadline == 0 || left < deadline, "%s of %s", left, deadline)
	}
}

// TestTopRecordsMatchSortedRecords compares the merge with a sort of all records
// of random parts.
func TestTopRecordsMatchSortedRecords(t *testing.T) {
	rd := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		limit := rd.IntN(25)
		tp := newTopRecords(limit)
		var all [][]byte
		for range 1 + rd.IntN(12) {
			body := make([]byte, rd.IntN(400))
			for i := range body {
				body[i] = byte(rd.IntN(3))
			}
			tp.add(body)
			for chunk := range slices.Chunk(body, RecordBytes) {
				if len(chunk) == RecordBytes {
					all = append(all, chunk)
				}
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(len(all), limit)], nil)
		assert.Assert(t, bytes.Equal(tp.bytes(), want))
	}
}

// TestPartialAnswerIsInTime has shards that never answer, and callers at different
// distances. Their partial answer must arrive before the goal, counted from when the
// caller began to look the entry VM up, or to send on a connection that it had.
func TestPartialAnswerIsInTime(t *testing.T) {
	const processing = 2 * time.Millisecond
	tests := []struct {
		name string
		// roundTrip is to the entry VM, directory to the nearest directory.
		roundTrip, directory time.Duration
		isFirst              bool
	}{
		{"same zone", 2 * time.Millisecond, 2 * time.Millisecond, false},
		{"same zone, first call", 2 * time.Millisecond, 2 * time.Millisecond, true},
		{"other zone", 13 * time.Millisecond, 6 * time.Millisecond, false},
		{"other zone, first call", 13 * time.Millisecond, 6 * time.Millisecond, true},
		{"far", 30 * time.Millisecond, 30 * time.Millisecond, false},
		{"first call after a lookup that was not needed", 13 * time.Millisecond, 0, true},
	}
	const goal = 100 * time.Millisecond
	for _, tt := range tests {
		fe := &fakeEngine{mayHaveRun: true, answer: func(shard string) scatter.PartResult[Answer] { return answeredPart(shard, "") }}
		sv, ro := newService(t, fe)
		now := time.Now()
		cl := newCall("/find/1", time.Second)
		cl.IsFirst, cl.RoundTrip = tt.isFirst, tt.roundTrip
		_, err := sv.Run(t.Context(), now, cl)
		assert.NilError(t, err)
		assert.Equal(t, ro.all[0].RoundTrip, tt.roundTrip)
		elapsed := tt.roundTrip + processing + fe.job.PartialAfter.Sub(now)
		if tt.isFirst {
			elapsed += tt.roundTrip + 2*tt.directory
		}
		assert.Assert(t, elapsed <= goal, "%s: %s", tt.name, elapsed)
		assert.Assert(t, elapsed > goal*3/4, "%s: gives up parts too early, at %s", tt.name, elapsed)
	}
}

func TestGoalMargin(t *testing.T) {
	tests := []struct {
		goal, roundTrip time.Duration
		isFirst         bool
		want            time.Duration
	}{
		{100 * time.Millisecond, 0, false, processingMargin + defaultRoundTrip},
		{100 * time.Millisecond, 0, true, processingMargin + 3*defaultRoundTrip},
		{100 * time.Millisecond, 2 * time.Millisecond, false, processingMargin + 2*time.Millisecond},
		{100 * time.Millisecond, 11 * time.Millisecond, true, processingMargin + 33*time.Millisecond},
		{40 * time.Millisecond, 30 * time.Millisecond, false, 20 * time.Millisecond},
		{40 * time.Millisecond, 10 * time.Millisecond, true, 20 * time.Millisecond},
	}
	for _, tt := range tests {
		assert.Equal(t, goalMarginOf(tt.goal, tt.roundTrip, tt.isFirst), tt.want)
	}
}
