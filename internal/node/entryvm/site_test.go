package entryvm_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/peer/caller"
	"daisystage.example/daisystage/internal/standin/site"
)

// withSite runs a test against a site with a virtual clock and an in-memory
// network.
func withSite(t *testing.T, plan site.Plan, do func(t *testing.T, st *site.Site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := zaptest.NewLogger(t, zaptest.Level(zap.ErrorLevel))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		st, end, err := site.Start(ctx, time.Now(), plan, site.NewMemoryTransport(plan, 1), log)
		assert.NilError(t, err)
		defer func() {
			end()
			// Connections see the other end close only after a network delay.
			time.Sleep(time.Minute)
		}()
		do(t, st)
	})
}

// newID returns a UUID of version 7 with the time of the virtual clock. The UUID
// library can't be used: it never goes back behind the latest time it has seen,
// and the clock of each test starts at the same time.
func newID() uuid.UUID {
	id := uuid.New()
	millis := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id
}

// sendQuery sends one request whose body differs by number.
func sendQuery(t *testing.T, st *site.Site, client *caller.Client, route string, number int) caller.Result {
	t.Helper()
	body := fmt.Sprintf(`{"text":"lesson %d"}`, number)
	rs, err := client.Query(t.Context(), st.Plan.Team, route, newID(), []byte(body), 0)
	assert.NilError(t, err)
	return rs
}

// TestWholeAnswer checks that a query on a healthy site returns all shards.
func TestWholeAnswer(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		client, _ := st.Caller()
		rs := sendQuery(t, st, client, "find", 1)
		assert.Equal(t, string(rs.Outcome()), "whole")
		assert.Equal(t, len(rs.Answer.Parts), st.Plan.Shards)
	})
}
