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

// object is an object of the store.
type object struct {
	Metadata struct {
		Name          string   `json:"name"`
		Revision      uint64   `json:"revision"`
		Created       uint64   `json:"created"`
		Finalizers    []string `json:"finalizers"`
		DeletePending bool     `json:"delete_pending"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is an event of a watch.
type change struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// store is the platform's metadata store. It is always sound.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
	group    sync.WaitGroup
}

const (
	pageObjects = 500
	maxWait     = 30 * time.Second
)

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), listener: l}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.group.Go(func() { _ = s.server.Serve(l) })
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
	s.group.Wait()
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata.Name, o.Metadata.Created, o.Metadata.Finalizers = name, s.revision, []string{}
	}
	o.Metadata.Revision, o.Spec = s.revision, slices.Clone(spec)
	s.objects[kind][name] = o
	s.announce(change{kind: kind, Object: o})
	return o
}

func (s *store) delete(kind, name string) (object, bool) {
	o, ok := s.objects[kind][name]
	if !ok {
		return o, false
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.announce(change{kind: kind, Deleted: true, Object: o})
	return o, true
}

func (s *store) announce(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	path, ok := strings.CutPrefix(r.URL.Path, wire.Objects)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	items := []object{}
	for _, name := range all[:min(pageObjects, len(all))] {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(all) > pageObjects, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change creates, replaces or deletes an object.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	name, status, isStatus := strings.Cut(name, "/")
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	if isStatus && status != "status" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	expected := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		gone, _ := s.delete(kind, name)
		reply(w, http.StatusOK, gone)
	case isStatus:
		s.revision++
		old.Metadata.Revision, old.Status = s.revision, o.Status
		s.objects[kind][name] = old
		s.announce(change{kind: kind, Object: old})
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
