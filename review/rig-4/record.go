package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a request that a server began to run.
type run struct {
	attempt, server, path string
	at                    time.Time
	crash                 bool
}

// recorder keeps what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
	runs  []run
	ends  map[string]time.Time
}

func newRecorder(path string, start time.Time) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: start, file: f, out: bufio.NewWriter(f), ends: map[string]time.Time{}}, nil
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) ran(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	end := ""
	if x.crash {
		end = " and crashes"
	}
	r.line("server %s runs %s (%s)%s", x.server, x.attempt, x.path, end)
}

func (r *recorder) ended(attempt, server, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[attempt] = time.Now()
	r.line("server %s ends %s: %s", server, attempt, how)
}

// runsOf returns the runs that match.
func (r *recorder) runsOf(match func(run) bool) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []run
	for _, x := range r.runs {
		if match(x) {
			all = append(all, x)
		}
	}
	return all
}

// endOf returns when the last run of an attempt ended.
func (r *recorder) endOf(attempt string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.ends[attempt]
	return at, ok
}
