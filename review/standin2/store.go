package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"daisystage.example/daisystage/platform/wire"
)

// pageSize is the number of objects in a page of a list.
const pageSize = 50

// storeChange is one change in the history of the store.
type storeChange struct {
	kind     string
	revision int
	event    wire.Event
}

// store is a stand-in for the platform's store. It never fails.
type store struct {
	lock     sync.Mutex
	revision int
	objects  map[string]map[string]wire.Object
	changes  []storeChange
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]wire.Object{}, changed: make(chan struct{})}
}

// serve serves the store on a listener.
func (st *store) serve(ls net.Listener) {
	_ = http.Serve(ls, st)
}

// put writes an object. The write is acknowledged when put returns.
func (st *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	st.lock.Lock()
	defer st.lock.Unlock()
	st.revision++
	ob := wire.Object{Meta: wire.Meta{Name: name, Revision: st.revision}, Spec: text}
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]wire.Object{}
	}
	st.objects[kind][name] = ob
	st.changes = append(st.changes, storeChange{kind, st.revision, wire.Event{Object: ob}})
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	kind := strings.TrimPrefix(rq.URL.Path, names["objects"])
	w.Header().Set("Content-Type", "application/json")
	query := rq.URL.Query()
	if text := query.Get("watch"); text != "" {
		from, _ := strconv.Atoi(text)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		_ = json.NewEncoder(w).Encode(st.watch(rq, kind, from, time.Duration(wait)*time.Millisecond))
		return
	}
	st.lock.Lock()
	defer st.lock.Unlock()
	page := wire.Objects{StoreRevision: st.revision, Items: []wire.Object{}}
	for _, name := range slices.Sorted(maps.Keys(st.objects[kind])) {
		if name <= query.Get("after") {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, st.objects[kind][name])
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (st *store) watch(rq *http.Request, kind string, from int, wait time.Duration) wire.Events {
	over := time.After(wait)
	for waiting := true; ; {
		st.lock.Lock()
		changed := st.changed
		page := wire.Events{StoreRevision: st.revision, Events: []wire.Event{}}
		for _, ch := range st.changes {
			if ch.kind == kind && ch.revision > from {
				page.Events = append(page.Events, ch.event)
			}
		}
		st.lock.Unlock()
		if len(page.Events) > 0 || !waiting {
			return page
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-rq.Context().Done():
			waiting = false
		}
	}
}
