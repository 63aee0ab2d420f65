package main

import (
	"fmt"
	"sync"
	"time"
)

// manyEnds: the store is away for a few seconds while a step of many short tasks runs. Meanwhile no end can be taken note
// of, so a runner has more than 500 ends to list, and lists 500 at once.
func init() {
	layouts["many-ends"] = layout{runners: 1, hosts: 2, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["many-ends"] = func(s *site) []string {
		var jobs []*job
		for n := range 3 {
			jobs = append(jobs, &job{Spec: fmt.Sprintf("quotes %d", n), Steps: []step{{Count: 1500, CPU: 100, MemMB: 64, EstimateMs: 400, takes: 400 * time.Millisecond}}})
		}
		var all sync.WaitGroup
		for _, j := range jobs {
			all.Go(func() { s.clients.submit(j, 10) })
		}
		all.Wait()
		if s.trouble {
			time.Sleep(200 * time.Millisecond)
			s.store.setDown(true)
			time.Sleep(4 * time.Second)
			s.store.setDown(false)
		}
		for _, j := range jobs {
			s.rec.add("job %s: %s", j.id, s.await(j, 40*time.Second))
		}
		time.Sleep(2 * time.Second)
		return s.judge.twice(s.load)
	}
}
