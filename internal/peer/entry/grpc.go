package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"daisystage.example/daisystage/internal/wire/entrypb"
)

const (
	// maxMessageSize limits a received message, in bytes.
	maxMessageSize = 64 << 20
	// bufferSize is the size of the buffers of a connection, in bytes. Heartbeats
	// have a few kilobytes, and a process has connections to many peers.
	bufferSize = 4 << 10
	// maxIdle is how long a connection is kept without calls. Partners change after
	// some rounds of heartbeats.
	maxIdle = 5 * time.Second
)

// GRPCTransport implements Transport over gRPC. Close it after use.
type GRPCTransport struct {
	// Dial establishes the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	lock sync.Mutex
	// conns holds the connections by address.
	conns map[string]*peerConn
}

// peerConn is the connection to one entry VM.
type peerConn struct {
	*grpc.ClientConn
	// answeredAt is when a call was last answered, in Unix nanoseconds.
	answeredAt atomic.Int64
	// calledAt is when a call was last made, and calls the number of those in
	// flight. GRPCTransport.lock guards them.
	calledAt time.Time
	calls    int
}

// Close closes all connections.
func (gt *GRPCTransport) Close() {
	gt.lock.Lock()
	defer gt.lock.Unlock()
	for _, cc := range gt.conns {
		_ = cc.Close()
	}
	gt.conns = nil
}

// acquire returns the connection to an address for one call, and closes those that
// were idle for long.
func (gt *GRPCTransport) acquire(now time.Time, address string) (*peerConn, error) {
	gt.lock.Lock()
	defer gt.lock.Unlock()
	pc, err := gt.connect(address)
	if err != nil {
		return nil, err
	}
	pc.calledAt = now
	pc.calls++
	for other, idle := range gt.conns {
		if idle.calls == 0 && now.Sub(idle.calledAt) > maxIdle {
			delete(gt.conns, other)
			_ = idle.Close()
		}
	}
	return pc, nil
}

func (gt *GRPCTransport) release(pc *peerConn) {
	gt.lock.Lock()
	defer gt.lock.Unlock()
	pc.calls--
}

// connect returns the connection to an address, which it makes if there is none.
// The lock is held.
func (gt *GRPCTransport) connect(address string) (*peerConn, error) {
	if pc, ok := gt.conns[address]; ok {
		return pc, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return gt.Dial(ctx, "tcp", address)
		}),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize), grpc.WithSharedWriteBuffer(true),
		grpc.WithIdleTimeout(0))
	if err != nil {
		return nil, fmt.Errorf("connect to entry VM %s: %w", address, err)
	}
	if gt.conns == nil {
		gt.conns = map[string]*peerConn{}
	}
	pc := &peerConn{ClientConn: cc}
	gt.conns[address] = pc
	return pc, nil
}

// closeIfDead closes a connection after a call that failed with err, so that the
// next call opens a new one: the old one may be dead without having been closed. It
// is kept for the calls beside if the caller canceled this one, or if another call
// was answered since it was sent.
func (gt *GRPCTransport) closeIfDead(address string, pc *peerConn, sentAt time.Time, err error) {
	if status.Code(err) == codes.Canceled || pc.answeredAt.Load() > sentAt.UnixNano() {
		return
	}
	gt.lock.Lock()
	defer gt.lock.Unlock()
	if gt.conns[address] == pc {
		delete(gt.conns, address)
	}
	_ = pc.Close()
}

// call makes one call to an entry VM.
func call[R any](gt *GRPCTransport, address string, do func(entrypb.EntryClient) (R, error)) (R, error) {
	var none R
	sentAt := time.Now()
	pc, err := gt.acquire(sentAt, address)
	if err != nil {
		return none, err
	}
	defer gt.release(pc)
	reply, err := do(entrypb.NewEntryClient(pc))
	if err != nil {
		gt.closeIfDead(address, pc, sentAt, err)
		return none, fmt.Errorf("call entry VM %s: %w", address, err)
	}
	pc.answeredAt.Store(time.Now().UnixNano())
	return reply, nil
}

// Exchange implements Transport.
func (gt *GRPCTransport) Exchange(ctx context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	return call(gt, address, func(client entrypb.EntryClient) (*entrypb.Heartbeat, error) {
		return client.Exchange(ctx, hb)
	})
}

// Pull implements Transport.
func (gt *GRPCTransport) Pull(ctx context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	return call(gt, address, func(client entrypb.EntryClient) (*entrypb.PullReply, error) {
		return client.Pull(ctx, rq)
	})
}

// Lease implements LeaseTransport.
func (gt *GRPCTransport) Lease(ctx context.Context, address string, rq *entrypb.LeaseRequest) (*entrypb.LeaseReply, error) {
	return call(gt, address, func(client entrypb.EntryClient) (*entrypb.LeaseReply, error) {
		return client.Lease(ctx, rq)
	})
}

// Server answers peers over gRPC.
type Server struct {
	entrypb.UnimplementedEntryServer
	Cluster *Cluster
	// Leases answers requests for tokens of shared rates; nil if this process owns none.
	Leases *Leases
}

// NewServer returns a gRPC server for a cluster and the shared rates, which may be nil.
func NewServer(cr *Cluster, leases *Leases) *grpc.Server {
	gs := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize), grpc.SharedWriteBuffer(true))
	entrypb.RegisterEntryServer(gs, &Server{Cluster: cr, Leases: leases})
	return gs
}

// Exchange implements entrypb.EntryServer.
func (sr *Server) Exchange(_ context.Context, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	return sr.Cluster.HandleHeartbeat(time.Now(), hb), nil
}

// Pull implements entrypb.EntryServer.
func (sr *Server) Pull(_ context.Context, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	return sr.Cluster.HandlePull(time.Now(), rq), nil
}

// Lease implements entrypb.EntryServer.
func (sr *Server) Lease(ctx context.Context, rq *entrypb.LeaseRequest) (*entrypb.LeaseReply, error) {
	if sr.Leases == nil {
		return nil, status.Error(codes.Unimplemented, "this process shares no rates")
	}
	return sr.Leases.HandleLease(ctx, rq), nil
}
