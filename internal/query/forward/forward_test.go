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
	"daisystage.example/daisystage/internal/world/view"
)

// scripted answers jobs with results by shard.
type scripted struct {
	answer func(shard string) scatter.PartResult[Answer]
	ran    bool
	job    *scatter.Job[Send]
}

func (sc *scripted) Run(_ context.Context, jb *scatter.Job[Send]) scatter.Result[Answer] {
	sc.job = jb
	rs := scatter.Result[Answer]{MayHaveRun: sc.ran}
	for _, sh := range jb.Shards {
		part := sc.answer(sh.Name)
		part.Record.Shard = sh.Name
		rs.Parts = append(rs.Parts, part)
	}
	return rs
}

type records struct{ all []*Record }

func (rc *records) Forwarded(_ time.Time, record *Record) { rc.all = append(rc.all, record) }

func newService(t *testing.T, sc *scripted) (*Service, *records) {
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
	rc := &records{}
	return &Service{
		Fleets: rcu.New(view.Fleet{Table: tb}), Word: time.Now, Quarantine: contract.NewQuarantine(),
		Engine: sc, Budgets: NewBudgets(time.Now(), contract.Allowance{Window: 10 * time.Second}, 1), Observer: rc,
	}, rc
}

func newCall(path string, deadline time.Duration) Call {
	return Call{Deadline: deadline, Message: Message{ID: "call", Method: "GET", Host: "plans.example:80", URL: &url.URL{Path: path}}}
}

func part(stamp, body string) scatter.PartResult[Answer] {
	return scatter.PartResult[Answer]{Answered: true, Answer: Answer{Status: 200, Stamp: stamp, Body: []byte(body)}}
}

func TestRunOutcomes(t *testing.T) {
	record := func(letter string) string { return fmt.Sprintf("%016s", letter) }
	tests := []struct {
		name, path string
		deadline   time.Duration
		ran        bool
		answer     func(shard string) scatter.PartResult[Answer]
		// outcome and code are of the record.
		outcome contract.Outcome
		code    contract.Code
		records string
		missing int
	}{
		{
			name: "whole", path: "/find/1", ran: true, outcome: contract.Whole,
			answer:  func(shard string) scatter.PartResult[Answer] { return part(shard, record(shard)) },
			records: record("s3") + record("s2") + record("s1"),
		},
		{
			name: "partial", path: "/find/1", ran: true, outcome: contract.Partial, missing: 1,
			answer: func(shard string) scatter.PartResult[Answer] {
				if shard == "s3" {
					return scatter.PartResult[Answer]{}
				}
				return part(shard, record(shard))
			},
			records: record("s2") + record("s1") + record("s0"),
		},
		{
			name: "two parts with one signature count once", path: "/find/1", ran: true, outcome: contract.Unknown,
			code: contract.CodeLowCoverage, answer: func(string) scatter.PartResult[Answer] { return part("same", record("a")) },
		},
		{
			name: "nothing ran", path: "/find/1", outcome: contract.NotRun, code: contract.CodeNoServer,
			answer: func(string) scatter.PartResult[Answer] { return scatter.PartResult[Answer]{} },
		},
		{
			name: "may have run", path: "/save/1", ran: true, outcome: contract.Unknown, code: contract.CodeNoAnswer,
			answer: func(string) scatter.PartResult[Answer] { return scatter.PartResult[Answer]{} },
		},
		{
			name: "a server's failure is passed on", path: "/save/1", ran: true, outcome: contract.Whole,
			answer: func(string) scatter.PartResult[Answer] {
				return scatter.PartResult[Answer]{Failed: true, Answer: Answer{Status: 500, Stamp: "x"}}
			},
		},
		{name: "no route", path: "/other", outcome: contract.Invalid, code: contract.CodeNoRoute},
		{name: "no time", path: "/find/1", deadline: 10 * time.Millisecond, outcome: contract.NotRun, code: contract.CodeDeadlineHopeless},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sc := &scripted{answer: tt.answer, ran: tt.ran}
			sv, rc := newService(t, sc)
			reply, err := sv.Run(t.Context(), time.Now(), newCall(tt.path, tt.deadline))
			assert.Equal(t, rc.all[0].Outcome, tt.outcome)
			assert.Equal(t, rc.all[0].Code, tt.code)
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

func TestUnknownConfigurationRefusesAsNotRun(t *testing.T) {
	sv, _ := newService(t, &scripted{})
	sv.Fleets.Update(func(view.Fleet) view.Fleet { return view.Fleet{} })
	_, err := sv.Run(t.Context(), time.Now(), newCall("/find/1", time.Second))
	refusal := (*contract.Refusal)(nil)
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, contract.NotRun)
	assert.Equal(t, refusal.Code, contract.CodeStarting)
}

func TestDeadlineHandedOnIsNeverLonger(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, time.Minute, 0} {
		sc := &scripted{ran: true, answer: func(shard string) scatter.PartResult[Answer] { return part(shard, "") }}
		sv, _ := newService(t, sc)
		now := time.Now()
		_, err := sv.Run(t.Context(), now, newCall("/find/1", deadline))
		assert.NilError(t, err)
		left := sc.job.Message(&sc.job.Shards[0], 1).Deadline.Sub(now)
		assert.Assert(t, left <= time.Second, "the route's timeout")
		assert.Assert(t, deadline == 0 || left < deadline, "%s of %s", left, deadline)
	}
}

// TestTopSameAsNaive compares the merge with sorting all records.
func TestTopSameAsNaive(t *testing.T) {
	rd := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		limit := rd.IntN(25)
		tp := newTop(limit)
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
