package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"daisystage.example/daisystage/internal/wire/entrypb"
)

// maxMessageSize limits a received message, in bytes.
const maxMessageSize = 64 << 20

// GRPCTransport implements Transport over gRPC. Close it after use.
type GRPCTransport struct {
	// Dial establishes the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	lock sync.Mutex
	// conns holds the connections by address.
	conns map[string]*grpc.ClientConn
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

func (gt *GRPCTransport) client(address string) (entrypb.EntryClient, error) {
	gt.lock.Lock()
	defer gt.lock.Unlock()
	if cc, ok := gt.conns[address]; ok {
		return entrypb.NewEntryClient(cc), nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return gt.Dial(ctx, "tcp", address)
		}),
		grpc.WithIdleTimeout(0))
	if err != nil {
		return nil, fmt.Errorf("connect to entry VM %s: %w", address, err)
	}
	if gt.conns == nil {
		gt.conns = map[string]*grpc.ClientConn{}
	}
	gt.conns[address] = cc
	return entrypb.NewEntryClient(cc), nil
}

// closeConn closes the connection to an address, so that the next call opens a
// new one. After a failed call the old one may be dead without having been
// closed.
func (gt *GRPCTransport) closeConn(address string) {
	gt.lock.Lock()
	defer gt.lock.Unlock()
	if cc, ok := gt.conns[address]; ok {
		delete(gt.conns, address)
		_ = cc.Close()
	}
}

// Exchange implements Transport.
func (gt *GRPCTransport) Exchange(ctx context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	client, err := gt.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Exchange(ctx, hb)
	if err != nil {
		gt.closeConn(address)
		return nil, fmt.Errorf("heartbeat to %s: %w", address, err)
	}
	return reply, nil
}

// Pull implements Transport.
func (gt *GRPCTransport) Pull(ctx context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	client, err := gt.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Pull(ctx, rq)
	if err != nil {
		gt.closeConn(address)
		return nil, fmt.Errorf("pull from %s: %w", address, err)
	}
	return reply, nil
}

// Server answers peers over gRPC.
type Server struct {
	entrypb.UnimplementedEntryServer
	Cluster *Cluster
}

// NewServer returns a gRPC server for a cluster.
func NewServer(cr *Cluster) *grpc.Server {
	gs := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageSize))
	entrypb.RegisterEntryServer(gs, &Server{Cluster: cr})
	return gs
}

// Exchange implements entrypb.EntryServer.
func (sr *Server) Exchange(_ context.Context, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	return sr.Cluster.HandleHeartbeat(time.Now(), hb), nil
}

// Pull implements entrypb.EntryServer.
func (sr *Server) Pull(_ context.Context, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	return sr.Cluster.HandlePull(rq), nil
}
