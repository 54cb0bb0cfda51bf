// Command rig4 runs one scenario of a review case. It starts entries of the system as
// separate processes on loopback addresses, with stand-ins for the platform's store, the
// backend servers and the clients, and exits with 1 if the rule was broken, 0 if it held and
// 2 if the scenario could not run.
//
//	rig4 --program target/yucca-platform --names review/rig-4/names.json --record record.txt SCENARIO
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// names are the platform's names, which are data here.
type names struct {
	Attempt     string `json:"attempt"`
	Remaining   string `json:"remaining"`
	Target      string `json:"target"`
	Instance    string `json:"instance"`
	Seal        string `json:"seal"`
	NotExecuted string `json:"not_executed"`
	Load        string `json:"load"`
	Affinity    string `json:"affinity"`
	Settings    string `json:"settings"`
	Objects     string `json:"objects"`
	Readiness   string `json:"readiness"`
}

var wire names

// Exit codes of a scenario.
const (
	held     = 0
	broken   = 1
	cannot   = 2
	maxWaits = 20 * time.Second
	// maxRun bounds a scenario.
	maxRun = 105 * time.Second
)

var scenarios = map[string]func(*world) int{}

func main() {
	program := flag.String("program", "target/yucca-platform", "the entry's program")
	namesPath := flag.String("names", "review/rig-4/names.json", "the platform's names")
	recordPath := flag.String("record", "record.txt", "where to write the record")
	flag.Parse()
	run, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", flag.Arg(0))
		os.Exit(cannot)
	}
	data, err := os.ReadFile(*namesPath)
	if err == nil {
		err = json.Unmarshal(data, &wire)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	w, err := newWorld(*program, *recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan int, 1)
	w.group.Go(func() { ended <- w.guarded(run) })
	code := cannot
	select {
	case code = <-ended:
	case <-time.After(maxRun):
		w.recorder.note("could not run: it takes longer than %v", maxRun)
	case <-stop:
		w.recorder.note("could not run: it was stopped")
	}
	w.close()
	os.Exit(code)
}
