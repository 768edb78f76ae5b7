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

// operatorOf returns a client of one entry VM's operator address.
func operatorOf(t *testing.T, st *site.Site, at int, token string) *operatorapi.Client {
	t.Helper()
	hc := &http.Client{Transport: &http.Transport{DialContext: st.Places.Dialer(site.ClientZone), DisableKeepAlives: true}}
	client, err := operator.NewClient(st.Configs[at].OperatorAddress, token, hc)
	assert.NilError(t, err)
	return client
}

func codeOf(err error) string {
	if rs := (*operatorapi.RefusedStatusCode)(nil); errors.As(err, &rs) {
		return rs.Response.Code
	}
	return ""
}

// TestOperatorChanges refuses each change that must not be made, and looks at
// the version in force after it.
func TestOperatorChanges(t *testing.T) {
	const good = "class = \"urgent\"\ncollection = \"lessons\"\ndeadline = \"333ms\"\n"
	inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
		path := contract.RoutePath(st.Plan.Team, "find")
		before, err := operatorOf(t, st, 0, site.Token).GetSetting(t.Context(), operatorapi.GetSettingParams{Path: path})
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
			_, err := operatorOf(t, st, 0, tt.token).PutSetting(t.Context(), change, operatorapi.PutSettingParams{Path: tt.path})
			assert.Equal(t, codeOf(err), tt.code, "%s: %v", tt.name, err)
			now, err := operatorOf(t, st, 0, site.Token).GetSetting(t.Context(), operatorapi.GetSettingParams{Path: path})
			assert.NilError(t, err)
			assert.Equal(t, now.Version, before.Version, tt.name)
		}
		change := &operatorapi.Change{Body: good, BasedOn: before.Hash, ChangeID: "good", Reason: "test"}
		accepted, err := operatorOf(t, st, 1, site.Token).PutSetting(t.Context(), change, operatorapi.PutSettingParams{Path: path})
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		rows, err := operatorOf(t, st, 2, site.Token).ListForce(t.Context(), operatorapi.ListForceParams{Path: path})
		assert.NilError(t, err)
		assert.Equal(t, len(rows), len(st.Configs))
		for _, row := range rows {
			assert.Equal(t, row.Version, accepted.Version, row.EntryVM)
		}
		rs := askAt(t, st, 0)
		revision, err := operatorOf(t, st, 0, site.Token).GetRevision(t.Context(), operatorapi.GetRevisionParams{Hash: rs.Answer.Settings.Hash})
		assert.NilError(t, err)
		assert.Equal(t, revision.Body, good)
	})
}

// TestDump reads the state of a process that has had requests.
func TestDump(t *testing.T) {
	inSite(t, site.Gaisma(), func(t *testing.T, st *site.Site) {
		warmUp(t, st)
		text, err := operatorOf(t, st, 0, site.Token).Dump(t.Context())
		assert.NilError(t, err)
		var state entryvm.State
		assert.NilError(t, json.Unmarshal(text, &state))
		assert.Equal(t, len(state.Servers), len(st.Servers))
		assert.Equal(t, len(state.EntryVMs), len(st.Configs))
		assert.Assert(t, state.View.Confirmed)
		assert.Assert(t, len(state.Receipts.Recent) > 0)
		_, err = operatorOf(t, st, 0, "guess").Dump(t.Context())
		assert.Equal(t, codeOf(err), "no_token")
	})
}
