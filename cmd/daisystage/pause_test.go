package main

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/peer/platform"
	"daisystage.example/daisystage/internal/world/contract"
)

// TestPausedProcessServesNoOldSettings guards against requests answered by
// outdated settings after a pause: a process is stopped while a setting changes
// and requests queue up in its sockets. When it continues, it must refuse them or
// have the change in force.
func TestPausedProcessServesNoOldSettings(t *testing.T) {
	dp := newDeployment(t, 3, 2)
	path := contract.RoutePath("gaisma", "find")
	history, err := platform.SettingHistory(t.Context(), dp.store, path, 1)
	assert.NilError(t, err)
	dp.signal("entry-0", syscall.SIGSTOP)
	changed, err := platform.PutSetting(t.Context(), dp.store, contract.Revision{
		Path: path, Body: "collection = \"lessons\"\ndeadline = \"19s\"\n", Previous: history[0].Hash,
		ChangeID: "while paused", Author: "liga", Reason: "test",
	})
	assert.NilError(t, err)
	const requests = 10
	results := make([]caller.Result, requests)
	var sends sync.WaitGroup
	for at := range requests {
		sends.Go(func() {
			client := caller.NewClient(&http.Client{Timeout: testTimeout}, "", nil)
			client.UseOnly(dp.callerAddresses["entry-0"])
			results[at], _ = client.Query(t.Context(), "gaisma", "find", newID(), []byte(`{"text":"paused"}`), 0)
		})
	}
	// This exceeds the time for which a confirmation stays valid.
	time.Sleep(8 * time.Second)
	dp.signal("entry-0", syscall.SIGCONT)
	sends.Wait()
	for _, rs := range results {
		if rs.Answer != nil {
			assert.Equal(t, rs.Answer.Settings.Version, changed.Version)
			continue
		}
		assert.Assert(t, rs.Refusal != nil)
		assert.Equal(t, rs.Refusal.Code, string(contract.CodeIsolated))
	}
	dp.waitReady(2)
}
