package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	adviceDecide = 50 * time.Millisecond
	adviceEach   = 2 * time.Millisecond
	adviceValid  = 3 * time.Second
	// goodInZone is how many of a zone's runners may run a step, by the policy of the service.
	goodInZone = 2
)

// advisor stands in for the service that gives advice. It handles one call at a time for each calling machine.
type advisor struct {
	rec     *record
	address string
	mu      sync.Mutex
	turn    map[string]*sync.Mutex
	runners []*runner
	// all says that its policy lets all runners run every step.
	all bool
}

func newAdvisor(rec *record) *advisor {
	a := &advisor{rec: rec, turn: map[string]*sync.Mutex{}, all: true}
	l := listen()
	a.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	serve(l, mux)
	return a
}

// good returns the runners that may run a step: a fixed choice of goodInZone in each zone.
func (a *advisor) good(step string) map[string]bool {
	byZone := map[string][]string{}
	for _, r := range a.runners {
		byZone[r.zone] = append(byZone[r.zone], r.id)
	}
	good := map[string]bool{}
	for _, ids := range byZone {
		sort.Slice(ids, func(i, k int) bool { return hash(step+ids[i]) < hash(step+ids[k]) })
		for i, id := range ids {
			good[id] = a.all || i < goodInZone
		}
	}
	return good
}

func ticketFor(step, runner string) string { return fmt.Sprintf("%08x-%08x", hash(step), hash(runner)) }

func (a *advisor) advise(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil || len(m.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	if a.turn[host] == nil {
		a.turn[host] = &sync.Mutex{}
	}
	turn := a.turn[host]
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(adviceDecide + time.Duration(len(m.Workers))*adviceEach)
	turn.Unlock()
	a.mu.Lock()
	good := a.good(m.Step)
	a.mu.Unlock()
	rows := [][2]string{}
	for _, id := range m.Workers {
		if good[id] {
			rows = append(rows, [2]string{id, ticketFor(m.Step, id)})
		}
	}
	a.rec.line("advice for %s on %v: %d good", m.Step, m.Workers, len(rows))
	writeJSON(w, http.StatusOK, map[string]any{"good": rows, "valid_ms": adviceValid.Milliseconds()})
}

// advice: a queue carries advice, by which only some runners may run a step. Its jobs are small, and all runners are free.
func init() {
	layouts["advice"] = layout{runners: 8, hosts: 2, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["advice"] = func(s *site) []string {
		s.advisor.mu.Lock()
		s.advisor.runners, s.advisor.all = s.runners, !s.trouble
		s.advisor.mu.Unlock()
		for _, r := range s.runners {
			r.set(func() { r.tickets = true })
		}
		m := manifest(7)
		m["routes"].([]map[string]any)[0]["advice"] = map[string]any{"decide_ms": adviceDecide.Milliseconds(), "each_ms": adviceEach.Milliseconds(), "valid_ms": adviceValid.Milliseconds()}
		s.store.put("op", "config", m)
		time.Sleep(3 * time.Second)
		var jobs []*job
		for n := range 12 {
			j := &job{Spec: fmt.Sprintf("quote %d", n), Steps: []step{{Count: 1, CPU: 2300, MemMB: 4600, EstimateMs: 640, takes: 640 * time.Millisecond}}}
			if s.clients.submit(j, 10) {
				jobs = append(jobs, j)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		var broken []string
		for _, j := range jobs {
			state := s.clients.state(j, 3)
			runs := s.judge.startsOf(j.id)
			s.rec.add("job %s, %d s after its acceptance: %s, %d starts", j.id, int(time.Since(j.accepted).Seconds()), state, len(runs))
			if state != "completed" && len(runs) == 0 {
				broken = append(broken, fmt.Sprintf("LOST: job %s has had nothing running for %d s, while its only task's turn has come and %d idle runners may run it", j.id, int(time.Since(j.accepted).Seconds()), goodInZone*len(zones)))
			}
		}
		return broken
	}
}
