package site

import (
	"fmt"
	"net"
	"sync"

	"daisystage.example/daisystage/internal/peer/backend"
	"daisystage.example/daisystage/internal/standin/network"
)

// LoopbackTransport implements Transport with TCP ports on the loopback
// interface. Make one with NewLoopbackTransport.
type LoopbackTransport struct {
	lock sync.Mutex
	// reserved holds the listeners of reserved addresses until Listen is called
	// for them.
	reserved map[string]net.Listener
}

// NewLoopbackTransport returns a LoopbackTransport with no reserved addresses.
func NewLoopbackTransport() *LoopbackTransport {
	return &LoopbackTransport{reserved: map[string]net.Listener{}}
}

// Reserve implements Transport.
func (lt *LoopbackTransport) Reserve(string) (string, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("reserve a port: %w", err)
	}
	lt.lock.Lock()
	defer lt.lock.Unlock()
	lt.reserved[ls.Addr().String()] = ls
	return ls.Addr().String(), nil
}

// Listen implements Transport.
func (lt *LoopbackTransport) Listen(address string) (net.Listener, error) {
	lt.lock.Lock()
	defer lt.lock.Unlock()
	if ls, ok := lt.reserved[address]; ok {
		delete(lt.reserved, address)
		return ls, nil
	}
	return net.Listen("tcp", address)
}

// Dialer implements Transport.
func (lt *LoopbackTransport) Dialer(string) backend.DialFunc {
	return (&net.Dialer{}).DialContext
}

// MemoryTransport implements Transport with addresses of an in-memory network.
// Make one with NewMemoryTransport.
type MemoryTransport struct {
	Network *network.Network
	lock    sync.Mutex
	// zones maps each reserved address to its zone.
	zones map[string]string
}

// NewMemoryTransport returns a MemoryTransport whose network has the delays of
// a plan.
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

// Reserve implements Transport.
func (mt *MemoryTransport) Reserve(zone string) (string, error) {
	mt.lock.Lock()
	defer mt.lock.Unlock()
	address := fmt.Sprintf("host-%04d:80", len(mt.zones))
	mt.zones[address] = zone
	return address, nil
}

// Listen implements Transport.
func (mt *MemoryTransport) Listen(address string) (net.Listener, error) {
	mt.lock.Lock()
	defer mt.lock.Unlock()
	return mt.Network.Listen(mt.zones[address], address), nil
}

// Dialer implements Transport.
func (mt *MemoryTransport) Dialer(zone string) backend.DialFunc {
	return mt.Network.Dialer(zone)
}
