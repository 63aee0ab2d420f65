package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// largeRow: a large job comes, of which thousands of tasks save their progress. What the system records of it in one row
// of the store outgrows row_bytes, so no end of it can be taken note of any more.
func init() {
	layouts["large-row"] = layout{runners: 3, hosts: 2, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["large-row"] = func(s *site) []string {
		wide := 300
		if s.trouble {
			wide = 4200
		}
		large := &job{Spec: "large", Steps: []step{
			{Count: 450, CPU: 20, MemMB: 16, EstimateMs: 5000, takes: 5 * time.Second},
			{Count: wide, CPU: 20, MemMB: 16, EstimateMs: 90000, Saves: true, takes: 90 * time.Second},
		}}
		s.clients.submit(large, 10)
		var all sync.WaitGroup
		var mu sync.Mutex
		var small []*job
		end := time.Now().Add(25 * time.Second)
		for time.Now().Before(end) {
			j := &job{Spec: fmt.Sprintf("small %d", rand.IntN(1000)), Steps: []step{{Count: 4, CPU: 100, MemMB: 64, EstimateMs: 300, takes: 300 * time.Millisecond}}}
			all.Go(func() {
				if s.clients.submit(j, 3) {
					mu.Lock()
					small = append(small, j)
					mu.Unlock()
				}
			})
			time.Sleep(125 * time.Millisecond)
		}
		all.Wait()
		from := time.Now()
		time.Sleep(16 * time.Second) // over ack-ms, and over finish_s after the last job
		open := 0
		for _, j := range small {
			if state := s.clients.state(j, 3); state != "completed" {
				open++
				s.rec.add("job %s, %d s after the traffic's end: %s", j.id, int(time.Since(from).Seconds()), state)
			}
		}
		s.rec.add("%d of %d small jobs are not completed, the large one is %s", open, len(small), s.clients.state(large, 3))
		listed, missed := s.judge.unnoted(s.rec.start, from.Add(4*time.Second))
		s.rec.add("%d ends were listed by runners, %d of them were not taken note of", listed, missed)
		var broken []string
		if missed*5 > listed {
			broken = append(broken, fmt.Sprintf("Acks: %d of %d ends listed by runners were not taken note of, after 4 s with a store that answers", missed, listed))
		}
		return append(broken, s.judge.twice(s.load)...)
	}
}
