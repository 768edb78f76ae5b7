package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/query/scatter"
	"daisystage.example/daisystage/internal/wire/backendapi"
	"daisystage.example/daisystage/internal/world/machine"
)

// refuseFirst serves the native protocol on one connection: it refuses the first part, and
// sends that refusal once more before the answer to each later part.
func refuseFirst(cn net.Conn, isFirst bool) {
	const body = `{"code":"shed","reason":"full","not_run":true}`
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	reader := bufio.NewReader(cn)
	for count := 0; ; count++ {
		rq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var part struct {
			RequestID string `json:"request_id"`
			Attempt   int32  `json:"attempt"`
			Shard     string `json:"shard"`
			Snapshot  string `json:"snapshot"`
		}
		if json.NewDecoder(rq.Body).Decode(&part) != nil {
			return
		}
		if isFirst {
			_, _ = fmt.Fprint(cn, refusal)
		}
		if isFirst && count == 0 {
			continue
		}
		answer, _ := (&backendapi.PartAnswer{
			RequestID: part.RequestID, Attempt: part.Attempt, Shard: part.Shard, Snapshot: part.Snapshot,
			Length: 2, Digest: Digest([]byte(`{}`)), Body: []byte(`{}`),
		}).MarshalJSON()
		_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	}
}

// TestLateCopyOfRefusalProvesNothing guards against a late copy of a refusal, which does
// not name its request, that is taken for the answer to the next part on the connection.
// Its claim would be returned although the part runs.
func TestLateCopyOfRefusalProvesNothing(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ls.Close() }()
	go func() {
		for isFirst := true; ; isFirst = false {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			go refuseFirst(cn, isFirst)
		}
	}()
	cl, end := New((&net.Dialer{}).DialContext)
	defer end()
	sv := &machine.Server{Name: "i-1", Address: ls.Addr().String(), ConnectionLimit: 4, State: &machine.ServerState{}}
	part := scatter.PartRequest{RequestID: "first", Attempt: 1, Route: "r", Shard: "s", Snapshot: "n", Query: []byte(`{}`)}
	part.Deadline = time.Now().Add(5 * time.Second)
	_, err = cl.Send(t.Context(), sv, part)
	assert.ErrorContains(t, err, "full")
	part.RequestID = "second"
	body, err := cl.Send(t.Context(), sv, part)
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{}`)
}
