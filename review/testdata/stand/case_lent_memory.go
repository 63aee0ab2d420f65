package main

import (
	"fmt"
	"sync"
	"time"
)

// lentMemory: in one of three zones, lasting tasks take nearly all memory and few processors. Then a burst of short jobs comes,
// for a moment more than the other zones can run at once.
func init() {
	layouts["lent-memory"] = layout{runners: 3, hosts: 2, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["lent-memory"] = func(s *site) []string {
		for _, zone := range []string{"mtl-b"} {
			watch := &job{Spec: "watch " + zone, Steps: []step{{Count: 9, CPU: 2000, MemMB: 42000, EstimateMs: 300, Needs: "r-" + zone, Lasting: true}}}
			if !s.clients.submit(watch, 10) {
				cantRun("no watch")
			}
		}
		time.Sleep(4 * time.Second)
		const base, traffic, burstFrom, burstFor = 400 * time.Millisecond, 9 * time.Second, 2 * time.Second, 4 * time.Second
		var jobs []*job
		var all sync.WaitGroup
		began := time.Now()
		for time.Since(began) < traffic {
			j := &job{Spec: fmt.Sprintf("quote %d", len(jobs)), Steps: []step{{Count: 16, CPU: 2300, MemMB: 4600, EstimateMs: 640, takes: 640 * time.Millisecond}}}
			jobs = append(jobs, j)
			all.Go(func() { s.clients.submit(j, 10) })
			pause := base
			if at := time.Since(began); s.trouble && at >= burstFrom && at < burstFrom+burstFor {
				pause = base * 10 / 26
			}
			time.Sleep(pause)
		}
		all.Wait()
		time.Sleep(30 * time.Second)
		var broken []string
		done := 0
		for _, j := range jobs {
			state := s.clients.state(j, 3)
			runs := s.judge.startsOf(j.id)
			last := j.accepted
			for _, r := range runs {
				if r.ended.After(last) {
					last = r.ended
				}
			}
			if state == "completed" {
				done++
				continue
			}
			s.rec.add("job %s, %d s after its acceptance: %s, %d of 16 tasks started, %d s idle", j.id, int(time.Since(j.accepted).Seconds()), state, len(runs), int(time.Since(last).Seconds()))
			if time.Since(last) > 10*time.Second {
				broken = append(broken, fmt.Sprintf("LOST: job %s has had nothing running for %d s, while %d of its tasks wait and six of nine runners are idle", j.id, int(time.Since(last).Seconds()), 16-len(runs)))
			}
		}
		s.rec.add("%d of %d jobs are completed", done, len(jobs))
		return broken
	}
}
