package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

//go:embed names.json
var namesFile []byte

// wire holds the names that are used on the wire.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
	return names
}()

// recorder writes what was sent, answered and run to a file, one line an event.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// note writes one line with the time since the start in milliseconds.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// say writes a line to the file and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}
