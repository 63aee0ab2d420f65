package main

import (
	"fmt"
	"time"
)

// lostLabel: three machines in two zones have a label that some jobs need. The one of its zone is lost for good. The other
// two stay up, idle.
func init() {
	layouts["lost-label"] = layout{runners: 3, hosts: 2, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["lost-label"] = func(s *site) []string {
		const special = "kind-b"
		gone := -1
		byZone := map[string]int{}
		for i, r := range s.runners {
			want := map[string]int{"mtl-a": 1, "mtl-b": 2}[r.zone]
			if byZone[r.zone] >= want {
				continue
			}
			byZone[r.zone]++
			if r.zone == "mtl-a" {
				gone = i
			}
			r.set(func() { r.label = special })
			s.store.put("servers", r.id, r.entry())
		}
		time.Sleep(3 * time.Second)
		var jobs []*job
		for n := range 12 {
			j := &job{Spec: fmt.Sprintf("offer %d", n), Steps: []step{{Count: 1, CPU: 3500, MemMB: 6400, EstimateMs: 6800, Needs: special, takes: 6800 * time.Millisecond}}}
			if s.clients.submit(j, 10) {
				jobs = append(jobs, j)
			}
			time.Sleep(200 * time.Millisecond)
		}
		if s.trouble {
			r := s.runners[gone]
			r.crashWithReset()
			time.Sleep(4500 * time.Millisecond)
			s.store.remove("servers", r.id) // after three pings of silence
		}
		time.Sleep(45 * time.Second)
		var broken []string
		for _, j := range jobs {
			state := s.clients.state(j, 3)
			runs := s.judge.startsOf(j.id)
			if state == "completed" {
				continue
			}
			last := j.accepted
			for _, r := range runs {
				last = r.ended
			}
			s.rec.add("job %s, %d s after its acceptance: %s, %d starts", j.id, int(time.Since(j.accepted).Seconds()), state, len(runs))
			if idle := time.Since(last); idle > 10*time.Second && (len(runs) == 0 || !runs[len(runs)-1].ended.IsZero()) {
				broken = append(broken, fmt.Sprintf("LOST: job %s has had nothing running for %d s, while its only task's turn has come and two idle runners have its label", j.id, int(idle.Seconds())))
			}
		}
		s.rec.add("%d of %d jobs are completed", len(jobs)-len(broken), len(jobs))
		return broken
	}
}
