package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// wrongState: jobs that are wider than their cell have been done in two cells. Then a cell's leader is killed, and a little
// later the store is down for a few seconds, while some clients send their job again. Afterwards all ask for their job's state.
func init() {
	layouts["wrong-state"] = layout{runners: 1, hosts: 3, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["wrong-state"] = func(s *site) []string {
		var jobs []*job
		for n := range 24 {
			j := &job{Spec: fmt.Sprintf("offer %d", n), Steps: []step{{Count: 60, CPU: 1000, MemMB: 500, EstimateMs: 800, takes: 800 * time.Millisecond}}}
			if s.clients.submit(j, 10) {
				jobs = append(jobs, j)
			}
			time.Sleep(600 * time.Millisecond)
		}
		for _, j := range jobs {
			if got := s.await(j, 20*time.Second); got != "completed" {
				s.rec.add("job %s: %s", j.id, got)
			}
		}
		s.rec.add("%d jobs are shown as completed", len(jobs))
		if s.trouble {
			h := s.leaderOf("mtl-b")
			s.rec.add("%s leads mtl-b", h.name)
			h.kill()
			time.Sleep(500 * time.Millisecond)
			h.start()
			time.Sleep(3500 * time.Millisecond)
			s.store.setDown(true)
			time.Sleep(1300 * time.Millisecond)
		}
		var again sync.WaitGroup
		for _, j := range jobs {
			again.Go(func() { s.clients.sendAgain(j) })
			time.Sleep(100 * time.Millisecond)
		}
		again.Wait()
		if s.trouble {
			s.store.setDown(false)
		}
		time.Sleep(6 * time.Second)
		var broken []string
		for _, j := range jobs {
			seen := map[string]string{}
			for _, h := range s.hosts {
				status, text, err := s.clients.call(h, "GET", j.id, nil)
				s.rec.line("client: GET %s at %s: %d %s %v", j.id, h.name, status, text, err)
				if err == nil && status == 200 && !bytes.Contains([]byte(text), []byte("completed")) {
					seen[h.name] = text
				}
			}
			for name, text := range seen {
				broken = append(broken, fmt.Sprintf("LOST: job %s, which was shown as completed and which nobody cancelled, is shown at %s as %s", j.id, name, text))
			}
		}
		return broken
	}
}

// leaderOf returns the host that the newest row in the system's table lead names for a cell.
func (s *site) leaderOf(cell string) *host {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for k, r := range s.store.rows {
		if k.table == "lead" && k.key == cell {
			for _, h := range s.hosts {
				if bytes.Contains(r.Value, []byte(h.name+"/")) {
					return h
				}
			}
		}
	}
	cantRun("no leader of %s", cell)
	return nil
}
