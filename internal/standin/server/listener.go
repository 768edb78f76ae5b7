package server

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Listener enforces the connection limit of a server and can freeze its open
// connections. It is a net.Listener.
type Listener struct {
	net.Listener
	settings Settings
	lock     sync.Mutex
	open     map[*frozenConn]bool
	// Double makes the connections send everything twice.
	Double atomic.Bool
	// Most is the highest number of connections that were open at once;
	// Refused counts those above the limit.
	Most, Refused atomic.Int64
}

// NewListener returns a listener around another one.
func NewListener(ls net.Listener, settings Settings) *Listener {
	return &Listener{Listener: ls, settings: settings, open: map[*frozenConn]bool{}}
}

// frozenConn is a connection that may be frozen: what it is sent vanishes, and
// it says nothing.
type frozenConn struct {
	net.Conn
	listener *Listener
	frozen   atomic.Bool
	// cost is the delay before the first read.
	cost time.Duration
	once sync.Once
}

// Accept is of net.Listener.
func (ls *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		cn := &frozenConn{Conn: raw, listener: ls, cost: ls.settings.ConnectCost}
		if ls.add(cn) {
			return cn, nil
		}
		ls.Refused.Add(1)
		_ = raw.Close()
	}
}

func (ls *Listener) add(cn *frozenConn) bool {
	ls.lock.Lock()
	defer ls.lock.Unlock()
	if len(ls.open) >= ls.settings.ConnectionLimit {
		return false
	}
	ls.open[cn] = true
	ls.Most.Store(max(ls.Most.Load(), int64(len(ls.open))))
	return true
}

// Freeze makes all open connections silent for good.
func (ls *Listener) Freeze() {
	ls.lock.Lock()
	defer ls.lock.Unlock()
	for cn := range ls.open {
		cn.frozen.Store(true)
	}
}

// CloseAll closes the listener and all its connections.
func (ls *Listener) CloseAll() {
	_ = ls.Listener.Close()
	ls.lock.Lock()
	conns := make([]*frozenConn, 0, len(ls.open))
	for cn := range ls.open {
		conns = append(conns, cn)
	}
	ls.lock.Unlock()
	for _, cn := range conns {
		_ = cn.Close()
	}
}

// Read is of net.Conn.
func (fc *frozenConn) Read(buffer []byte) (int, error) {
	fc.once.Do(func() { time.Sleep(fc.cost) })
	for {
		count, err := fc.Conn.Read(buffer)
		if err != nil || !fc.frozen.Load() {
			return count, err
		}
	}
}

// Write is of net.Conn.
func (fc *frozenConn) Write(buffer []byte) (int, error) {
	if fc.frozen.Load() {
		return len(buffer), nil
	}
	count, err := fc.Conn.Write(buffer)
	if err == nil && fc.listener.Double.Load() {
		_, err = fc.Conn.Write(buffer)
	}
	return count, err
}

// Close is of net.Conn.
func (fc *frozenConn) Close() error {
	fc.listener.lock.Lock()
	delete(fc.listener.open, fc)
	fc.listener.lock.Unlock()
	return fc.Conn.Close()
}

// Control returns the handler of the control address: PUT /faults, PUT
// /freeze, PUT /double, GET /runs and GET /connections.
func Control(sr *Server, ls *Listener) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, rq *http.Request) {
		var faults Faults
		decoder := json.NewDecoder(rq.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		sr.Set(faults)
	})
	mux.HandleFunc("PUT /freeze", func(http.ResponseWriter, *http.Request) { ls.Freeze() })
	mux.HandleFunc("PUT /double", func(http.ResponseWriter, *http.Request) { ls.Double.Store(true) })
	mux.HandleFunc("GET /runs", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(sr.Runs())
	})
	mux.HandleFunc("GET /connections", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(map[string]int64{"most": ls.Most.Load(), "refused": ls.Refused.Load()})
	})
	return mux
}
