package scatter

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/machine"
	"daisystage.example/daisystage/internal/world/snapshot"
	"daisystage.example/daisystage/internal/world/view"
	"daisystage.example/daisystage/internal/world/zone"
)

// fakeSender answers with a function and records the sends by shard.
type fakeSender struct {
	answer func(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error)
	lock   sync.Mutex
	sends  map[string][]string
}

func (fs *fakeSender) Send(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error) {
	fs.lock.Lock()
	fs.sends[pr.Shard] = append(fs.sends[pr.Shard], sv.Name)
	fs.lock.Unlock()
	return fs.answer(ctx, sv, pr)
}

func bodyOf(pr PartRequest) []byte {
	return []byte(fmt.Sprintf(`"%s@%s"`, pr.Shard, pr.Snapshot))
}

// answerAfter answers after a delay unless the context ends first.
func answerAfter(ctx context.Context, wait time.Duration, pr PartRequest) ([]byte, error) {
	select {
	case <-time.After(wait):
		return bodyOf(pr), nil
	case <-ctx.Done():
		return nil, &contract.PartError{Cause: contract.CauseDeadline, Err: ctx.Err()}
	}
}

// newView returns a view with the route, shards of three replicas in three
// zones, and a snapshot for each of ids.
func newView(tb testing.TB, shards int, route string, ids ...string) *view.View {
	tb.Helper()
	vw := view.View{}
	version := int64(0)
	apply := func(key string, value any) {
		text, ok := value.(string)
		if !ok {
			encoded, err := json.Marshal(value)
			assert.NilError(tb, err)
			text = string(encoded)
		}
		version++
		next, err := vw.Apply(view.Object{Key: key, Version: version, Value: text})
		assert.NilError(tb, err)
		vw = next
	}
	for index := range shards {
		for zn := range 3 {
			name := fmt.Sprintf("sv-%03d-%d", index, zn)
			apply(view.PrefixServers+name, machine.Server{
				Name: name, Zone: fmt.Sprintf("zone-%d", zn), Address: name + ":80", Slots: 2, ConnectionLimit: 25,
			})
		}
	}
	for _, id := range ids {
		mf := snapshot.Manifest{Collection: "lessons", ID: id}
		for index := range shards {
			sh := snapshot.Shard{Name: fmt.Sprintf("shard-%03d", index)}
			for zn := range 3 {
				sh.Replicas = append(sh.Replicas, fmt.Sprintf("sv-%03d-%d", index, zn))
			}
			mf.Shards = append(mf.Shards, sh)
		}
		apply(view.PrefixSnapshots+"lessons/"+id, mf)
	}
	text, _ := contract.Revision{Path: "teams/gaisma/routes/find", Body: route}.Encode()
	apply("teams/gaisma/routes/find", text)
	return &vw
}

const findRoute = "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"400ms\"\ncanary = \"off\"\n"

func newRequest(now time.Time, vw *view.View) *Request {
	st, _ := vw.Settings.Get("teams/gaisma/routes/find")
	return &Request{
		ID: "request", Fingerprint: 7, Query: []byte(`{}`), Setting: st, View: vw,
		Deadline: now.Add(st.Route.Deadline.Duration),
	}
}

func newRunner[R ReplicaPolicy, H HedgePolicy](fs *fakeSender) *SnapshotRunner[R, H] {
	fs.sends = map[string][]string{}
	return &SnapshotRunner[R, H]{
		Sender: fs, Zone: zone.Zone{Name: "zone-0", Delays: map[string]time.Duration{"zone-1": 1, "zone-2": 2}},
		Quarantine: contract.NewQuarantine(),
	}
}

// recordLatencies records latencies, so that the hedge policy has a quantile.
func recordLatencies(rq *Request, took time.Duration) {
	for range 100 {
		rq.Setting.State.Latency.Record(took)
	}
	rq.Setting.State.Latency.Publish()
}

func TestRunWithServerFaults(t *testing.T) {
	fail := func(cause contract.Cause, notRun bool) error {
		return &contract.PartError{Cause: cause, NotRun: notRun}
	}
	tests := []struct {
		name   string
		route  string
		answer func(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error)
		// answered is the number of answered shards of four, sends the highest number
		// of sends to one shard.
		answered, sends int
		mayHaveRun      bool
		took            time.Duration
	}{
		{
			name: "all answer", route: findRoute, answered: 4, sends: 1, mayHaveRun: true, took: 10 * time.Millisecond,
			answer: func(ctx context.Context, _ *machine.Server, pr PartRequest) ([]byte, error) {
				return answerAfter(ctx, 10*time.Millisecond, pr)
			},
		},
		{
			name: "one replica sheds", route: findRoute, answered: 4, sends: 2, mayHaveRun: true, took: 10 * time.Millisecond,
			answer: func(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error) {
				if sv.Name == "sv-000-0" {
					return nil, fail(contract.CauseShed, true)
				}
				return answerAfter(ctx, 10*time.Millisecond, pr)
			},
		},
		{
			name: "no replica of a shard accepts a connection", route: findRoute, answered: 3, sends: 3, mayHaveRun: true, took: 10 * time.Millisecond,
			answer: func(ctx context.Context, _ *machine.Server, pr PartRequest) ([]byte, error) {
				if pr.Shard == "shard-000" {
					return nil, fail(contract.CauseDialFailed, true)
				}
				return answerAfter(ctx, 10*time.Millisecond, pr)
			},
		},
		{
			name: "a straggler is hedged", route: findRoute, answered: 4, sends: 2, mayHaveRun: true, took: 22 * time.Millisecond,
			answer: func(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error) {
				if sv.Name == "sv-000-0" {
					return answerAfter(ctx, time.Second, pr)
				}
				return answerAfter(ctx, 10*time.Millisecond, pr)
			},
		},
		{
			name: "a part with a mismatched answer is sent again", route: findRoute, answered: 4, sends: 2, mayHaveRun: true, took: 10 * time.Millisecond,
			answer: func(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error) {
				if sv.Name == "sv-000-0" {
					return nil, fail(contract.CauseMismatched, false)
				}
				return answerAfter(ctx, 10*time.Millisecond, pr)
			},
		},
		{
			name: "a request that is not idempotent is not sent again", answered: 0, sends: 1, mayHaveRun: true,
			route: findRoute + "shards = \"one\"\nidempotent = false\n",
			answer: func(context.Context, *machine.Server, PartRequest) ([]byte, error) {
				return nil, fail(contract.CauseLinkBroken, false)
			},
		},
		{
			name: "a request that is not idempotent is sent again when it did not run", answered: 1, sends: 2, mayHaveRun: true,
			route: findRoute + "shards = \"one\"\nidempotent = false\n", took: 10 * time.Millisecond,
			answer: func(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error) {
				if sv.Zone == "zone-0" {
					return nil, fail(contract.CauseShed, true)
				}
				return answerAfter(ctx, 10*time.Millisecond, pr)
			},
		},
		{
			name: "all replicas shed a request that is not idempotent", answered: 0, sends: 3, mayHaveRun: false,
			route: findRoute + "shards = \"one\"\nidempotent = false\n",
			answer: func(context.Context, *machine.Server, PartRequest) ([]byte, error) {
				return nil, fail(contract.CauseShed, true)
			},
		},
		{
			name: "a slow request that is not idempotent is not hedged", answered: 0, sends: 1, mayHaveRun: true,
			route: findRoute + "shards = \"one\"\nidempotent = false\n", took: 400 * time.Millisecond,
			answer: func(ctx context.Context, _ *machine.Server, pr PartRequest) ([]byte, error) {
				return answerAfter(ctx, time.Hour, pr)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := &fakeSender{answer: tt.answer}
				sr := newRunner[LeastExpectedLatency, QuantileHedge](fs)
				rq := newRequest(time.Now(), newView(t, 4, tt.route, "s1"))
				recordLatencies(rq, 10*time.Millisecond)
				startedAt := time.Now()
				an, err := sr.Run(t.Context(), rq)
				assert.NilError(t, err)
				most := 0
				for _, servers := range fs.sends {
					most = max(most, len(servers))
				}
				assert.Equal(t, an.Coverage.Answered, tt.answered)
				assert.Equal(t, len(an.Parts), tt.answered)
				assert.Equal(t, an.Coverage.Answered+len(an.Coverage.Missing), an.Coverage.Total)
				assert.Equal(t, most, tt.sends)
				assert.Equal(t, an.MayHaveRun, tt.mayHaveRun)
				if tt.took > 0 {
					// The hedge time comes from a histogram and is precise to less than 1 ms.
					assert.Assert(t, time.Since(startedAt)-tt.took < time.Millisecond, "%s", time.Since(startedAt))
				}
			})
		})
	}
}

func TestRunRestartsOnOtherSnapshotOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &fakeSender{answer: func(ctx context.Context, _ *machine.Server, pr PartRequest) ([]byte, error) {
			if pr.Snapshot == "s2" && pr.Shard == "shard-002" {
				return nil, &contract.PartError{Cause: contract.CauseSnapshotLost, NotRun: true}
			}
			return answerAfter(ctx, 5*time.Millisecond, pr)
		}}
		sr := newRunner[LeastExpectedLatency, QuantileHedge](fs)
		an, err := sr.Run(t.Context(), newRequest(time.Now(), newView(t, 4, findRoute, "s1", "s2")))
		assert.NilError(t, err)
		assert.Equal(t, an.Manifest.ID, "s1")
		assert.Equal(t, an.Restarts, 1)
		assert.Equal(t, an.Coverage.Answered, 4)
		for _, pt := range an.Parts {
			assert.Equal(t, string(pt.Body), `"`+pt.Shard+`@s1"`)
		}
	})
}

func TestCanaryLimitsServersLostToCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &fakeSender{answer: func(context.Context, *machine.Server, PartRequest) ([]byte, error) {
			return nil, &contract.PartError{Cause: contract.CauseLinkBroken}
		}}
		sr := newRunner[LeastExpectedLatency, QuantileHedge](fs)
		vw := newView(t, 10, "class = \"urgent\"\ncollection = \"lessons\"\n", "s1")
		lost := map[string]bool{}
		for range 5 {
			_, err := sr.Run(t.Context(), newRequest(time.Now(), vw))
			assert.NilError(t, err)
			// The request is refused for a short time after each crash.
			time.Sleep(time.Second)
		}
		for _, servers := range fs.sends {
			for _, name := range servers {
				lost[name] = true
			}
		}
		assert.Equal(t, len(lost), 2, "%v", lost)
		assert.Assert(t, sr.Quarantine.IsBlocked(time.Now(), 7))
	})
}

// TestPoliciesGiveSameAnswerAsBaseline compares the answer of the policies with
// that of the baseline policies for the same server latencies.
func TestPoliciesGiveSameAnswerAsBaseline(t *testing.T) {
	answer := func(ctx context.Context, sv *machine.Server, pr PartRequest) ([]byte, error) {
		return answerAfter(ctx, time.Duration(1+len(sv.Name)%3)*time.Millisecond, pr)
	}
	synctest.Test(t, func(t *testing.T) {
		gatherWith := func(run func(context.Context, *Request) (Answer, error)) []string {
			an, err := run(t.Context(), newRequest(time.Now(), newView(t, 30, findRoute, "s1", "s2")))
			assert.NilError(t, err)
			var bodies []string
			for _, pt := range an.Parts {
				bodies = append(bodies, pt.Shard+string(pt.Body))
			}
			return bodies
		}
		baseline := gatherWith(newRunner[FirstReplica, NoHedge](&fakeSender{answer: answer}).Run)
		actual := gatherWith(newRunner[LeastExpectedLatency, QuantileHedge](&fakeSender{answer: answer}).Run)
		assert.Assert(t, slices.Equal(baseline, actual))
		assert.Equal(t, len(baseline), 30)
	})
}

func BenchmarkChooseReplica(b *testing.B) {
	now := time.Now()
	fs := &fakeSender{}
	sr := newRunner[LeastExpectedLatency, QuantileHedge](fs)
	rq := newRequest(now, newView(b, 30, findRoute, "s1"))
	mf, err := sr.pinSnapshot(rq, now, nil)
	assert.NilError(b, err)
	ga := newGather(sr.newEngine(), rq.job(mf))
	b.ReportAllocs()
	for b.Loop() {
		if ga.chooseReplica(now, &ga.parts[3], "") == nil {
			b.Fatal("no replica was chosen")
		}
	}
}

// BenchmarkChooseByWork measures the choice of a replica by its expected completion.
func BenchmarkChooseByWork(b *testing.B) {
	now := time.Now()
	vw := newView(b, 30, findRoute, "s1")
	var candidates []*machine.Server
	for _, sv := range vw.Servers.All() {
		sv.State.Work.Start(now, 20*time.Millisecond)
		sv.State.Work.ObserveSpeed(now, now, 25*time.Millisecond, 25*time.Millisecond, 20*time.Millisecond)
		if candidates = append(candidates, sv); len(candidates) == 3 {
			break
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if (ExpectedCompletion{}).Choose(now, zone.Zone{Name: "a"}, 20*time.Millisecond, candidates, "") == nil {
			b.Fatal("no replica was chosen")
		}
	}
}

// nullSender answers immediately.
type nullSender struct{}

func (nullSender) Send(context.Context, *machine.Server, PartRequest) ([]byte, error) {
	return []byte(`"answer"`), nil
}

func BenchmarkScatter(b *testing.B) {
	for _, shards := range []int{30, 150, 750} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			vw := newView(b, shards, findRoute, "s1")
			sr := newRunner[LeastExpectedLatency, QuantileHedge](&fakeSender{})
			sr.Sender = nullSender{}
			b.ReportAllocs()
			for b.Loop() {
				an, err := sr.Run(b.Context(), newRequest(time.Now(), vw))
				if err != nil || an.Coverage.Answered != shards {
					b.Fatal("not all shards answered")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/shard")
		})
	}
}
