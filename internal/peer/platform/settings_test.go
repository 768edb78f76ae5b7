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

// TestOperatorsRace lets operators change one path, two paths of a team and the
// paths of two teams at once, with lost answers, and compares the chain with
// what the operators were told.
func TestOperatorsRace(t *testing.T) {
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
				store := standin.NewFaulty(standin.NewStore())
				store.Set(standin.Faults{SlowMS: 3, LoseAnswers: tt.lose})
				accepted := map[string]map[string]bool{}
				var lock sync.Mutex
				var operators sync.WaitGroup
				for at := range 12 {
					path := tt.paths[at%len(tt.paths)]
					operators.Go(func() {
						time.Sleep(time.Duration(at) * time.Millisecond)
						st, err := raceOnce(t.Context(), store, path, fmt.Sprint(100+at))
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
					chain, err := platform.LogSetting(t.Context(), store, path, 100)
					assert.NilError(t, err)
					assert.Assert(t, len(chain) > 0)
					for _, st := range chain {
						assert.Assert(t, accepted[path][st.ChangeID], "change %s was not told as accepted, or is twice in the chain", st.ChangeID)
						delete(accepted[path], st.ChangeID)
					}
					assert.Equal(t, len(accepted[path]), 0, "accepted and lost: %v", accepted[path])
				}
			})
		})
	}
}

// raceOnce reads the setting and changes it, like an operator with an editor.
func raceOnce(ctx context.Context, store platform.Store, path, id string) (*contract.Setting, error) {
	previous := ""
	chain, err := platform.LogSetting(ctx, store, path, 1)
	if err != nil {
		return nil, err
	}
	if len(chain) > 0 {
		previous = chain[0].Hash
	}
	return platform.PutSetting(ctx, store, revision(path, previous, id))
}
