package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/caller"
)

const (
	// hold is how long a fault keeps a request in one place.
	hold = 1500 * time.Millisecond
	// halfway is when a test acts on a held request.
	halfway = hold / 2
)

// book sends one request that is not idempotent through one entry VM only.
func (wd *world) book(name string, id uuid.UUID, deadline time.Duration) (caller.Result, error) {
	ctx, cancel := context.WithTimeout(wd.t.Context(), watchdog)
	defer cancel()
	client := wd.caller(name)
	client.Only(wd.callers[name])
	return client.Query(ctx, "gaisma", "save", id, []byte(`{"plan":"Jonah"}`), deadline)
}

// TestRunsAtMostOnce kills, pauses and races entry VMs at each step of a
// request that is not idempotent, sends it again, and counts its runs at the
// servers.
func TestRunsAtMostOnce(t *testing.T) {
	platformFaults := func(text string) func(*world) {
		return func(wd *world) { wd.fault("platform", http.MethodPut, "/faults", text) }
	}
	serverFaults := func(text string) func(*world) {
		return func(wd *world) {
			for _, name := range wd.servers {
				wd.fault(name, http.MethodPut, "/faults", text)
			}
		}
	}
	kill := func(wd *world) {
		wd.signal("entry-0", syscall.SIGKILL)
		assert.Assert(wd.t, wd.exit("entry-0") != nil)
	}
	pause := func(wd *world) {
		wd.signal("entry-0", syscall.SIGSTOP)
		time.Sleep(2 * hold)
		wd.signal("entry-0", syscall.SIGCONT)
	}
	tests := []struct {
		name string
		// before sets the faults, during acts while the request is held.
		before, during func(*world)
		deadline       time.Duration
		// first and again are the outcomes of the sends through entry-0 and
		// then entry-1; an empty one is a send that got no reply.
		first, again string
		runs         int
	}{
		{
			name: "killed before the claim", before: platformFaults(`{"slow_ms":1500}`), during: kill,
			again: "whole", runs: 1,
		},
		{
			name: "killed between claim and send", before: platformFaults(`{"hold_ms":1500}`), during: kill,
			again: "unknown", runs: 0,
		},
		{
			name: "killed after the send", before: serverFaults(`{"straggle":400}`), during: kill,
			again: "unknown", runs: 1,
		},
		{
			name: "the platform loses the answer to the claim", before: platformFaults(`{"lose_answers":1}`),
			first: "whole", again: "already_run", runs: 1,
		},
		{
			name: "paused before the claim until after the deadline", before: platformFaults(`{"slow_ms":1500}`),
			during: pause, deadline: 2 * hold, again: "whole", runs: 1,
		},
		{
			// What the first send is told depends on which of the held answers
			// comes first; the second finds the claim given up.
			name: "paused between claim and send until after the deadline", before: platformFaults(`{"hold_ms":1500}`),
			during: pause, deadline: 2 * hold, again: "whole", runs: 1,
		},
		{
			// The server's answer waits in the socket while the process is
			// paused; it may be read before the deadline is seen.
			name: "paused after the send", before: serverFaults(`{"straggle":400}`), during: pause, deadline: 2 * hold,
			again: "unknown or already_run", runs: 1,
		},
		{
			name: "sent again after the answer", first: "whole", again: "already_run", runs: 1,
		},
		{
			name: "the platform is down", before: platformFaults(`{"down":true}`), deadline: hold,
			first: "unknown", again: "whole", runs: 1,
		},
	}
	wd := newWorld(t, 3, 2)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.before != nil {
				tt.before(wd)
			}
			id := newID()
			var first caller.Result
			var sent sync.WaitGroup
			sent.Go(func() { first, _ = wd.book("entry-0", id, tt.deadline) })
			if tt.during != nil {
				time.Sleep(halfway)
				tt.during(wd)
			}
			sent.Wait()
			platformFaults(`{}`)(wd)
			serverFaults(`{}`)(wd)
			if tt.deadline > 0 {
				// A given up claim is settled within 2 s.
				time.Sleep(2 * hold)
			}
			if tt.first != "" {
				assert.Equal(t, string(first.Outcome()), tt.first, "%+v", first.Refusal)
			}
			again, err := wd.book("entry-1", id, 0)
			assert.NilError(t, err)
			allowed := strings.Split(tt.again, " or ")
			assert.Assert(t, slices.Contains(allowed, string(again.Outcome())), "%s %+v", again.Outcome(), again.Refusal)
			if again.Answer != nil && first.Answer != nil {
				assert.Equal(t, string(again.Answer.Parts[0].Body), string(first.Answer.Parts[0].Body))
			}
			assert.Equal(t, wd.runs(id), tt.runs)
			if _, alive := wd.commands["entry-0"]; !alive {
				wd.startEntryVM("entry-0")
			}
			wd.waitReady(2)
		})
	}
	t.Run("both entry VMs at the same moment", func(t *testing.T) {
		for at := range 20 {
			id := newID()
			var sends sync.WaitGroup
			outcomes := make([]string, 4)
			for i := range outcomes {
				sends.Go(func() {
					rs, err := wd.book(fmt.Sprintf("entry-%d", i%2), id, 0)
					assert.Check(t, err == nil)
					outcomes[i] = string(rs.Outcome())
				})
			}
			sends.Wait()
			assert.Equal(t, wd.runs(id), 1, "request %d: %v", at, outcomes)
		}
	})
}
