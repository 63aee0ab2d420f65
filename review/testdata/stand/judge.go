package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// runSeen is one run of a task as a runner saw it.
type runSeen struct {
	runner  string
	number  int64
	began   time.Time
	ended   time.Time
	how     string
	n       int64
	listed  time.Time
	noted   time.Time
	lapsed  bool // the runner's lease lapsed between the end and last-seen reaching it
	unknown bool // nobody sent this task, or the spec differs
}

// judge keeps what runners and clients have seen, and checks the rules by it.
type judge struct {
	rec *record

	mu   sync.Mutex
	runs map[string][]*runSeen
	over []string
}

func newJudge(rec *record) *judge { return &judge{rec: rec, runs: map[string][]*runSeen{}} }

func (j *judge) started(runner string, o order, t task, known bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[o.Task] = append(j.runs[o.Task], &runSeen{runner: runner, number: o.Run, began: time.Now(), unknown: !known || t.spec != o.Spec})
	j.rec.line("%s start %s run %d fence %d checkpoint %q", runner, o.Task, o.Run, o.Fence, o.Checkpoint)
}

func (j *judge) find(runner, task string, run int64) *runSeen {
	for _, r := range j.runs[task] {
		if r.runner == runner && r.number == run {
			return r
		}
	}
	return nil
}

func (j *judge) ended(runner string, e endedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.find(runner, e.task, e.run); r != nil {
		r.ended, r.how, r.n = e.at, e.how, e.n
	}
	j.rec.line("%s end %d %s run %d %s", runner, e.n, e.task, e.run, e.how)
}

// overCapacity notes a start that takes a runner beyond its capacity.
func (j *judge) overCapacity(runner, task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.over = append(j.over, fmt.Sprintf("LIMIT %s: its start takes %s beyond its capacity", task, runner))
	j.rec.line("%s is beyond its capacity with %s", runner, task)
}

// died marks a run that ended with its runner's life.
func (j *judge) died(runner, task string, run int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.find(runner, task, run); r != nil {
		r.ended, r.how = time.Now(), "lost"
	}
}

func (j *judge) listed(runner string, e endedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.find(runner, e.task, e.run); r != nil && r.listed.IsZero() {
		r.listed = time.Now()
	}
}

func (j *judge) noted(runner string, e endedRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.find(runner, e.task, e.run); r != nil && r.noted.IsZero() {
		r.noted = time.Now()
	}
	j.rec.line("%s end %d noted", runner, e.n)
}

// lapsed marks the ends at a runner that are not taken note of when its lease lapses.
func (j *judge) lapsed(runner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, list := range j.runs {
		for _, r := range list {
			if r.runner == runner && !r.ended.IsZero() && r.noted.IsZero() {
				r.lapsed = true
			}
		}
	}
}

// twice returns what breaks TWICE: two runs of a task at a time, or a start after a run ended done, if that end was taken
// note of then or later and the runner's lease did not lapse in between.
func (j *judge) twice(load *workload) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var broken []string
	for _, name := range j.names() {
		if t, ok := load.task(name); ok && t.step.Speculative {
			continue
		}
		list, first := j.runs[name], len(broken)
		for _, a := range list {
			for _, b := range list {
				if a == b || b.began.Before(a.began) || (b.began.Equal(a.began) && b.number <= a.number) {
					continue
				}
				switch {
				case a.ended.IsZero() || a.ended.After(b.began):
					broken = append(broken, fmt.Sprintf("TWICE %s: run %d at %s still at work when run %d starts at %s", name, a.number, a.runner, b.number, b.runner))
				case a.how == "done" && !a.noted.IsZero() && !a.lapsed:
					broken = append(broken, fmt.Sprintf("TWICE %s: run %d at %s ended done (end %d) %d ms before run %d starts at %s; that end was taken note of %d ms after this start",
						name, a.number, a.runner, a.n, b.began.Sub(a.ended).Milliseconds(), b.number, b.runner, a.noted.Sub(b.began).Milliseconds()))
				}
			}
		}
		broken = broken[:min(len(broken), first+1)] // one line for each task
	}
	return broken
}

func (j *judge) names() []string {
	list := make([]string, 0, len(j.runs))
	for name := range j.runs {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

// unnoted returns how many ends were listed in a span and how many of them were not taken note of by its end. A listed
// end has 100 ms to be taken note of.
func (j *judge) unnoted(from, until time.Time) (listed, missed int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, list := range j.runs {
		for _, r := range list {
			if r.listed.IsZero() || r.listed.Before(from) || r.listed.After(until.Add(-100*time.Millisecond)) || r.lapsed {
				continue
			}
			listed++
			if r.noted.IsZero() || r.noted.After(until) {
				missed++
			}
		}
	}
	return listed, missed
}

// counts returns the number of runs by how they ended.
func (j *judge) counts() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := map[string]int{}
	for _, list := range j.runs {
		for _, r := range list {
			how := r.how
			if how == "" {
				how = "at work"
			}
			n[how]++
		}
	}
	return n
}

// startsOf returns the starts of a job's tasks.
func (j *judge) startsOf(id string) []*runSeen {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []*runSeen
	for _, name := range j.names() {
		if len(name) > len(id) && name[:len(id)] == id {
			list = append(list, j.runs[name]...)
		}
	}
	return list
}

// notDone returns the tasks of a job that no run has ended done, and so breaks MIXED if the job is shown as completed.
func (j *judge) notDone(of *job) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var broken []string
	for k := range max(1, of.Repeat) {
		for s, st := range of.Steps {
			gangDone := false
			for i := range st.Count {
				done := false
				for _, r := range j.runs[fmt.Sprintf("%s.%d.%d.%d", of.id, k, s, i)] {
					done = done || r.how == "done"
				}
				gangDone = gangDone || done
				if !done && !st.Gang {
					broken = append(broken, fmt.Sprintf("MIXED %s.%d.%d.%d: the job is shown as completed, and no run of it ended done", of.id, k, s, i))
				}
			}
			if st.Gang && !gangDone {
				broken = append(broken, fmt.Sprintf("MIXED %s.%d.%d: the job is shown as completed, and no run of the gang ended done", of.id, k, s))
			}
		}
	}
	return broken
}

// other checks what is started out of turn, unasked, or after a cancel.
func (j *judge) other(s *site) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	broken := append([]string(nil), j.over...)
	for _, name := range j.names() {
		id, k, st, _ := parse(name)
		of := s.load.jobs[id]
		for _, r := range j.runs[name] {
			if r.unknown || of == nil {
				broken = append(broken, fmt.Sprintf("UNASKED %s: started at %s, and nobody sent it so", name, r.runner))
				continue
			}
			if of.accepted.IsZero() && of.unanswered == 0 {
				broken = append(broken, fmt.Sprintf("REFUSED %s: started at %s, and all %d attempts were rejected", name, r.runner, of.refused))
			}
			if !of.cancelled.IsZero() && r.began.Sub(of.cancelled) > 3*time.Second {
				broken = append(broken, fmt.Sprintf("UNASKED %s: started at %s %d ms after its cancel was acknowledged", name, r.runner, r.began.Sub(of.cancelled).Milliseconds()))
			}
			if of.Repeat > 0 && r.began.UnixMilli() < of.StartAt+int64(k)*of.Interval-250 {
				broken = append(broken, fmt.Sprintf("ORDER %s: started at %s before its time", name, r.runner))
			}
			for _, d := range of.Steps[st].DependsOn {
				for i := range of.Steps[d].Count {
					if !j.doneBefore(fmt.Sprintf("%s.%d.%d.%d", id, k, d, i), r.began) && !of.Steps[d].Gang {
						broken = append(broken, fmt.Sprintf("ORDER %s: started at %s before task %d of step %d was done", name, r.runner, i, d))
					}
				}
			}
		}
	}
	return broken
}

func (j *judge) doneBefore(name string, at time.Time) bool {
	for _, r := range j.runs[name] {
		if r.how == "done" && !r.ended.After(at) {
			return true
		}
	}
	return false
}

func parse(name string) (id string, k, step, index int) {
	_, err := fmt.Sscanf(name, "%16s.%d.%d.%d", &id, &k, &step, &index)
	if err != nil {
		return "", 0, 0, 0
	}
	return id, k, step, index
}
