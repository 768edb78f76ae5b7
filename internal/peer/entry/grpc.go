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

// messageLimit is the largest message, in bytes.
const messageLimit = 64 << 20

// GRPC is a Transport over gRPC. Close it at the end.
type GRPC struct {
	// Dial makes the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	lock sync.Mutex
	// links holds a connection for each address.
	links map[string]*grpc.ClientConn
}

// Close closes all connections.
func (gr *GRPC) Close() {
	gr.lock.Lock()
	defer gr.lock.Unlock()
	for _, cc := range gr.links {
		_ = cc.Close()
	}
	gr.links = nil
}

func (gr *GRPC) client(address string) (entrypb.EntryClient, error) {
	gr.lock.Lock()
	defer gr.lock.Unlock()
	if cc, ok := gr.links[address]; ok {
		return entrypb.NewEntryClient(cc), nil
	}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageLimit)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return gr.Dial(ctx, "tcp", address)
		}),
		grpc.WithIdleTimeout(0))
	if err != nil {
		return nil, fmt.Errorf("connect to entry VM %s: %w", address, err)
	}
	if gr.links == nil {
		gr.links = map[string]*grpc.ClientConn{}
	}
	gr.links[address] = cc
	return entrypb.NewEntryClient(cc), nil
}

// drop closes the connection to an address, so that the next call makes a new
// one: the old one may have gone silent.
func (gr *GRPC) drop(address string) {
	gr.lock.Lock()
	defer gr.lock.Unlock()
	if cc, ok := gr.links[address]; ok {
		delete(gr.links, address)
		_ = cc.Close()
	}
}

// Exchange is of Transport.
func (gr *GRPC) Exchange(ctx context.Context, address string, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	client, err := gr.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Exchange(ctx, hb)
	if err != nil {
		gr.drop(address)
		return nil, fmt.Errorf("heartbeat to %s: %w", address, err)
	}
	return reply, nil
}

// Pull is of Transport.
func (gr *GRPC) Pull(ctx context.Context, address string, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	client, err := gr.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Pull(ctx, rq)
	if err != nil {
		gr.drop(address)
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
	gs := grpc.NewServer(grpc.MaxRecvMsgSize(messageLimit))
	entrypb.RegisterEntryServer(gs, &Server{Cluster: cr})
	return gs
}

// Exchange is of entrypb.EntryServer.
func (sr *Server) Exchange(_ context.Context, hb *entrypb.Heartbeat) (*entrypb.Heartbeat, error) {
	return sr.Cluster.Handle(time.Now(), hb), nil
}

// Pull is of entrypb.EntryServer.
func (sr *Server) Pull(_ context.Context, rq *entrypb.PullRequest) (*entrypb.PullReply, error) {
	return sr.Cluster.HandlePull(rq), nil
}
