package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/standin/crowd"
)

// Limits of the process under TestCrowdOfServe; of the descriptors, files get crowdFiles.
const (
	crowdMemoryMB    = 136
	crowdDescriptors = 1500
	crowdFiles       = 200
	crowdHeaderBytes = 16384
	legalHead        = 16000
	// largeHead is the size of a head that net/http accepted regardless of any limit.
	largeHead = 900000
)

const (
	crowdEntries = "GET /v1/entries HTTP/1.1\r\nHost: h\r\n"
	crowdQuery   = "POST /v1/teams/gaisma/routes/find/query HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
)

// crowdCases are the callers that exceed the limits, on the addresses for callers and for
// operators.
var crowdCases = []crowd.Case{
	{Name: "legal heads of short lines", Callers: 300, Begin: crowdEntries + crowd.Lines(legalHead-200), Finish: "\r\n"},
	{Name: "heads over the limit", Callers: 30, Begin: crowdEntries + crowd.Lines(largeHead), Finish: "\r\n"},
	{Name: "legal heads that never finish", Callers: 1000, Begin: crowdEntries + crowd.Lines(legalHead)},
	{Name: "heads that never finish", Callers: 100, Begin: crowdEntries + crowd.Lines(largeHead)},
	{Name: "empty lines without end", Callers: 500, Begin: crowdQuery + "Content-Length: 0\r\n\r\n", Repeat: "\r\n", Size: 1 << 20},
	{Name: "a line without end", Callers: 500, Begin: "GET /", Repeat: "find", Size: 900000},
	{Name: "connections that never speak", Callers: 1700},
	{Name: "bodies that are never sent", Callers: 1000, Begin: crowdQuery + "Content-Length: 262144\r\n\r\n"},
	{Name: "bodies that never end", Callers: 500, Begin: crowdQuery + "Content-Length: 900000\r\n\r\n", Repeat: "body", Size: 800000},
	{Name: "chunk extensions without end", Callers: 500, Begin: crowdQuery + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", Size: 1 << 20},
	{Name: "trailers without end", Callers: 500, Begin: crowdQuery + "Trailer: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + crowd.Lines(60000)},
	{Name: "pipelined requests without a reader", Callers: 300, Repeat: crowdEntries + "\r\n", Size: 200000},
}

// TestCrowdOfServe lets callers that exceed the limits do so together. It guards against a
// process that ends or outgrows its VM's memory or descriptors, and against one that
// serves no ordinary request while they are connected.
func TestCrowdOfServe(t *testing.T) {
	const name = "entry-0"
	dp := newDeployment(t, 3, 1)
	text, err := os.ReadFile(dp.configs[name])
	assert.NilError(t, err)
	limits := fmt.Sprintf("memory_mb = %d\nmax_descriptors = %d\nmax_header_bytes = %d\n", crowdMemoryMB, crowdDescriptors, crowdHeaderBytes)
	assert.NilError(t, os.WriteFile(dp.configs[name], append(text, limits...), 0o600))
	for _, tt := range crowdCases {
		t.Run(tt.Name, func(t *testing.T) {
			if _, runs := dp.commands[name]; runs {
				dp.signal(name, syscall.SIGKILL)
				assert.ErrorContains(t, dp.waitExit(name), "killed")
			}
			dp.startEntryVM(name)
			dp.waitReady(1)
			dp.eventually(func() error { return dp.askOrdinary(t.Context(), name) })
			defer tt.Run([]string{dp.callerAddresses[name], dp.operatorAddresses[name]})()
			assert.Equal(t, dp.endedProcesses(), "")
			pid := dp.commands[name].Process.Pid
			sockets, err := crowd.Sockets(pid)
			assert.NilError(t, err)
			dp.eventually(func() error { return dp.askOrdinary(t.Context(), name) })
			memory, err := crowd.PeakMemory(pid)
			assert.NilError(t, err)
			t.Logf("%d MB, %d sockets", memory/1e6, sockets)
			assert.Check(t, memory <= crowdMemoryMB*1e6, "%d MB of %d", memory/1e6, crowdMemoryMB)
			assert.Check(t, sockets <= crowdDescriptors-crowdFiles, "%d sockets of %d", sockets, crowdDescriptors-crowdFiles)
		})
	}
}

// askOrdinary sends one ordinary query and returns an error unless its answer is whole.
func (dp *deployment) askOrdinary(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	rs, err := dp.caller(name).Query(ctx, "gaisma", "find", newID(), []byte(`{"text":"Jonah"}`), 0)
	if err != nil {
		return err
	}
	if outcome := string(rs.Outcome()); outcome != "whole" {
		return fmt.Errorf("outcome %s: %+v", outcome, rs.Refusal)
	}
	return nil
}
