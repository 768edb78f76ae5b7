package entryvm_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/node/entryvm"
	"daisystage.example/daisystage/internal/peer/operator"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/wire/operatorapi"
	"daisystage.example/daisystage/internal/world/contract"
)

// operatorClient returns a client of the operator API of one entry VM.
func operatorClient(t *testing.T, st *site.Site, at int, token string) *operatorapi.Client {
	t.Helper()
	hc := &http.Client{Transport: &http.Transport{DialContext: st.Transport.Dialer(site.ClientZone), DisableKeepAlives: true}}
	client, err := operator.NewClient(st.Configs[at].OperatorAddress, token, hc)
	assert.NilError(t, err)
	return client
}

// refusalCode returns the code of a refusal by the operator API; empty if err is
// none.
func refusalCode(err error) string {
	if rs := (*operatorapi.RefusedStatusCode)(nil); errors.As(err, &rs) {
		return rs.Response.Code
	}
	return ""
}

// TestOperatorRejectsInvalidChanges checks that each invalid or unauthorized
// change is refused and leaves the version in force unchanged, and that a valid
// one takes effect on all entry VMs.
func TestOperatorRejectsInvalidChanges(t *testing.T) {
	const good = "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"333ms\"\n"
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		path := contract.RoutePath(st.Plan.Team, "find")
		before, err := operatorClient(t, st, 0, site.Token).GetSetting(t.Context(), operatorapi.GetSettingParams{Path: path})
		assert.NilError(t, err)
		tests := []struct {
			name, token, path, body, basedOn, code string
		}{
			{"no such token", "guess", path, good, before.Hash, "no_token"},
			{"another team's path", site.Token, "teams/karaca/routes/find", good, "", "forbidden"},
			{"a path that begins like the team's", site.Token, "teams/gaisma2/routes/find", good, "", "forbidden"},
			{"a path that is none", site.Token, "teams/gaisma/routes/find/x", good, "", "invalid_setting"},
			{"an unknown key", site.Token, path, good + "colour = 1\n", before.Hash, "invalid_setting"},
			{"out of range", site.Token, path, good + "hedge_share = 2.0\n", before.Hash, "invalid_setting"},
			{"based on an older revision", site.Token, path, good, "", "changed"},
		}
		for _, tt := range tests {
			change := &operatorapi.Change{Body: tt.body, BasedOn: tt.basedOn, ChangeID: tt.name, Reason: "test"}
			_, err := operatorClient(t, st, 0, tt.token).PutSetting(t.Context(), change, operatorapi.PutSettingParams{Path: tt.path})
			assert.Equal(t, refusalCode(err), tt.code, "%s: %v", tt.name, err)
			now, err := operatorClient(t, st, 0, site.Token).GetSetting(t.Context(), operatorapi.GetSettingParams{Path: path})
			assert.NilError(t, err)
			assert.Equal(t, now.Version, before.Version, tt.name)
		}
		change := &operatorapi.Change{Body: good, BasedOn: before.Hash, ChangeID: "good", Reason: "test"}
		accepted, err := operatorClient(t, st, 1, site.Token).PutSetting(t.Context(), change, operatorapi.PutSettingParams{Path: path})
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		rows, err := operatorClient(t, st, 2, site.Token).ListForce(t.Context(), operatorapi.ListForceParams{Path: path})
		assert.NilError(t, err)
		assert.Equal(t, len(rows), len(st.Configs))
		for _, row := range rows {
			assert.Equal(t, row.Version, accepted.Version, row.EntryVM)
		}
		rs := queryEntryVM(t, st, 0)
		revision, err := operatorClient(t, st, 0, site.Token).GetRevision(t.Context(), operatorapi.GetRevisionParams{Hash: rs.Answer.Settings.Hash})
		assert.NilError(t, err)
		assert.Equal(t, revision.Body, good)
	})
}

// TestDump checks the dump of a process that has answered requests, and that it
// needs a valid token.
func TestDump(t *testing.T) {
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		warmUp(t, st)
		text, err := operatorClient(t, st, 0, site.Token).Dump(t.Context())
		assert.NilError(t, err)
		var state entryvm.State
		assert.NilError(t, json.Unmarshal(text, &state))
		assert.Equal(t, len(state.Servers), len(st.Servers))
		assert.Equal(t, len(state.EntryVMs), len(st.Configs))
		assert.Assert(t, state.View.Confirmed)
		assert.Assert(t, len(state.Receipts.Recent) > 0)
		_, err = operatorClient(t, st, 0, "guess").Dump(t.Context())
		assert.Equal(t, refusalCode(err), "no_token")
	})
}
