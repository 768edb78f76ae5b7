package main

import (
	"encoding/json"
	"fmt"
	"io"
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

const (
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
)

// storedObject is an object of the store. Nobody finalizes or marks one here, and the status
// is never written.
type storedObject struct {
	name              string
	revision, created int
	spec              json.RawMessage
}

// MarshalJSON implements json.Marshaler.
func (ob storedObject) MarshalJSON() ([]byte, error) {
	on := nm.Object
	meta := map[string]any{on.Name: ob.name, on.Revision: ob.revision, on.Created: ob.created, on.Finalizers: []string{}, on.Deleting: false}
	return json.Marshal(map[string]any{on.Meta: meta, on.Spec: ob.spec, on.Status: nil})
}

type storeEvent struct {
	kind     string
	revision int
	removed  bool
	object   storedObject
}

// storeState is the content of the store at one time. It is not changed once it is in
// store.copies.
type storeState struct {
	at       time.Time
	revision int
	objects  map[string]map[string]storedObject
	events   []storeEvent
}

// store is the platform's metadata store.
type store struct {
	address string

	lock sync.Mutex
	// states holds the content after each change, oldest first.
	states []storeState
	era    int
	away   bool
	// changed is closed and replaced when a watch must look again.
	changed chan struct{}
}

func startStore(address string) (*store, func(), error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for the store: %w", err)
	}
	st := &store{address: address, era: 1, changed: make(chan struct{})}
	st.states = []storeState{{at: time.Now(), revision: 100, objects: map[string]map[string]storedObject{}}}
	hs := &http.Server{Handler: st}
	go func() { _ = hs.Serve(ls) }()
	return st, func() { _ = hs.Close() }, nil
}

func (st *store) current() *storeState { return &st.states[len(st.states)-1] }

// push makes a changed copy of the content current. The caller holds the lock.
func (st *store) push(kind, name string, object storedObject, removed bool) {
	have := st.current()
	next := storeState{at: time.Now(), revision: have.revision + 1, objects: maps.Clone(have.objects), events: slices.Clone(have.events)}
	of := maps.Clone(next.objects[kind])
	if of == nil {
		of = map[string]storedObject{}
	}
	object.revision = next.revision
	if removed {
		delete(of, name)
	} else {
		of[name] = object
	}
	next.objects[kind] = of
	next.events = append(next.events, storeEvent{kind: kind, revision: next.revision, removed: removed, object: object})
	st.states = append(st.states, next)
	st.wake()
}

func (st *store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes an object for the operator or a server, and returns its revision. It returns
// false while the store is away. A write that changes nothing keeps the revision.
func (st *store) put(kind, name string, spec any) (int, bool) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	st.lock.Lock()
	defer st.lock.Unlock()
	if st.away {
		return 0, false
	}
	have, ok := st.current().objects[kind][name]
	if ok && string(have.spec) == string(text) {
		return have.revision, true
	}
	ob := storedObject{name: name, created: have.created, spec: text}
	if !ok {
		ob.created = st.current().revision + 1
	}
	st.push(kind, name, ob, false)
	return st.current().revision, true
}

// remove removes an object.
func (st *store) remove(kind, name string) {
	st.lock.Lock()
	defer st.lock.Unlock()
	if have, ok := st.current().objects[kind][name]; ok && !st.away {
		st.push(kind, name, have, true)
	}
}

func (st *store) revision() int {
	st.lock.Lock()
	defer st.lock.Unlock()
	return st.current().revision
}

// restore takes the store away for a time; it comes back from a copy of some age.
func (st *store) restore(away, age time.Duration) {
	st.lock.Lock()
	cut := time.Now().Add(-age)
	st.away = true
	st.wake()
	st.lock.Unlock()
	time.Sleep(away)
	st.lock.Lock()
	defer st.lock.Unlock()
	kept := 1
	for kept < len(st.states) && !st.states[kept].at.After(cut) {
		kept++
	}
	st.states = st.states[:kept]
	st.era++
	st.away = false
	st.wake()
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	time.Sleep(storeDelay)
	kind, name, named := strings.Cut(strings.TrimPrefix(rq.URL.Path, nm.Paths.Objects), "/")
	from := rq.URL.Query().Get(nm.Store.Watch)
	if rq.Method == http.MethodGet && from != "" {
		st.watch(w, rq, kind, from)
		return
	}
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	st.lock.Lock()
	defer st.lock.Unlock()
	if st.away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(nm.Headers.Era, strconv.Itoa(st.era))
	w.Header().Set("Content-Type", "application/json")
	switch {
	case rq.Method != http.MethodGet:
		st.write(w, rq.Method, kind, name, body)
	case named:
		ob, ok := st.current().objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		encode(w, ob)
	default:
		st.list(w, kind, rq.URL.Query().Get(nm.Store.After))
	}
}

func encode(w io.Writer, value any) { _ = json.NewEncoder(w).Encode(value) }

func (st *store) list(w io.Writer, kind, after string) {
	items, more := []storedObject{}, false
	for _, name := range slices.Sorted(maps.Keys(st.current().objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, st.current().objects[kind][name])
	}
	encode(w, map[string]any{nm.Store.Items: items, nm.Store.More: more, nm.Store.Revision: st.current().revision})
}

// write makes a call of the system that changes an object. The caller holds the lock.
func (st *store) write(w http.ResponseWriter, method, kind, name string, body []byte) {
	var sent wire.Object
	if err := json.Unmarshal(body, &sent); err != nil && method != http.MethodDelete {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if method == http.MethodPost {
		name = sent.Meta.Name
	}
	have, exists := st.current().objects[kind][name]
	switch {
	case method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case method == http.MethodPost && exists, exists && sent.Meta.Revision != 0 && sent.Meta.Revision != have.revision:
		w.WriteHeader(http.StatusConflict)
		encode(w, have)
		return
	}
	created := have.created
	if !exists {
		created = st.current().revision + 1
	}
	if method == http.MethodDelete || string(have.spec) != string(sent.Spec) {
		ob := storedObject{name: name, created: created, spec: sent.Spec}
		st.push(kind, name, ob, method == http.MethodDelete)
	}
	encode(w, st.current().objects[kind][name])
}

func (st *store) watch(w http.ResponseWriter, rq *http.Request, kind, text string) {
	from, _ := strconv.Atoi(text)
	wait, _ := strconv.Atoi(rq.URL.Query().Get(nm.Store.Wait))
	over := time.After(time.Duration(wait) * time.Millisecond)
	st.lock.Lock()
	era := st.era
	st.lock.Unlock()
	for waiting := true; ; {
		st.lock.Lock()
		changed, away := st.changed, st.away || st.era != era
		gone := from > st.current().revision
		events := []map[string]any{}
		for _, ev := range st.current().events {
			if ev.kind == kind && ev.revision > from {
				events = append(events, map[string]any{nm.Store.Removed: ev.removed, nm.Store.Object: ev.object})
			}
		}
		answer := map[string]any{nm.Store.Events: events, nm.Store.Revision: st.current().revision}
		st.lock.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(nm.Headers.Era, strconv.Itoa(era))
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			w.Header().Set("Content-Type", "application/json")
			encode(w, answer)
			return
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-rq.Context().Done():
			return
		}
	}
}
