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
// connections. It implements net.Listener.
type Listener struct {
	net.Listener
	settings Settings
	lock     sync.Mutex
	open     map[*freezableConn]bool
	// SendTwice makes connections send all data twice.
	SendTwice atomic.Bool
	// MaxOpen is the highest number of connections open at once; Refused counts
	// the connections closed for exceeding the limit.
	MaxOpen, Refused atomic.Int64
}

// NewListener returns a listener that wraps ls.
func NewListener(ls net.Listener, settings Settings) *Listener {
	return &Listener{Listener: ls, settings: settings, open: map[*freezableConn]bool{}}
}

// freezableConn is a connection that can be frozen. A frozen connection stays
// open but discards all data in both directions.
type freezableConn struct {
	net.Conn
	listener *Listener
	frozen   atomic.Bool
	// connectDelay delays the first read, to simulate the cost of connecting.
	connectDelay time.Duration
	firstRead    sync.Once
}

// Accept implements net.Listener.
func (ls *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := ls.Listener.Accept()
		if err != nil {
			return nil, err
		}
		cn := &freezableConn{Conn: raw, listener: ls, connectDelay: ls.settings.ConnectDelay}
		if ls.add(cn) {
			return cn, nil
		}
		ls.Refused.Add(1)
		_ = raw.Close()
	}
}

func (ls *Listener) add(cn *freezableConn) bool {
	ls.lock.Lock()
	defer ls.lock.Unlock()
	if len(ls.open) >= ls.settings.ConnectionLimit {
		return false
	}
	ls.open[cn] = true
	ls.MaxOpen.Store(max(ls.MaxOpen.Load(), int64(len(ls.open))))
	return true
}

// Freeze permanently freezes all open connections.
func (ls *Listener) Freeze() {
	ls.lock.Lock()
	defer ls.lock.Unlock()
	for cn := range ls.open {
		cn.frozen.Store(true)
	}
}

// CloseAll closes the listener and its open connections.
func (ls *Listener) CloseAll() {
	_ = ls.Listener.Close()
	ls.lock.Lock()
	conns := make([]*freezableConn, 0, len(ls.open))
	for cn := range ls.open {
		conns = append(conns, cn)
	}
	ls.lock.Unlock()
	for _, cn := range conns {
		_ = cn.Close()
	}
}

// Read implements net.Conn.
func (fc *freezableConn) Read(buffer []byte) (int, error) {
	fc.firstRead.Do(func() { time.Sleep(fc.connectDelay) })
	for {
		count, err := fc.Conn.Read(buffer)
		if err != nil || !fc.frozen.Load() {
			return count, err
		}
	}
}

// Write implements net.Conn.
func (fc *freezableConn) Write(buffer []byte) (int, error) {
	if fc.frozen.Load() {
		return len(buffer), nil
	}
	count, err := fc.Conn.Write(buffer)
	if err == nil && fc.listener.SendTwice.Load() {
		_, err = fc.Conn.Write(buffer)
	}
	return count, err
}

// Close implements net.Conn.
func (fc *freezableConn) Close() error {
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
		sr.SetFaults(faults)
	})
	mux.HandleFunc("PUT /freeze", func(http.ResponseWriter, *http.Request) { ls.Freeze() })
	mux.HandleFunc("PUT /double", func(http.ResponseWriter, *http.Request) { ls.SendTwice.Store(true) })
	mux.HandleFunc("GET /runs", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(sr.Runs())
	})
	mux.HandleFunc("GET /connections", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(map[string]int64{"most": ls.MaxOpen.Load(), "refused": ls.Refused.Load()})
	})
	return mux
}
