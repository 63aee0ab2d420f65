package main

import (
	"fmt"
	"strings"
	"time"
)

// gangRun is one run of a gang: its members work from the moment when all are there.
type gangRun struct {
	members map[string]gangMember
	over    bool
}

type gangMember struct {
	run    *activeRun
	runner *runner
	left   time.Duration
}

func gangOf(task string, run int64) string {
	return fmt.Sprintf("%s#%d", task[:strings.LastIndex(task, ".")], run)
}

// memberHere notes that a member is there. The last one lets all work; without it, they end alone after gangWait.
func (w *workload) memberHere(a *activeRun, r *runner, left time.Duration) {
	name := gangOf(a.task, a.number)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gangs == nil {
		w.gangs = map[string]*gangRun{}
	}
	g := w.gangs[name]
	if g == nil {
		g = &gangRun{members: map[string]gangMember{}}
		w.gangs[name] = g
	}
	if g.over {
		go r.set(func() { r.end(a, "broken") })
		return
	}
	g.members[a.task] = gangMember{a, r, left}
	if len(g.members) < a.t.step.Count {
		time.AfterFunc(gangWait, func() {
			r.set(func() {
				if a.waits {
					r.end(a, "alone")
				}
			})
		})
		return
	}
	longest := time.Duration(0)
	for _, m := range g.members {
		longest = max(longest, m.left)
	}
	for _, m := range g.members {
		go m.runner.set(func() { m.run.waits, m.run.began = false, time.Now() })
		m.runner.endIn(m.run, longest)
	}
}

// memberEnded ends the other members of a gang: done, where it has done its work, or broken.
func (w *workload) memberEnded(task string, run int64, how string, by *runner) {
	w.mu.Lock()
	g := w.gangs[gangOf(task, run)]
	if g == nil || g.over {
		w.mu.Unlock()
		return
	}
	g.over = true
	members := g.members
	w.mu.Unlock()
	others := "broken"
	if how == "done" {
		others = "done"
	}
	for name, m := range members {
		if name != task {
			m.runner.set(func() { m.runner.end(m.run, others) })
		}
	}
}
