// Package network is an in-memory stand-in for the network between zones: it
// connects listeners and dialers with simulated delay, loss and partitions. It
// uses package time, so it also runs on a fake clock.
package network

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// maxPacketBytes is the size limit of a packet.
	maxPacketBytes = 16 << 10
	// maxQueued bounds the packets in flight in one direction of a connection,
	// and the connections that wait to be accepted by a listener.
	maxQueued = 256
	// retransmitDelay is the delay added by the loss of a packet.
	retransmitDelay = 200 * time.Millisecond
)

// Path describes the link between two zones.
type Path struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// Jitter is the upper bound of the random addition to Delay.
	Jitter time.Duration
	// Loss is the probability that a packet is lost and retransmitted, in
	// [0, 1].
	Loss float64
}

// Network connects listeners and dialers. Make one with New.
type Network struct {
	lock      sync.Mutex
	random    *rand.Rand
	listeners map[string]*Listener
	paths     map[[2]string]Path
	// partitioned holds the zone pairs that cannot reach each other.
	partitioned map[[2]string]bool
	// open holds the inner pipe ends of open connections with their zone pairs.
	open map[net.Conn][2]string
}

// New returns a network with a random generator seeded by seed.
func New(seed uint64) *Network {
	return &Network{
		random:      rand.New(rand.NewPCG(seed, seed)),
		listeners:   map[string]*Listener{},
		paths:       map[[2]string]Path{},
		partitioned: map[[2]string]bool{},
		open:        map[net.Conn][2]string{},
	}
}

func zonePair(one, two string) [2]string {
	if one > two {
		one, two = two, one
	}
	return [2]string{one, two}
}

// SetPath sets the path between two zones; equal names set the path within a
// zone.
func (nw *Network) SetPath(one, two string, path Path) {
	nw.lock.Lock()
	defer nw.lock.Unlock()
	nw.paths[zonePair(one, two)] = path
}

// SetPartitioned partitions two zones if partitioned is set, and heals the
// partition otherwise. A partition closes the open connections between the zones.
func (nw *Network) SetPartitioned(one, two string, partitioned bool) {
	nw.lock.Lock()
	defer nw.lock.Unlock()
	nw.partitioned[zonePair(one, two)] = partitioned
	for cn, zones := range nw.open {
		if partitioned && zones == zonePair(one, two) {
			_ = cn.Close()
		}
	}
}

func (nw *Network) track(cn net.Conn, zones [2]string) {
	nw.lock.Lock()
	defer nw.lock.Unlock()
	nw.open[cn] = zones
}

func (nw *Network) untrack(cn net.Conn) {
	nw.lock.Lock()
	defer nw.lock.Unlock()
	delete(nw.open, cn)
}

// Listener accepts connections to one address. It implements net.Listener.
type Listener struct {
	network *Network
	address string
	zone    string
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener for an address in a zone.
func (nw *Network) Listen(zone, address string) *Listener {
	ls := &Listener{network: nw, address: address, zone: zone, pending: make(chan net.Conn, maxQueued), closed: make(chan struct{})}
	nw.lock.Lock()
	defer nw.lock.Unlock()
	nw.listeners[address] = ls
	return ls
}

// Accept implements net.Listener.
func (ls *Listener) Accept() (net.Conn, error) {
	select {
	case cn := <-ls.pending:
		return cn, nil
	case <-ls.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (ls *Listener) Close() error {
	ls.once.Do(func() {
		close(ls.closed)
		ls.network.lock.Lock()
		defer ls.network.lock.Unlock()
		if ls.network.listeners[ls.address] == ls {
			delete(ls.network.listeners, ls.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (ls *Listener) Addr() net.Addr {
	return address(ls.address)
}

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (ad address) String() string { return string(ad) }

// Dialer returns the dial function for connections from a zone.
func (nw *Network) Dialer(zone string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return nw.dial(ctx, zone, address)
	}
}

func (nw *Network) dial(ctx context.Context, zone, address string) (net.Conn, error) {
	nw.lock.Lock()
	ls, ok := nw.listeners[address]
	if !ok {
		nw.lock.Unlock()
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	path := nw.paths[zonePair(zone, ls.zone)]
	nw.lock.Unlock()
	if err := Sleep(ctx, 2*nw.delay(path)); err != nil {
		return nil, err
	}
	if nw.isPartitioned(zone, ls.zone) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, nearInner := net.Pipe()
	far, farInner := net.Pipe()
	nw.track(nearInner, zonePair(zone, ls.zone))
	go func() {
		nw.pump(nearInner, farInner, path)
		nw.untrack(nearInner)
	}()
	go nw.pump(farInner, nearInner, path)
	select {
	case ls.pending <- far:
		return near, nil
	case <-ls.closed:
		_ = near.Close()
		_ = far.Close()
		return nil, errors.New("connection refused")
	}
}

func (nw *Network) isPartitioned(one, two string) bool {
	nw.lock.Lock()
	defer nw.lock.Unlock()
	return nw.partitioned[zonePair(one, two)]
}

// delay draws the transit time of one packet.
func (nw *Network) delay(path Path) time.Duration {
	nw.lock.Lock()
	defer nw.lock.Unlock()
	delay := path.Delay
	if path.Jitter > 0 {
		delay += time.Duration(nw.random.Int64N(int64(path.Jitter)))
	}
	if path.Loss > 0 && nw.random.Float64() < path.Loss {
		delay += retransmitDelay
	}
	return delay
}

type packet struct {
	bytes []byte
	due   time.Time
}

// pump copies bytes in one direction, in order, until either end closes.
func (nw *Network) pump(from, to net.Conn, path Path) {
	packets := make(chan packet, maxQueued)
	go deliver(packets, from, to)
	defer close(packets)
	buffer := make([]byte, maxPacketBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			packets <- packet{bytes: append([]byte(nil), buffer[:count]...), due: time.Now().Add(nw.delay(path))}
		}
		if err != nil {
			return
		}
	}
}

func deliver(packets chan packet, from, to net.Conn) {
	for pk := range packets {
		time.Sleep(time.Until(pk.due))
		if _, err := to.Write(pk.bytes); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range packets {
	}
}

// Sleep waits for a duration. If the context ends first, it returns the error of
// the context.
func Sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
