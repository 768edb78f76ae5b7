package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

// maxWatchWait bounds the wait of one watch.
const maxWatchWait = 30 * time.Second

// change is one change of an object.
type change struct {
	kind    string
	object  wire.Object
	removed bool
}

// store plays the platform's store: lists and watches of objects by kind.
type store struct {
	address string
	server  *http.Server

	lock     sync.Mutex
	revision int
	history  []change
	// changed is closed at the next change.
	changed chan struct{}
}

func startStore() (*store, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	st := &store{address: ls.Addr().String(), revision: 1, changed: make(chan struct{})}
	st.server = &http.Server{Handler: st, ReadHeaderTimeout: time.Minute}
	go func() { _ = st.server.Serve(ls) }()
	return st, nil
}

func (st *store) close() {
	_ = st.server.Close()
}

// put writes an object.
func (st *store) put(kind, name string, spec any) error {
	text, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}
	st.add(change{kind: kind, object: wire.Object{Meta: wire.Meta{Name: name}, Spec: text}})
	return nil
}

// remove removes an object.
func (st *store) remove(kind, name string) {
	st.add(change{kind: kind, object: wire.Object{Meta: wire.Meta{Name: name}, Spec: json.RawMessage("null")}, removed: true})
}

func (st *store) add(ch change) {
	st.lock.Lock()
	defer st.lock.Unlock()
	st.revision++
	ch.object.Meta.Revision = st.revision
	st.history = append(st.history, ch)
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	kind, ok := strings.CutPrefix(rq.URL.Path, names.Objects)
	if !ok || rq.Method != http.MethodGet || strings.Contains(kind, "/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	query := rq.URL.Query()
	var answer any
	if query.Has("watch") {
		from, _ := strconv.Atoi(query.Get("watch"))
		millis, _ := strconv.Atoi(query.Get("wait_ms"))
		answer = st.watch(rq, kind, from, min(time.Duration(millis)*time.Millisecond, maxWatchWait))
	} else {
		answer = st.list(kind)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (st *store) list(kind string) wire.Objects {
	st.lock.Lock()
	defer st.lock.Unlock()
	latest := map[string]wire.Object{}
	for _, ch := range st.history {
		switch {
		case ch.kind != kind:
		case ch.removed:
			delete(latest, ch.object.Meta.Name)
		default:
			latest[ch.object.Meta.Name] = ch.object
		}
	}
	items := []wire.Object{}
	for _, object := range latest {
		items = append(items, object)
	}
	slices.SortFunc(items, func(a, b wire.Object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return wire.Objects{Items: items, StoreRevision: st.revision}
}

// watch returns the changes since a revision, and waits for one if there is none.
func (st *store) watch(rq *http.Request, kind string, from int, wait time.Duration) wire.Events {
	timeout := time.After(wait)
	for {
		st.lock.Lock()
		events := []wire.Event{}
		for _, ch := range st.history {
			if ch.kind == kind && ch.object.Meta.Revision > from {
				events = append(events, wire.Event{Object: ch.object, Removed: ch.removed})
			}
		}
		answer, changed := wire.Events{Events: events, StoreRevision: st.revision}, st.changed
		st.lock.Unlock()
		if len(events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timeout:
			return answer
		case <-rq.Context().Done():
			return answer
		}
	}
}
