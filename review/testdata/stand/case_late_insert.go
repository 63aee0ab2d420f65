package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	cancelMs  = 3 * time.Second
	contactMs = 3 * time.Second
	lostFor   = 4500 * time.Millisecond
	lostShare = 0.35
	leaveIn   = 900 * time.Millisecond
	leaveOf   = 0.4
)

// leaving is a job whose client left before an answer, and cancelled it.
type leaving struct {
	*job
	cancelledAt time.Time
	status      int
}

// lateInsert: answers of the platform's store are lost for a few seconds, and these calls are done late. Some clients leave
// before they have an answer, and cancel their job. The cancel is acknowledged; the job must not start long after that.
func init() {
	layouts["late-insert"] = layout{runners: 2, hosts: 3, capacity: size{CPU: 32000, MemMB: 128000}}
	cases["late-insert"] = func(s *site) []string {
		began := time.Now()
		if s.trouble {
			s.rec.add("the store loses the answers of %.2f of its writes for %s", lostShare, lostFor)
			s.store.mu.Lock()
			s.store.late = func() time.Duration {
				if time.Since(began) > lostFor || rand.Float64() >= lostShare {
					return 0
				}
				return time.Second + time.Duration(rand.Int64N(int64(5*time.Second)))
			}
			s.store.mu.Unlock()
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		var left []*leaving
		for time.Since(began) < lostFor {
			j := &job{Spec: "quote", Steps: []step{{Count: 4, CPU: 2300, MemMB: 500, EstimateMs: 640, takes: 640 * time.Millisecond}}}
			all.Go(func() {
				if rand.Float64() >= leaveOf {
					s.clients.submit(j, 5)
					return
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.Int64N(int64(leaveIn))))
				defer cancel()
				if s.clients.submitOnce(ctx, j) {
					return // it was accepted before the client left
				}
				l := &leaving{job: j}
				for l.cancelledAt.IsZero() {
					status := s.clients.cancelOnce(j)
					if status/100 == 2 || status == 410 {
						l.cancelledAt, l.status = time.Now(), status
					}
				}
				mu.Lock()
				left = append(left, l)
				mu.Unlock()
			})
			time.Sleep(time.Second / 40)
		}
		all.Wait()
		time.Sleep(10 * time.Second)
		s.rec.add("%d clients left before an answer and had their cancel acknowledged", len(left))
		var broken []string
		calm := began.Add(lostFor + contactMs)
		for _, l := range left {
			for _, r := range s.judge.startsOf(l.id) {
				late := r.began.Sub(l.cancelledAt)
				s.rec.line("job %s, cancel acknowledged with %d, starts %d ms after that", l.id, l.status, late.Milliseconds())
				if late > cancelMs && (!s.trouble || r.began.After(calm)) {
					broken = append(broken, fmt.Sprintf("UNASKED: a task of job %s starts at %s %d ms after the cancelling was acknowledged (%d), %d ms after the store's last lost answer",
						l.id, r.runner, late.Milliseconds(), l.status, r.began.Sub(began.Add(lostFor)).Milliseconds()))
					break
				}
			}
		}
		return broken
	}
}
