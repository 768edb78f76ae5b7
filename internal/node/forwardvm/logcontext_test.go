package forwardvm

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/query/forward"
	"daisystage.example/daisystage/internal/world/contract"
	"daisystage.example/daisystage/internal/world/view"
)

func TestLinesAboutRequests(t *testing.T) {
	now, sinceBoot := time.Unix(1_700_000_000, 0), time.Hour
	ago := func(age time.Duration) time.Time { return now.Add(-age) }
	version := func(era, revision int64) int64 {
		version, err := view.MakeVersion(era, revision)
		assert.NilError(t, err)
		return version
	}
	fleet := func(change func(fl *view.Fleet)) *view.Fleet {
		fl := &view.Fleet{
			Table: &contract.Table{Version: 18}, StoredTable: 18, TableRevision: version(0, 41), Copy: view.Copy{Version: version(0, 50)},
			TableRecord: view.TableRecord{Version: version(0, 41), Origin: view.Origin{Source: view.SourceWatch}, Since: ago(9 * time.Second)},
		}
		change(fl)
		return fl
	}
	var freshness view.Freshness
	freshness.ConfirmByStore(sinceBoot-300*time.Millisecond, 1, 1)
	tests := []struct {
		name    string
		outcome contract.Outcome
		event   string
		fleet   *view.Fleet
		answers []error
		watches bool
		want    map[string]any
	}{
		{
			"known by a watch", contract.Invalid, "answer_refused", fleet(func(*view.Fleet) {}),
			[]error{nil},
			true,
			map[string]any{
				"table_source": "watch", "table_peer": "", "table_era": int64(0), "table_revision": int64(41), "stored_revision": int64(41), "stored_version": int64(18),
				"store_era": int64(0), "table_in_force_for": 9 * time.Second, "store_answer": "ok", "store_answer_prefix": "config/",
				"store_answer_age": 2 * time.Second, "store_ok_age": 2 * time.Second, "watches": true,
			},
		},
		{
			"known from a peer", contract.Unknown, "answer_unknown", fleet(func(fl *view.Fleet) {
				fl.TableRecord.Origin = view.Origin{Source: view.SourcePeer, Peer: "vm-3"}
			}), nil, false,
			map[string]any{"table_source": "peer", "table_peer": "vm-3", "store_answer": "none", "store_answer_age": nil, "store_ok_age": nil, "watches": false},
		},
		{
			"the store was restored", contract.Partial, "answer_partial", fleet(func(fl *view.Fleet) {
				fl.StoredTable, fl.TableRevision, fl.Copy.Version = 15, version(1, 30), version(1, 35)
			}),
			[]error{nil},
			true,
			map[string]any{"table_source": "kept", "table_era": int64(0), "table_revision": int64(41), "stored_revision": int64(30), "stored_version": int64(15), "store_era": int64(1), "store_answer": "ok"},
		},
		{
			"the watch is cut", contract.NotRun, "answer_refused", fleet(func(*view.Fleet) {}),
			[]error{nil, platform.StatusError{Status: 503}},
			true,
			map[string]any{"table_source": "watch", "store_answer": "status_503", "store_answer_age": 2 * time.Second, "store_ok_age": 4 * time.Second},
		},
		{
			"an unreadable one followed", contract.Invalid, "answer_refused", fleet(func(fl *view.Fleet) { fl.TableRevision = version(0, 47) }),
			[]error{nil},
			true,
			map[string]any{"table_source": "watch", "table_revision": int64(41), "stored_revision": int64(47), "stored_version": int64(18)},
		},
		{
			"none yet", contract.NotRun, "answer_refused", &view.Fleet{},
			[]error{platform.ErrCompacted},
			true,
			map[string]any{"table_source": "", "table_revision": int64(0), "table_in_force_for": nil, "store_answer": "gone", "store_ok_age": nil},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			core, lines := zapobserver.New(zap.InfoLevel)
			var answers platform.LastAnswer
			for i, err := range tt.answers {
				answers.Record(ago(time.Duration(2*(len(tt.answers)-i))*time.Second), view.PrefixTable, err)
			}
			lc := &logContext{answers: &answers, watches: func() bool { return tt.watches }, sinceBoot: func() time.Duration { return sinceBoot }}
			ob := newObserver(zap.New(core), tally.NoopScope, lc)
			ob.CallFinished(now, &forward.CallRecord{
				ID: "id", Host: "h.example", Path: "/find/" + strings.Repeat("x", 1000), Shards: []string{"s1", "s2"}, TableVersion: 18, Age: time.Second,
				Outcome: tt.outcome, Fleet: tt.fleet, TableAsOf: freshness.AsOf(),
			})
			found := lines.All()
			assert.Equal(t, len(found), 1)
			assert.Equal(t, found[0].Message, tt.event)
			fields := found[0].ContextMap()
			want := map[string]any{
				"host": "h.example", "path": "/find/" + strings.Repeat("x", maxLoggedLength-len("/find/")), "services": []any{"s1", "s2"},
				"table_version": int64(18), "table_age": time.Second, "table_newest_age": 300 * time.Millisecond,
			}
			maps.Copy(want, tt.want)
			for _, name := range slices.Sorted(maps.Keys(want)) {
				assert.DeepEqual(t, fields[name], want[name])
			}
		})
	}
}

// TestWholeAnswersAreNotDescribed guards against work for each request that was answered
// in full.
func TestWholeAnswersAreNotDescribed(t *testing.T) {
	asked := 0
	lc := &logContext{answers: &platform.LastAnswer{}, watches: func() bool { asked++; return true }, sinceBoot: func() time.Duration { return 0 }}
	ob := newObserver(zap.NewNop(), tally.NoopScope, lc)
	now, rc := time.Now(), &forward.CallRecord{Outcome: contract.Whole, Fleet: &view.Fleet{}}
	ob.CallFinished(now, rc)
	assert.Equal(t, asked, 1, "the line of the second")
	assert.Equal(t, testing.AllocsPerRun(100, func() { ob.CallFinished(now, rc) }), 0.0)
	assert.Equal(t, asked, 1)
}
