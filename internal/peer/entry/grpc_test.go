package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"daisystage.example/daisystage/internal/wire/entrypb"
)

// slowPulls answers heartbeats at once, and pulls when released.
type slowPulls struct {
	entrypb.UnimplementedEntryServer
	started, release chan struct{}
}

func (sp *slowPulls) Exchange(ctx context.Context, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	if hb.Version > 0 {
		// An answer at the end of the context may come before the caller's own
		// deadline.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &entrypb.Heartbeat{}, nil
}

func (sp *slowPulls) Pull(context.Context, *entrypb.PullRequest) (*entrypb.PullReply, error) {
	close(sp.started)
	<-sp.release
	return &entrypb.PullReply{Version: 7}, nil
}

// TestCanceledCallKeepsConnection cancels a heartbeat while a pull runs on the same
// connection, which must go on.
func TestCanceledCallKeepsConnection(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gs := grpc.NewServer()
	defer gs.Stop()
	peer := &slowPulls{started: make(chan struct{}), release: make(chan struct{})}
	entrypb.RegisterEntryServer(gs, peer)
	go func() { _ = gs.Serve(ls) }()
	gt := &GRPCTransport{Dial: (&net.Dialer{}).DialContext}
	defer gt.Close()
	address := ls.Addr().String()

	pulled := make(chan error, 1)
	go func() {
		_, err := gt.Pull(t.Context(), address, &entrypb.PullRequest{})
		pulled <- err
	}()
	<-peer.started
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = gt.Exchange(ctx, address, &entrypb.Heartbeat{Version: 1})
	assert.Assert(t, err != nil)
	close(peer.release)
	assert.NilError(t, <-pulled)
}

// TestSilentConnectionIsReplaced lets a call time out on a connection on which
// nothing else was answered. The next call opens a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gs := grpc.NewServer()
	defer gs.Stop()
	entrypb.RegisterEntryServer(gs, &slowPulls{})
	go func() { _ = gs.Serve(ls) }()
	dials := 0
	gt := &GRPCTransport{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer gt.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = gt.Exchange(ctx, ls.Addr().String(), &entrypb.Heartbeat{Version: 1})
	assert.Assert(t, err != nil)
	_, err = gt.Exchange(t.Context(), ls.Addr().String(), &entrypb.Heartbeat{})
	assert.NilError(t, err)
	assert.Equal(t, dials, 2)
}
