package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The ports of an entry.
const (
	frontPort = 8548 + iota
	readyPort
	controlPort
	directoryPort
	firstOwnPort = 7540
	lastOwnPort  = 7555
	metricsPort  = 9100
)

// entry is a process of the system.
type entry struct {
	rig  *rig
	name string
	ip   string
	zone string

	mu sync.Mutex
	// cmd is the present run.
	cmd *exec.Cmd
	// exited is closed when the present run has ended.
	exited chan struct{}
	// touchFrom is from when on the machine is in touch again; the zero time means that it
	// is not.
	touchFrom time.Time
}

func (e *entry) at(port int) string { return net.JoinHostPort(e.ip, strconv.Itoa(port)) }

// writeSettings writes the settings of the process.
func (e *entry) writeSettings() error {
	listen := map[string]string{"front": e.at(frontPort), "ready": e.at(readyPort), "control": e.at(controlPort), "directory": e.at(directoryPort)}
	seeds := []string{}
	for _, other := range e.rig.entries[:3] {
		seeds = append(seeds, other.at(controlPort))
	}
	data, err := json.Marshal(map[string]any{
		"self": map[string]any{
			"node": e.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "directory"},
			"ip": e.ip, "zone": e.zone, "region": e.rig.zones[e.zone], "counts_as_loss": false, "bootstrap": false, "data_dir": nil,
			"limits": map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		},
		"network": map[string]any{"listen": listen, "port_range": []int{firstOwnPort, lastOwnPort}, "seeds": seeds, "zones": e.rig.zones},
		"platform": map[string]any{"discovery": "platform", "entry": "directory", "heartbeat_ms": 1500, "platform": map[string]any{
			"address": e.rig.store.addr, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		}},
		"terms": map[string]any{
			"contracts":       e.rig.contracts(),
			"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1},
			"bounds":          e.rig.bounds(),
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(e.settingsPath(), data, 0o600)
}

func (e *entry) settingsPath() string { return filepath.Join(e.rig.dir, e.name+".json") }

// errOver is the cause of a start after the end of the case.
var errOver = errors.New("the case is over")

// start runs the process with the command of the deploy file.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.rig.done:
		return errOver
	default:
	}
	log, err := os.OpenFile(filepath.Join(e.rig.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.rig.program, "run", "--metrics", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), names.settings + "=" + e.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.cmd, e.exited, e.touchFrom = cmd, exited, time.Now().Add(e.rig.stableWindow)
	e.rig.group.Go(func() {
		defer close(exited)
		_ = cmd.Wait()
		_ = log.Close()
	})
	e.rig.record("machine %s starts", e.name)
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace time, and waits for the end.
func (e *entry) stop() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.touchFrom = time.Time{}
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	e.rig.record("machine %s gets SIGTERM", e.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(e.rig.grace):
		_ = cmd.Process.Kill()
		<-exited
	}
	e.rig.record("machine %s has ended", e.name)
}

// kill ends the process at the end of a case.
func (e *entry) kill() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// inTouch reports whether the machine is in touch at a moment.
func (e *entry) inTouch(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.touchFrom.IsZero() && !at.Before(e.touchFrom)
}

// ready asks the entry whether it is ready.
func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s%s/readiness", e.at(readyPort), names.path))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
