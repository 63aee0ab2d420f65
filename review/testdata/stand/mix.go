package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// mix: random jobs and random faults, to look for faults of the system. It is no case by itself.
var mixSeed = flag.Uint64("seed", 1, "the seed of the case mix")

func init() {
	layouts["mix"] = layout{runners: 3, hosts: 2, capacity: size{CPU: 16000, MemMB: 64000}}
	cases["mix"] = playMix
}

func mixJob(r *rand.Rand) *job {
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+r.IntN(hi-lo)) * time.Millisecond }
	j := &job{Spec: fmt.Sprintf("mix %d", r.IntN(100000))}
	kind := r.IntN(10)
	steps := 1 + r.IntN(3)
	for i := range steps {
		st := step{Count: 1 + r.IntN(6), CPU: int64(500 + r.IntN(2000)), MemMB: int64(200 + r.IntN(800)), takes: ms(100, 2500)}
		st.EstimateMs = st.takes.Milliseconds()
		if i > 0 && r.IntN(2) == 0 {
			st.DependsOn = []int{r.IntN(i)}
		}
		switch kind {
		case 0, 1:
			st.Gang, st.Count = true, 2+r.IntN(5)
			st.Saves = r.IntN(2) == 0
		case 2:
			st.Speculative = true
		case 3:
			st.Spread = 1
		case 4, 5:
			st.Saves = true
			st.takes = ms(1500, 5000)
		case 6:
			st.Lasting, st.DependsOn = true, nil
		}
		j.Steps = append(j.Steps, st)
	}
	if kind == 7 {
		j.Repeat, j.Interval = 2+r.IntN(6), int64(300+r.IntN(2000))
		j.StartAt = time.Now().Add(ms(200, 3000)).UnixMilli()
	}
	return j
}

func playMix(s *site) []string {
	r := rand.New(rand.NewPCG(*mixSeed, 7))
	if *mixSeed%2 == 0 {
		m := manifest(5)
		m["services"].([]map[string]any)[0]["rejects-overload"] = false
		s.store.put("op", "config", m)
		for _, each := range s.runners {
			each.unguarded = true
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var list []*job
	over := make(chan struct{})
	const traffic = 45 * time.Second
	began := time.Now()
	fault := func(name string, span time.Duration, on, off func()) {
		s.rec.add("fault %s for %s", name, span)
		on()
		time.Sleep(span)
		off()
		s.rec.add("fault %s over", name)
	}
	faults := func(fr *rand.Rand) {
		defer all.Done()
		for time.Since(began) < traffic-6*time.Second {
			select {
			case <-over:
				return
			case <-time.After(time.Duration(500+fr.IntN(3000)) * time.Millisecond):
			}
			h := s.hosts[fr.IntN(len(s.hosts))]
			k := fr.IntN(len(s.runners))
			run := s.runnerAt(k)
			switch fr.IntN(14) {
			case 0, 1:
				fault("kill "+h.name, time.Duration(100+fr.IntN(3000))*time.Millisecond, h.kill, h.start)
			case 2:
				fault("stop "+h.name, time.Duration(1000+fr.IntN(3500))*time.Millisecond, func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) })
			case 3:
				fault("term "+h.name, 6*time.Second, func() { h.signal(syscall.SIGTERM) }, func() { h.kill(); h.start() })
			case 4:
				fault("store down", time.Duration(1000+fr.IntN(3500))*time.Millisecond, func() { s.store.setDown(true) }, func() { s.store.setDown(false) })
			case 5:
				fault("store late", time.Duration(1000+fr.IntN(3500))*time.Millisecond, func() {
					s.store.setLate(func() time.Duration {
						if rand.Float64() < 0.35 {
							return time.Second + time.Duration(rand.Int64N(int64(5*time.Second)))
						}
						return 0
					})
				}, func() { s.store.setLate(nil) })
			case 6, 7:
				fault("crash "+run.id, time.Duration(1000+fr.IntN(3000))*time.Millisecond, run.crash, func() { s.reborn(k) })
			case 8:
				fault("cut "+run.id, time.Duration(1000+fr.IntN(5000))*time.Millisecond, func() { run.set(func() { run.cut = true }) }, func() { run.set(func() { run.cut = false }) })
			case 9:
				fault("late orders "+run.id, 5*time.Second, func() { run.set(func() { run.lateShare = 0.2 }) }, func() { run.set(func() { run.lateShare = 0 }) })
			case 11:
				fault("silent channels of the store", time.Second, s.store.channels.silence, func() {})
			case 12:
				fault("silent channels of "+run.id, time.Second, run.channels.silence, func() {})
			case 13:
				fault("slow store", time.Duration(1000+fr.IntN(3500))*time.Millisecond, func() { s.store.setSlow(60) }, func() { s.store.setSlow(1) })
			case 10:
				fault("kill all", time.Duration(100+fr.IntN(1200))*time.Millisecond, func() {
					for _, h := range s.hosts {
						h.signal(syscall.SIGKILL)
					}
				}, func() {
					for _, h := range s.hosts {
						h.kill()
						h.start()
					}
				})
			}
		}
	}
	if s.trouble {
		all.Add(2)
		go faults(rand.New(rand.NewPCG(*mixSeed, 8)))
		go faults(rand.New(rand.NewPCG(*mixSeed, 9)))
	}
	var jobsWait sync.WaitGroup
	for time.Since(began) < traffic {
		j := mixJob(r)
		cancels, after := r.IntN(8) == 0 || j.Steps[0].Lasting, time.Duration(r.IntN(8000))*time.Millisecond
		jobsWait.Go(func() {
			if !s.clients.submit(j, 30) {
				return
			}
			mu.Lock()
			list = append(list, j)
			mu.Unlock()
			if cancels {
				time.Sleep(after)
				j.mu.Lock()
				j.cancelAsked = time.Now()
				j.mu.Unlock()
				if s.clients.cancel(j, 60) {
					j.mu.Lock()
					j.cancelled = time.Now()
					j.mu.Unlock()
				}
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	all.Wait()
	jobsWait.Wait()
	close(over)
	s.rec.add("traffic over, %d jobs accepted", len(list))
	var broken []string
	deadline := time.Now().Add(25 * time.Second)
	for _, j := range list {
		want := "completed"
		if !j.cancelled.IsZero() {
			want = "cancelled"
		}
		got := s.clients.state(j, 3)
		for got != "completed" && got != "failed" && got != "cancelled" && got != "gone" && time.Now().Before(deadline) {
			time.Sleep(200 * time.Millisecond)
			got = s.clients.state(j, 3)
		}
		if got != want && !(got == "completed" && want == "cancelled") && !(got == "cancelled" && !j.cancelAsked.IsZero()) {
			broken = append(broken, fmt.Sprintf("STATE %s: %s, expected %s", j.id, got, want))
		}
		if got == "completed" {
			broken = append(broken, s.judge.notDone(j)...)
		}
	}
	time.Sleep(3 * time.Second)
	broken = append(broken, s.judge.twice(s.load)...)
	broken = append(broken, s.judge.other(s)...)
	return broken
}
