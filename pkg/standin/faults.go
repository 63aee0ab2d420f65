// Package standin holds small stand-ins for what is outside of wrenferry: the
// platform (table, objects, list of hosts), workers, and runners of services.
//
// They exist for tests and for "make try". Each is an http.Handler with fault
// switches that a test sets over HTTP (POST /fault, JSON). Each keeps a record
// of its own of what really happened there, and the checks of the tests read
// that record and not the product's word. Nothing is kept across a restart.
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

// FaultPath is where a test sets the fault switches, and RecordPath is where it
// reads the record.
const (
	FaultPath  = "/fault"
	RecordPath = "/record"
)

// Faults are the switches. A new setting replaces the old one whole.
type Faults struct {
	// DelayMS delays every answer.
	DelayMS int64 `json:"delayMs"`
	// Outage drops every call without taking it in.
	Outage bool `json:"outage"`
	// Cut drops calls from processes whose names begin so.
	Cut []string `json:"cut"`
	// LoseAnswers drops the answers of so many calls that match LoseKey, after
	// they took effect.
	LoseAnswers int    `json:"loseAnswers"`
	LoseKey     string `json:"loseKey"`
	// HoldMS holds so many calls that carry starts on their way in.
	HoldMS    int64 `json:"holdMs"`
	HoldCalls int   `json:"holdCalls"`
	// FailAll makes a worker or runner fail everything that it starts.
	FailAll bool `json:"failAll"`
	// SlowFactor multiplies a runner's service time.
	SlowFactor float64 `json:"slowFactor"`
	// Leaving makes a runner say that it is leaving.
	Leaving bool `json:"leaving"`
	// Samples are the latencies of services that a worker reports.
	Samples map[string]int64 `json:"samples"`
}

// faultSwitches holds the faults in force.
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

// serveSet takes a new setting of the switches.
func (s *faultSwitches) serveSet(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(f)
}

// admit applies the faults that act on the way in. It says whether the call
// is to go on.
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

// holdCall holds a call on its way in, if it is one of those to be held.
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

// losesAnswer says whether the answer to a call on these keys is to be lost.
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

// dropConnection ends the connection without an answer.
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

// Entry is one line of a record: what really happened, and when.
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

// record appends entries to a file, so that they outlive a killed process, and
// keeps them in memory.
type record struct {
	mu      sync.Mutex
	file    *os.File
	entries []Entry
}

// newRecord opens a record; with an empty path it is in memory only.
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
