package main

import (
	"fmt"
	"time"
)

// flapping: the one machine with a label crashes and comes back a few times. Jobs that need the label can be done there once
// it stays up; no run of them ends failed.
func init() {
	layouts["flapping"] = layout{runners: 3, hosts: 2, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["flapping"] = func(s *site) []string {
		const special = "kind-b"
		machine := 0
		r := s.runners[machine]
		r.set(func() { r.label = special })
		s.store.put("servers", r.id, r.entry())
		time.Sleep(2 * time.Second)
		jobs := map[string]*job{
			"offer": {Spec: "offer", Steps: []step{{Count: 1, CPU: 3500, MemMB: 6400, EstimateMs: 6800, Needs: special, takes: 6800 * time.Millisecond}}},
			"watch": {Spec: "watch", Steps: []step{{Count: 1, CPU: 6400, MemMB: 13000, EstimateMs: 300, Needs: special, Lasting: true}}},
		}
		for _, j := range jobs {
			if !s.clients.submit(j, 10) {
				cantRun("job not accepted")
			}
		}
		if s.trouble {
			for range 8 {
				time.Sleep(2500 * time.Millisecond)
				s.runnerAt(machine).crashWithReset()
				time.Sleep(2 * time.Second)
				s.reborn(machine)
			}
		}
		time.Sleep(20 * time.Second)
		var broken []string
		for name, j := range jobs {
			state := s.clients.state(j, 5)
			s.rec.add("job %s (%s): %s", j.id, name, state)
			if state != "failed" && state != "cancelled" {
				continue
			}
			failed, runs := 0, s.judge.startsOf(j.id)
			for _, r := range runs {
				if r.how == "failed" {
					failed++
				}
			}
			broken = append(broken, fmt.Sprintf("LOST: job %s (%s) is shown as %s; of its %d runs %d ended failed, max-attempts is 4", j.id, name, state, len(runs), failed))
		}
		return broken
	}
}
