package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is one entry host. It runs one process at a time under the same name.
type host struct {
	name, hall string
	// addresses are where it serves callers, readiness, other hosts and its figures.
	callers, ready, control, figures string
	file                             string
	log                              *os.File
	client                           *http.Client
	// storeProxy is the proxy between the host and the store.
	storeProxy *proxy
	// retention is the setting of that name, "" for a time that is longer than a day.
	retention string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// down is when its last process ended.
	down time.Time
	// gone means that no process follows.
	gone bool
}

// overloadSettings enable the parts that deal with load at its worst (docs/operators/overload.md).
const overloadSettings = `, "confirmAcceptance": true, "confirmedHandover": true, "urgentWait": "300ms", "refuseLate": "on"`

// settings writes the host's settings file. more holds further settings, each after a comma.
func (h *host) settings(halls, table, more string) error {
	retention := h.retention
	if retention == "" {
		retention = "5m"
	}
	text := fmt.Sprintf(`{"name": %q, "hall": %q, "halls": [%s], "callers": %q, "ready": %q, "control": %q, "metrics": %q, "table": %q,
		"retention": %q, "grace": "4s", "processors": 0.5, "memoryMB": 256%s}`, h.name, h.hall, halls, h.callers, h.ready, h.control, h.figures, table, retention, more)
	return os.WriteFile(h.file, []byte(text), 0o600)
}

// start starts a process, unless one runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil || h.gone {
		return nil
	}
	c := exec.Command(filepath.Join(bin, "wrenferryd"), "fleet", "--config", h.file)
	c.Stdout, c.Stderr = h.log, h.log
	// A host that outlives a run that was ended would join the next one at the same addresses.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.process, h.ended = c, ended
	go func() {
		_ = c.Wait() // the log has the cause of the end
		h.mu.Lock()
		if h.process == c {
			h.process, h.down = nil, time.Now()
		}
		h.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the running process, if any. The returned channel is closed once no such
// process runs.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		gone := make(chan struct{})
		close(gone)
		return gone
	}
	_ = h.process.Process.Signal(s) // fails only if the process has just ended
	return h.ended
}

// kill kills the process and waits until it has ended.
func (h *host) kill() { <-h.signal(syscall.SIGKILL) }
