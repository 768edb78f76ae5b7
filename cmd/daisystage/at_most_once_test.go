package main

import (
	"context"
	"encoding/json"
	"errors"
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
	"daisystage.example/daisystage/internal/world/contract"
)

const (
	// faultDelay is how long a fault delays a request at one step.
	faultDelay = 1500 * time.Millisecond
	// actAfter is when, after the send, a test acts on the delayed request.
	actAfter = faultDelay / 2
)

// sendSave sends a request that is not idempotent through one entry VM only.
func (dp *deployment) sendSave(name string, id uuid.UUID, deadline time.Duration) (caller.Result, error) {
	ctx, cancel := context.WithTimeout(dp.t.Context(), testTimeout)
	defer cancel()
	client := dp.caller(name)
	client.UseOnly(dp.callerAddresses[name])
	return client.Query(ctx, "gaisma", "save", id, []byte(`{"plan":"Jonah"}`), deadline)
}

// waitClaimed waits until the claim of a request is stored, in one of the given states.
func (dp *deployment) waitClaimed(id uuid.UUID, states ...contract.ClaimState) {
	dp.t.Helper()
	dp.eventually(func() error {
		buckets, _, err := dp.store.List(dp.t.Context(), contract.PrefixClaims)
		if err != nil {
			return err
		}
		for _, ob := range buckets {
			var cb contract.ClaimBucket
			if err := json.Unmarshal([]byte(ob.Value), &cb); err != nil {
				return fmt.Errorf("decode %s: %w", ob.Key, err)
			}
			if cl, ok := cb.Claims[id.String()]; ok && (len(states) == 0 || slices.Contains(states, cl.State)) {
				return nil
			}
		}
		return errors.New("no such claim of the request")
	})
}

// TestNonIdempotentRequestRunsAtMostOnce guards against a request that is not
// idempotent running twice. It kills or pauses an entry VM at each step of a
// request, resends the request through another, and counts the runs at the
// servers; it also sends a request through two entry VMs at once.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	platformFaults := func(text string) func(*deployment) {
		return func(dp *deployment) { dp.callControl("platform", http.MethodPut, "/faults", text) }
	}
	serverFaults := func(text string) func(*deployment) {
		return func(dp *deployment) {
			for _, name := range dp.servers {
				dp.callControl(name, http.MethodPut, "/faults", text)
			}
		}
	}
	kill := func(dp *deployment) {
		dp.signal("entry-0", syscall.SIGKILL)
		assert.Assert(dp.t, dp.waitExit("entry-0") != nil)
	}
	pause := func(dp *deployment) {
		dp.signal("entry-0", syscall.SIGSTOP)
		time.Sleep(2 * faultDelay)
		dp.signal("entry-0", syscall.SIGCONT)
	}
	afterSend := func(act func(*deployment)) func(*deployment) {
		return func(dp *deployment) {
			time.Sleep(actAfter)
			act(dp)
		}
	}
	tests := []struct {
		name string
		// before sets the faults, during acts while the request is delayed.
		before, during func(*deployment)
		// claimed is set if during acts only once the request's claim is stored.
		claimed  bool
		deadline time.Duration
		// first and again are the outcomes of the sends through entry-0 and
		// then entry-1. An empty first is not checked.
		first, again string
		runs         int
	}{
		{
			name: "killed before the claim", before: platformFaults(`{"slow_ms":1500}`), during: kill,
			again: "whole", runs: 1,
		},
		{
			name: "killed between claim and send", before: platformFaults(`{"hold_ms":1500}`), during: kill,
			claimed: true, again: "unknown", runs: 0,
		},
		{
			name: "killed after the send", before: serverFaults(`{"straggle":400}`), during: afterSend(kill),
			claimed: true, again: "unknown", runs: 1,
		},
		{
			name: "the platform loses the answer to the claim", before: platformFaults(`{"lose_answers":1}`),
			first: "whole", again: "already_run", runs: 1,
		},
		{
			name: "paused before the claim until after the deadline", before: platformFaults(`{"slow_ms":1500}`),
			during: pause, deadline: 2 * faultDelay, again: "whole", runs: 1,
		},
		{
			// The outcome of the first send depends on which of the delayed
			// answers arrives first. The second send finds the claim abandoned.
			name: "paused between claim and send until after the deadline", before: platformFaults(`{"hold_ms":1500}`),
			during: pause, claimed: true, deadline: 2 * faultDelay, again: "whole", runs: 1,
		},
		{
			// The server's answer waits in the socket while the process is
			// paused, and may be read before the deadline is checked.
			name: "paused after the send", before: serverFaults(`{"straggle":400}`), during: afterSend(pause), claimed: true, deadline: 2 * faultDelay,
			again: "unknown or already_run", runs: 1,
		},
		{
			name: "sent again after the answer", first: "whole", again: "already_run", runs: 1,
		},
		{
			name: "the platform is down", before: platformFaults(`{"down":true}`), deadline: faultDelay,
			first: "unknown", again: "whole", runs: 1,
		},
	}
	dp := newDeployment(t, 3, 2)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.before != nil {
				tt.before(dp)
			}
			id := newID()
			var first caller.Result
			var sent sync.WaitGroup
			sent.Go(func() { first, _ = dp.sendSave("entry-0", id, tt.deadline) })
			switch {
			case tt.claimed:
				dp.waitClaimed(id)
				tt.during(dp)
			case tt.during != nil:
				time.Sleep(actAfter)
				tt.during(dp)
			}
			sent.Wait()
			platformFaults(`{}`)(dp)
			serverFaults(`{}`)(dp)
			if tt.deadline > 0 {
				// An abandoned claim is settled within 2 s.
				time.Sleep(2 * faultDelay)
			}
			if tt.first != "" {
				assert.Equal(t, string(first.Outcome()), tt.first, "%+v", first.Refusal)
			}
			if tt.first == "whole" {
				// The end of an answered request is recorded after the answer.
				dp.waitClaimed(id, contract.ClaimRan)
			}
			again, err := dp.sendSave("entry-1", id, 0)
			assert.NilError(t, err)
			allowed := strings.Split(tt.again, " or ")
			assert.Assert(t, slices.Contains(allowed, string(again.Outcome())), "%s %+v", again.Outcome(), again.Refusal)
			if again.Answer != nil && first.Answer != nil {
				assert.Equal(t, string(again.Answer.Parts[0].Body), string(first.Answer.Parts[0].Body))
			}
			assert.Equal(t, dp.countRuns(id), tt.runs)
			if _, alive := dp.commands["entry-0"]; !alive {
				dp.startEntryVM("entry-0")
			}
			dp.waitReady(2)
		})
	}
	t.Run("both entry VMs at the same moment", func(t *testing.T) {
		for at := range 20 {
			id := newID()
			var sends sync.WaitGroup
			outcomes := make([]string, 4)
			for i := range outcomes {
				sends.Go(func() {
					rs, err := dp.sendSave(fmt.Sprintf("entry-%d", i%2), id, 0)
					assert.Check(t, err == nil)
					outcomes[i] = string(rs.Outcome())
				})
			}
			sends.Wait()
			assert.Equal(t, dp.countRuns(id), 1, "request %d: %v", at, outcomes)
		}
	})
}
