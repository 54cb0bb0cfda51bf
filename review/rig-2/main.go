// Command rig2 plays the scripts of the second review: it starts the system's own program
// as separate processes, with stand-ins for the store, the backend servers and clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	noResult   = 2
)

// errBroken is the cause of a rule that was broken.
var errBroken = errors.New("rule broken")

// cases are the scripts by the name of their folder.
var cases = map[string]func(w *world, trouble bool) error{
	"upload":  caseUpload,
	"held":    caseHeld,
	"refused": caseRefused,
	"cut":     caseCut,
	"thrown":  caseThrown,
	"crasher": caseCrasher,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER, in the root of the repository")
		os.Exit(noResult)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, folder string, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return noResult
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noResult
	}
	defer rec.close()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noResult
	}
	w, err := newWorld(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noResult
	}
	defer w.close()
	watchEnd(w)
	stalls := newStallWatch()
	defer stalls.stop()
	rec.add("case %s, trouble %v", name, trouble)
	err = f(w, trouble)
	if stalls.stalled() {
		err = fmt.Errorf("the machine stood still for %v meanwhile: %v", time.Duration(stalls.longest.Load()), err)
	}
	code := ruleHeld
	switch {
	case errors.Is(err, errBroken):
		code = ruleBroken
	case err != nil:
		code = noResult
	}
	rec.add("exit code %d: %v", code, err)
	fmt.Printf("%s, trouble %v: exit code %d: %v\n", name, trouble, code, err)
	return code
}

// maxLength is the longest time that a script may take.
const maxLength = 115 * time.Second

// watchEnd ends the script and all that it has started after maxLength, or when a signal
// asks for that.
func watchEnd(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	watchers.Go(func() {
		select {
		case s := <-signals:
			w.rec.add("signal: %v", s)
		case <-time.After(maxLength):
			w.rec.add("the script takes longer than %v", maxLength)
		}
		w.killEntries()
		_ = os.RemoveAll(w.dir)
		w.rec.close()
		os.Exit(noResult)
	})
}

// watchers holds the goroutines that end with the process.
var watchers sync.WaitGroup
