package site

import (
	"fmt"
	"net"
	"sync"

	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/standin/network"
)

// Loopback gives out TCP ports of this machine. Make one with NewLoopback.
type Loopback struct {
	lock sync.Mutex
	// reserved holds the listeners of addresses given out and not yet used.
	reserved map[string]net.Listener
}

// NewLoopback returns places on the loopback interface.
func NewLoopback() *Loopback {
	return &Loopback{reserved: map[string]net.Listener{}}
}

// Reserve is of Places.
func (lb *Loopback) Reserve(string) (string, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("reserve a port: %w", err)
	}
	lb.lock.Lock()
	defer lb.lock.Unlock()
	lb.reserved[ls.Addr().String()] = ls
	return ls.Addr().String(), nil
}

// Listen is of Places.
func (lb *Loopback) Listen(address string) (net.Listener, error) {
	lb.lock.Lock()
	defer lb.lock.Unlock()
	if ls, ok := lb.reserved[address]; ok {
		delete(lb.reserved, address)
		return ls, nil
	}
	return net.Listen("tcp", address)
}

// Dialer is of Places.
func (lb *Loopback) Dialer(string) backend.DialFunc {
	return (&net.Dialer{}).DialContext
}

// Memory gives out addresses of an in-memory network. Make one with NewMemory.
type Memory struct {
	Network *network.Network
	lock    sync.Mutex
	zones   map[string]string
}

// NewMemory returns places on an in-memory network with the delays of a plan.
func NewMemory(plan Plan, seed uint64) *Memory {
	nw := network.New(seed)
	for i, one := range plan.Zones {
		nw.SetPath(ClientZone, one, network.Path{Delay: plan.ClientDelay, Jitter: plan.ClientDelay / 4})
		nw.SetPath(one, one, network.Path{Delay: plan.ZoneDelay / 20})
		for _, two := range plan.Zones[i+1:] {
			nw.SetPath(one, two, network.Path{Delay: plan.ZoneDelay, Jitter: plan.ZoneDelay / 4})
		}
	}
	return &Memory{Network: nw, zones: map[string]string{}}
}

// Reserve is of Places.
func (mm *Memory) Reserve(zone string) (string, error) {
	mm.lock.Lock()
	defer mm.lock.Unlock()
	address := fmt.Sprintf("host-%04d:80", len(mm.zones))
	mm.zones[address] = zone
	return address, nil
}

// Listen is of Places.
func (mm *Memory) Listen(address string) (net.Listener, error) {
	mm.lock.Lock()
	defer mm.lock.Unlock()
	return mm.Network.Listen(mm.zones[address], address), nil
}

// Dialer is of Places.
func (mm *Memory) Dialer(zone string) backend.DialFunc {
	return mm.Network.Dialer(zone)
}
