package entryvm_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/node/entryvm"
	"daisystage.example/daisystage/internal/standin/site"
	"daisystage.example/daisystage/internal/world/contract"
)

// TestStopAnswersRequestsThatArriveLate connects callers to an entry VM before a stop,
// and sends their first requests after its listener was closed. Callers may not know
// yet that the VM leaves, and expect an answer.
func TestStopAnswersRequestsThatArriveLate(t *testing.T) {
	const callers = 20
	plan := site.GaismaPlan()
	st, end, err := site.Start(t.Context(), time.Now(), plan, site.NewLoopbackTransport(), zap.NewNop())
	assert.NilError(t, err)
	defer end()
	cg := st.Configs[0]
	cg.Name, cg.Peers = "entry-stopping", []string{cg.EntryAddress}
	short := contract.Duration{Duration: 50 * time.Millisecond}
	cg.EntriesTTL, cg.StopMargin, cg.DrainFor = short, short, short
	for _, address := range []*string{&cg.CallerAddress, &cg.OperatorAddress, &cg.EntryAddress} {
		*address, err = st.Transport.Reserve(cg.Zone)
		assert.NilError(t, err)
	}
	ps, endProcess, err := entryvm.Start(time.Now(), cg, entryvm.Network{Listen: st.Transport.Listen, Dial: st.Transport.Dialer(cg.Zone)}, zap.NewNop())
	assert.NilError(t, err)
	defer endProcess()
	var conns []net.Conn
	for range callers {
		cn, err := net.Dial("tcp", cg.CallerAddress)
		assert.NilError(t, err)
		defer func() { _ = cn.Close() }()
		conns = append(conns, cn)
	}
	stopped := make(chan struct{})
	go func() {
		ps.Stop()
		close(stopped)
	}()
	for {
		cn, err := net.Dial("tcp", cg.CallerAddress)
		if err != nil {
			break
		}
		_ = cn.Close()
		time.Sleep(time.Millisecond)
	}
	for _, cn := range conns {
		_, err := fmt.Fprintf(cn, "GET /v1/entries HTTP/1.1\r\nHost: %s\r\n\r\n", cg.CallerAddress)
		assert.NilError(t, err)
		rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
		assert.NilError(t, err)
		assert.Equal(t, rs.StatusCode, http.StatusOK)
	}
	<-stopped
}
