package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the largest number of objects in one page of a list.
	pageSize = 500
	// maxWait is the longest wait of a watch.
	maxWait = 30 * time.Second
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
)

// metadata is what the store holds about an object.
type metadata struct {
	Name          string   `json:"name"`
	Revision      uint64   `json:"revision"`
	Created       uint64   `json:"created"`
	Finalizers    []string `json:"finalizers"`
	DeletePending bool     `json:"delete_pending"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// encode returns the object's JSON form. It copies spec and status as they are, since an
// entry may hold a value that this program itself can't read.
func (o object) encode() []byte {
	meta, err := json.Marshal(o.Metadata)
	if err != nil {
		panic(err)
	}
	status := o.Status
	if len(status) == 0 {
		status = json.RawMessage("null")
	}
	return bytes.Join([][]byte{[]byte(`{"metadata":`), meta, []byte(`,"spec":`), o.Spec, []byte(`,"status":`), status, []byte(`}`)}, nil)
}

// event is one change of an object.
type event struct {
	kind    string
	object  object
	deleted bool
}

func (e event) encode() []byte {
	return fmt.Appendf(nil, `{"deleted":%v,"object":%s}`, e.deleted, e.object.encode())
}

// store is a stand-in for the platform's object store without faults.
type store struct {
	listener net.Listener
	server   *http.Server
	group    sync.WaitGroup

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.group.Go(func() { _ = s.server.Serve(l) })
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

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
	s.putBytes(kind, name, data)
}

// putBytes is put with the bytes of the spec.
func (s *store) putBytes(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, object{Spec: spec})
}

// write stores an object under the next revision. The caller holds mu.
func (s *store) write(kind, name string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, exists := s.objects[kind][name]
	o.Metadata.Name, o.Metadata.Revision, o.Metadata.Created = name, s.revision, s.revision
	if exists {
		o.Metadata.Created = old.Metadata.Created
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][name] = o
	s.publish(event{kind: kind, object: o})
	return o
}

// remove deletes an object under the next revision. The caller holds mu.
func (s *store) remove(kind, name string) {
	o := s.objects[kind][name]
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.publish(event{kind: kind, object: o, deleted: true})
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire["objects"]), "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o.encode())
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items, more := [][]byte{}, false
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after && after != "" {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.objects[kind][name].encode())
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, fmt.Appendf(nil, `{"items":[%s],"has_more":%v,"current_rev":%d}`, bytes.Join(items, []byte(",")), more, revision))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		events := [][]byte{}
		for _, e := range s.events {
			if e.kind == kind && e.object.Metadata.Revision > after {
				events = append(events, e.encode())
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, fmt.Appendf(nil, `{"events":[%s],"current_rev":%d}`, bytes.Join(events, []byte(",")), revision))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, fmt.Appendf(nil, `{"events":[%s],"current_rev":%d}`, bytes.Join(events, []byte(",")), revision))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change answers a create, an update or a delete.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	expected := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	name, status := strings.CutSuffix(name, "/status")
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, expected != 0 && exists && expected != old.Metadata.Revision:
		answer(w, http.StatusConflict, old.encode())
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(w, http.StatusOK, old.encode())
	case status:
		old.Status = o.Status
		answer(w, http.StatusOK, s.write(kind, name, old).encode())
	default:
		old.Spec, old.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
		answer(w, http.StatusOK, s.write(kind, name, old).encode())
	}
}

func answer(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
