package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploads is the number of uploads. Two of them, 4 s apart, are answered early: less
	// than the share that garble may spoil (0.6 of the servers, 0.03 of their answers).
	uploads, firstEarly, secondEarly = 120, 20, 60
	// uploadBytes is the length of a body, a quarter of the limit of the config.
	uploadBytes = 16 << 20
	// uploadInterval is the time between two uploads.
	uploadInterval = 100 * time.Millisecond
	// headBytes is what a server reads of a body before it answers early.
	headBytes = 64 << 10
	// readOnDelay is how much later it reads on.
	readOnDelay = 300 * time.Millisecond
)

// received is what a backend server got of an upload.
type received struct {
	bytes int
	same  bool
	err   error
}

// uploadServer is a backend server for uploads. It answers some before it has read them,
// keeps the connection and reads on.
type uploadServer struct {
	id    string
	rec   *record
	early func(id string) bool

	mu  sync.Mutex
	got map[string][]received
}

func (s *uploadServer) serve(c net.Conn) {
	// A server of its own choice may take little at a time.
	_ = c.(*net.TCPConn).SetReadBuffer(headBytes)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(names["id"])
		if t := req.Header.Get(names["target"]); t != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names["id"], id)
			return
		}
		s.rec.add("run %s at %s: %s %s, body of %d bytes", id, s.id, req.Method, req.RequestURI, req.ContentLength)
		want := uploadBody(id)
		body := &comparer{want: want, same: true}
		early := s.early(id)
		if early {
			_, _ = io.CopyN(body, req.Body, headBytes)
			s.answer(c, id)
			s.rec.add("%s answers %s after %d bytes of the body, and reads on later", s.id, id, body.n)
			time.Sleep(readOnDelay)
		}
		_, err = io.Copy(body, req.Body)
		v := received{body.n, body.same && body.n == len(want), err}
		s.mu.Lock()
		s.got[id] = append(s.got[id], v)
		s.mu.Unlock()
		s.rec.add("%s has got %d bytes of %s, same %v, error %v", s.id, v.bytes, id, v.same, err)
		if err != nil {
			return
		}
		if !early {
			s.answer(c, id)
		}
	}
}

func (s *uploadServer) answer(c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\n%s: 1,0,4\r\nContent-Length: 100\r\n\r\n%s", names["id"], id, names["seal"], id, names["load"], bodyOf(id, 100))
}

// comparer compares what is written to it with a text.
type comparer struct {
	want []byte
	n    int
	same bool
}

// Write implements io.Writer.
func (c *comparer) Write(p []byte) (int, error) {
	end := min(len(c.want), c.n+len(p))
	c.same = c.same && c.n+len(p) <= len(c.want) && bytes.Equal(p, c.want[c.n:end])
	c.n += len(p)
	return len(p), nil
}

// uploadBody returns the body of an upload, which differs from upload to upload.
func uploadBody(id string) []byte {
	line := []byte("upload " + id + "\n")
	return bytes.Repeat(line, uploadBytes/len(line)+1)[:uploadBytes]
}

// caseUpload sends uploads, of which some are answered before they are read. The rule is
// broken if a server gets another body than the client sent, though the client was told
// that all is well.
func caseUpload(w *world, trouble bool) error {
	var servers []*uploadServer
	for i := range 12 {
		s := &uploadServer{id: fmt.Sprint("i-", i), rec: w.rec, got: map[string][]received{}}
		s.early = func(id string) bool { return trouble && isEarly(id) }
		b, err := w.addRawBackend(s.id, s.serve)
		if err != nil {
			return err
		}
		w.register(b, "ordini", zoneOf(i), 4)
		servers = append(servers, s)
	}
	w.configure(3, route{"r-1", "/xapu221/", "non_idempotent", "ordini", 5000, 2, true, nil})
	if err := w.addEntries(2); err != nil {
		return err
	}
	results := make([]result, uploads)
	var wg sync.WaitGroup
	for i := range uploads {
		r := request{method: http.MethodPost, path: "/xapu221/proof", id: uploadID(i), body: string(uploadBody(uploadID(i))), limit: 5 * time.Second}
		front := w.entries[i%len(w.entries)].front()
		wg.Go(func() { results[i] = upload(front, r) })
		time.Sleep(uploadInterval)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return judgeUploads(w, servers, results)
}

func uploadID(i int) string { return fmt.Sprintf("u-%04d", i) }

// isEarly reports whether an upload is one of those that are answered early.
func isEarly(id string) bool { return id == uploadID(firstEarly) || id == uploadID(secondEarly) }

// upload sends a request and reads the answer while it is still sending.
func upload(front string, r request) result {
	c, err := dial(front)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	sent := make(chan struct{})
	background.Go(func() {
		defer close(sent)
		_, _ = io.WriteString(c, r.text())
	})
	v := c.read(r, time.Now().Add(r.limit))
	// The client sends on for a while after an early answer.
	select {
	case <-sent:
	case <-time.After(time.Second):
	}
	return v
}

func judgeUploads(w *world, servers []*uploadServer, results []result) error {
	served, changed := 0, 0
	for i, v := range results {
		id := uploadID(i)
		w.rec.add("answered %s: %v", id, v)
		if !v.served(id) {
			continue
		}
		served++
		for _, s := range servers {
			s.mu.Lock()
			for _, g := range s.got[id] {
				if !g.same {
					changed++
					w.rec.add("BROKEN: %s was answered 200 with the seal, and %s got %d of %d bytes of its body (%v)", id, s.id, g.bytes, uploadBytes, g.err)
				}
			}
			s.mu.Unlock()
		}
	}
	w.rec.add("%d of %d uploads were answered 200, %d of these ran with another body", served, uploads, changed)
	switch {
	case served < uploads*9/10:
		return fmt.Errorf("only %d of %d uploads were served", served, uploads)
	case changed > 0:
		return fmt.Errorf("%w: UNASKED: %d uploads ran with a changed body", errBroken, changed)
	}
	return nil
}
