package entryvm_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/standin/site"
)

// TestInvalidRequestsAreRefused sends malformed and unacceptable requests and
// checks the status, outcome and reason of each refusal.
func TestInvalidRequestsAreRefused(t *testing.T) {
	const id = "01940000-0000-7000-8000-000000000001"
	tests := []struct {
		name, path, body string
		status           int
		outcome, reason  string
	}{
		{"unknown route", "/v1/teams/gaisma/routes/none/query", `{"request_id":"` + id + `","query":{}}`, 404, "invalid", "there is no route"},
		{"unknown team", "/v1/teams/none/routes/find/query", `{"request_id":"` + id + `","query":{}}`, 404, "invalid", "there is no route"},
		{"unknown path", "/v2/query", `{}`, 404, "invalid", "no such path"},
		{"body too large", "/v1/teams/gaisma/routes/find/query", `{"request_id":"` + id + `","query":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "invalid", "larger than"},
		{"id is no UUID", "/v1/teams/gaisma/routes/find/query", `{"request_id":"7","query":{}}`, 400, "invalid", "can't be read"},
		{"wrong type", "/v1/teams/gaisma/routes/find/query", `{"request_id":"` + id + `","query":{},"deadline_ms":"soon"}`, 400, "invalid", "can't be read"},
		{"deadline out of range", "/v1/teams/gaisma/routes/find/query", `{"request_id":"` + id + `","query":{},"deadline_ms":0}`, 400, "invalid", "can't be read"},
		{"no query", "/v1/teams/gaisma/routes/find/query", `{"request_id":"` + id + `"}`, 400, "invalid", "can't be read"},
		{"not JSON", "/v1/teams/gaisma/routes/find/query", `{"request_id`, 400, "invalid", "can't be read"},
		{"empty body", "/v1/teams/gaisma/routes/find/query", ``, 400, "invalid", "can't be read"},
		{"id of another version for a claim", "/v1/teams/gaisma/routes/save/query", `{"request_id":"aaaaaaaa-aaaa-4aaa-8aaa-aaaaaaaaaaaa","query":{}}`, 400, "invalid", "UUID of version 7"},
		// The clock of the site starts in the year 2000.
		{"id too old for a claim", "/v1/teams/gaisma/routes/save/query", `{"request_id":"00dc0000-0000-7000-8000-000000000001","query":{}}`, 400, "invalid", "older"},
		{"id from the future for a claim", "/v1/teams/gaisma/routes/save/query", `{"request_id":"01800000-0000-7000-8000-000000000001","query":{}}`, 400, "invalid", "ahead"},
	}
	withSite(t, site.GaismaPlan(), func(t *testing.T, st *site.Site) {
		_, hc := st.Caller()
		address := "http://" + st.Configs[0].CallerAddress
		for _, tt := range tests {
			t.Log(tt.name)
			rs, err := hc.Post(address+tt.path, "application/json", strings.NewReader(tt.body))
			assert.NilError(t, err)
			text, err := io.ReadAll(rs.Body)
			assert.NilError(t, err)
			rs.Body.Close()
			var refusal struct{ Outcome, Code, Reason string }
			assert.NilError(t, json.Unmarshal(text, &refusal), "%s: %s", tt.name, text)
			assert.Equal(t, rs.StatusCode, tt.status, "%s: %s", tt.name, text)
			assert.Equal(t, refusal.Outcome, tt.outcome, tt.name)
			assert.Assert(t, strings.Contains(refusal.Reason, tt.reason), "%s: %s", tt.name, refusal.Reason)
			assert.Assert(t, refusal.Code != "", tt.name)
		}
		rs, err := hc.Get(address + "/v1/teams/gaisma/routes/find/query")
		assert.NilError(t, err)
		rs.Body.Close()
		assert.Equal(t, rs.StatusCode, http.StatusMethodNotAllowed)
	})
}
