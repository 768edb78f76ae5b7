package site

import (
	"fmt"
	"net"
	"sync"

	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/standin/network"
)

// LoopbackTransport implements Places with TCP ports on the loopback interface. Make one
// with NewLoopback.
type LoopbackTransport struct {
	lock sync.Mutex
	// reserved holds the listeners of reserved addresses until Listen is called
	// for them.
	reserved map[string]net.Listener
}

// NewLoopbackTransport returns a Loopback with no reserved addresses.
func NewLoopbackTransport() *LoopbackTransport {
	return &LoopbackTransport{reserved: map[string]net.Listener{}}
}

// Reserve implements Places.
func (lb *LoopbackTransport) Reserve(string) (string, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("reserve a port: %w", err)
	}
	lb.lock.Lock()
	defer lb.lock.Unlock()
	lb.reserved[ls.Addr().String()] = ls
	return ls.Addr().String(), nil
}

// Listen implements Places.
func (lb *LoopbackTransport) Listen(address string) (net.Listener, error) {
	lb.lock.Lock()
	defer lb.lock.Unlock()
	if ls, ok := lb.reserved[address]; ok {
		delete(lb.reserved, address)
		return ls, nil
	}
	return net.Listen("tcp", address)
}

// Dialer implements Places.
func (lb *LoopbackTransport) Dialer(string) backend.DialFunc {
	return (&net.Dialer{}).DialContext
}

// MemoryTransport implements Places with addresses of an in-memory network. Make one with
// NewMemory.
type MemoryTransport struct {
	Network *network.Network
	lock    sync.Mutex
	// zones maps each reserved address to its zone.
	zones map[string]string
}

// NewMemoryTransport returns a Memory whose network has the delays of a plan.
func NewMemoryTransport(plan Plan, seed uint64) *MemoryTransport {
	nw := network.New(seed)
	for i, one := range plan.Zones {
		nw.SetPath(ClientZone, one, network.Path{Delay: plan.ClientDelay, Jitter: plan.ClientDelay / 4})
		nw.SetPath(one, one, network.Path{Delay: plan.ZoneDelay / 20})
		for _, two := range plan.Zones[i+1:] {
			nw.SetPath(one, two, network.Path{Delay: plan.ZoneDelay, Jitter: plan.ZoneDelay / 4})
		}
	}
	return &MemoryTransport{Network: nw, zones: map[string]string{}}
}

// Reserve implements Places.
func (mm *MemoryTransport) Reserve(zone string) (string, error) {
	mm.lock.Lock()
	defer mm.lock.Unlock()
	address := fmt.Sprintf("host-%04d:80", len(mm.zones))
	mm.zones[address] = zone
	return address, nil
}

// Listen implements Places.
func (mm *MemoryTransport) Listen(address string) (net.Listener, error) {
	mm.lock.Lock()
	defer mm.lock.Unlock()
	return mm.Network.Listen(mm.zones[address], address), nil
}

// Dialer implements Places.
func (mm *MemoryTransport) Dialer(zone string) backend.DialFunc {
	return mm.Network.Dialer(zone)
}
