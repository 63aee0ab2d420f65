// Package standin provides stand-ins for the systems around wrenferry: the platform
// (table, object store, host list), workers, and runners of services.
//
// They serve tests and "make try". Each is an http.Handler whose faults a test sets
// over HTTP (POST /fault, JSON). Workers and runners record the events that really
// happened; tests check this record and not the statements of wrenferry. No state
// in memory survives a restart.
package standin

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/protohttp"
)

// FaultPath is the path at which a test sets the faults, and RecordPath the path at
// which it reads the record.
const (
	FaultPath  = "/fault"
	RecordPath = "/record"
)

// Faults are the faults to inject. A new value replaces all fields of the old one.
type Faults struct {
	// DelayMS delays every call, in milliseconds.
	DelayMS int64 `json:"delayMs"`
	// Outage drops every call before it is processed.
	Outage bool `json:"outage"`
	// Cut drops calls from processes whose names have one of these prefixes.
	Cut []string `json:"cut"`
	// LoseAnswers is the number of calls whose answers are dropped after they took
	// effect. Only calls with a key that has the prefix LoseKey count.
	LoseAnswers int    `json:"loseAnswers"`
	LoseKey     string `json:"loseKey"`
	// HoldMS delays the next HoldCalls calls that carry starts, in milliseconds,
	// before they are processed.
	HoldMS    int64 `json:"holdMs"`
	HoldCalls int   `json:"holdCalls"`
	// FailAll makes a worker fail all its runs and a runner all its calls.
	FailAll bool `json:"failAll"`
	// SlowFactor multiplies a runner's service time.
	SlowFactor float64 `json:"slowFactor"`
	// Leaving makes a runner announce that it is leaving and refuse calls and streams.
	Leaving bool `json:"leaving"`
	// Samples are the tail latencies by service that a worker reports, in milliseconds.
	Samples map[string]int64 `json:"samples"`
}

// faultSwitches holds the faults in force. It is safe for concurrent use.
type faultSwitches struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultSwitches) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultSwitches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// serveSet replaces the faults in force by those in the request body.
func (s *faultSwitches) serveSet(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(f)
}

// admit applies the delay and drops the call during an outage or a cut. It reports
// whether the call is to be processed.
func (s *faultSwitches) admit(w http.ResponseWriter, r *http.Request) bool {
	f := s.get()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.Outage || isCut(f.Cut, r.Header.Get(protohttp.FromHeader)) {
		dropConnection(w)
		return false
	}
	return true
}

func isCut(cut []string, from string) bool {
	for _, name := range cut {
		if strings.HasPrefix(from, name) {
			return true
		}
	}
	return false
}

// holdCall delays a call if calls are left to be held.
func (s *faultSwitches) holdCall() {
	s.mu.Lock()
	span := time.Duration(0)
	if s.faults.HoldCalls > 0 {
		s.faults.HoldCalls--
		span = time.Duration(s.faults.HoldMS) * time.Millisecond
	}
	s.mu.Unlock()
	time.Sleep(span)
}

// losesAnswer reports whether the answer to a call with these keys is to be dropped.
func (s *faultSwitches) losesAnswer(keys []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	for _, key := range keys {
		if strings.HasPrefix(key, s.faults.LoseKey) {
			s.faults.LoseAnswers--
			return true
		}
	}
	return false
}

// dropConnection closes the connection without an answer.
func dropConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.Close()
	}
}

// ----------------------------------------------------------------- record

// Entry is one line of a record: an event on a worker or runner and its time.
type Entry struct {
	At         time.Time `json:"at"`
	What       string    `json:"what"`
	Host       string    `json:"host"`
	Task       string    `json:"task,omitempty"`
	Attempt    int64     `json:"attempt,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Key        string    `json:"key,omitempty"`
	Detail     string    `json:"detail,omitempty"`
	Millicores int64     `json:"millicores,omitempty"`
	MemoryMB   int64     `json:"memoryMb,omitempty"`
	Devices    int64     `json:"devices,omitempty"`
}

// record keeps entries in a file, so that they survive a killed process, or in memory
// if there is no file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	entries []Entry
}

// newRecord opens a record file for appending. With an empty path the record is in
// memory only.
func newRecord(path string) (*record, error) {
	if path == "" {
		return &record{}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &record{file: file}, err
}

func (r *record) add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		r.entries = append(r.entries, e)
		return
	}
	if line, err := json.Marshal(e); err == nil {
		_, _ = r.file.Write(append(line, '\n'))
	}
}

func (r *record) serve(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(r.entries)
}
