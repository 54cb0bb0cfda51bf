package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of objects in one page of a list.
	pageSize = 500
	// maxWait is the longest wait of a watch.
	maxWait = 30 * time.Second
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
)

// metadata is what the store holds about an object.
type metadata struct {
	Name          string   `json:"name"`
	Revision      uint64   `json:"revision,omitempty"`
	Created       uint64   `json:"created"`
	Finalizers    []string `json:"finalizers"`
	DeletePending bool     `json:"delete_pending"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. It has no faults.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	events  []event
	changed chan struct{}
	server  *http.Server
	addr    string
}

// startStore starts a store that listens on an address.
func startStore(group *sync.WaitGroup, ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), addr: l.Addr().String()}
	s.server = &http.Server{Handler: s}
	group.Go(func() { _ = s.server.Serve(l) })
	return s, nil
}

// put creates or replaces an object, as the operator or a backend server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.write(kind, o)
}

// remove removes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.erase(kind, o)
	}
}

// write stores an object under a new revision. The caller holds mu.
func (s *store) write(kind string, o object) object {
	s.rev++
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.rev
	}
	o.Metadata.Revision = s.rev
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.publish(event{kind: kind, rev: s.rev, Object: o})
	return o
}

// erase removes an object. The caller holds mu.
func (s *store) erase(kind string, o object) {
	s.rev++
	delete(s.objects[kind], o.Metadata.Name)
	o.Metadata.Revision = s.rev
	s.publish(event{kind: kind, rev: s.rev, Object: o, Deleted: true})
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, names.path+"/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.delete(w, kind, name, query.Get("revision"))
	default:
		s.change(w, r, kind, name, isStatus)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var all []string
	for name := range s.objects[kind] {
		if name > after {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	page := all[:min(pageSize, len(all))]
	items := []object{}
	for _, name := range page {
		items = append(items, s.objects[kind][name])
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(page) < len(all), "current_rev": rev})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.After(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > from {
				found = append(found, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": found, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) delete(w http.ResponseWriter, kind, name, revision string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	conflict := ok && revision != "" && revision != strconv.FormatUint(o.Metadata.Revision, 10)
	if ok && !conflict {
		s.erase(kind, o)
	}
	s.mu.Unlock()
	switch {
	case !ok:
		reply(w, http.StatusNotFound, struct{}{})
	case conflict:
		reply(w, http.StatusConflict, o)
	default:
		reply(w, http.StatusOK, o)
	}
}

// change serves POST and PUT.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var next object
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = next.Metadata.Name
	}
	s.mu.Lock()
	old, ok := s.objects[kind][name]
	conflict := create && ok || ok && next.Metadata.Revision != 0 && next.Metadata.Revision != old.Metadata.Revision
	written := old
	if ok != create && !conflict {
		written.Metadata.Name = name
		if isStatus {
			written.Status = next.Status
		} else {
			written.Spec, written.Metadata.Finalizers = next.Spec, next.Metadata.Finalizers
		}
		written = s.write(kind, written)
	}
	s.mu.Unlock()
	switch {
	case conflict:
		reply(w, http.StatusConflict, old)
	case ok == create:
		reply(w, http.StatusNotFound, struct{}{})
	default:
		reply(w, http.StatusOK, written)
	}
}
