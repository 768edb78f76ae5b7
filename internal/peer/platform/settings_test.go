package platform_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/platform"
	standin "daisystage.example/daisystage/internal/standin/platform"
	"daisystage.example/daisystage/internal/world/contract"
)

func revision(path, previous, id string) contract.Revision {
	return contract.Revision{
		Path: path, Previous: previous, ChangeID: id, Author: id, Reason: "race",
		Body: "collection = \"lessons\"\ndeadline = \"" + id + "ms\"\n", WrittenAt: time.Now(),
	}
}

// TestConcurrentSettingChanges has operators change settings concurrently, also
// with lost answers of the platform. Each accepted change must be in the chain of
// revisions exactly once, and no other change may be in it.
func TestConcurrentSettingChanges(t *testing.T) {
	tests := []struct {
		name  string
		paths []string
		lose  int64
	}{
		{"one path", []string{"teams/a/routes/x"}, 0},
		{"two paths of a team", []string{"teams/a/routes/x", "teams/a/routes/y"}, 0},
		{"two teams", []string{"teams/a/routes/x", "teams/b/routes/x"}, 0},
		{"one path, answers are lost", []string{"teams/a/routes/x"}, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewFaultyStore(standin.NewStore())
				store.SetFaults(standin.Faults{SlowMS: 3, LoseAnswers: tt.lose})
				accepted := map[string]map[string]bool{}
				var lock sync.Mutex
				var operators sync.WaitGroup
				for i := range 12 {
					path := tt.paths[i%len(tt.paths)]
					operators.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond)
						st, err := editSetting(t.Context(), store, path, fmt.Sprint(100+i))
						lock.Lock()
						defer lock.Unlock()
						if accepted[path] == nil {
							accepted[path] = map[string]bool{}
						}
						if err == nil {
							accepted[path][st.ChangeID] = true
							return
						}
						assert.Check(t, errors.Is(err, platform.ErrChanged), "%v", err)
					})
				}
				operators.Wait()
				for _, path := range tt.paths {
					chain, err := platform.SettingHistory(t.Context(), store, path, 100)
					assert.NilError(t, err)
					assert.Assert(t, len(chain) > 0)
					for _, st := range chain {
						assert.Assert(t, accepted[path][st.ChangeID], "change %s was not accepted, or is in the chain twice", st.ChangeID)
						delete(accepted[path], st.ChangeID)
					}
					assert.Equal(t, len(accepted[path]), 0, "accepted but not in the chain: %v", accepted[path])
				}
			})
		})
	}
}

// editSetting reads the setting and then changes it, as an operator does.
func editSetting(ctx context.Context, store platform.Store, path, id string) (*contract.Setting, error) {
	previous := ""
	chain, err := platform.SettingHistory(ctx, store, path, 1)
	if err != nil {
		return nil, err
	}
	if len(chain) > 0 {
		previous = chain[0].Hash
	}
	return platform.PutSetting(ctx, store, revision(path, previous, id))
}
