package promises_test

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// execution is the time that one attempt ran on one worker, as recorded by the worker.
type execution struct {
	host       string
	task       string
	attempt    int64
	from, to   time.Time
	end        string
	checkpoint string
	cores      int64
	memory     int64
}

// executions pairs the starts and ends in all workers' records. An execution without a recorded
// end ends when its worker was killed or booted again, or now.
func (f *fleet) executions() []execution {
	var all []execution
	for name := range f.workers {
		kills := f.killTimes[name]
		open := map[string]*execution{}
		var list []*execution
		for _, e := range f.entriesOf(name) {
			id := fmt.Sprintf("%s#%d", e.Task, e.Attempt)
			switch e.What {
			case "boot":
				endOpenExecutions(open, kills, e.At)
				open = map[string]*execution{}
			case "start":
				s := &execution{host: name, task: e.Task, attempt: e.Attempt, from: e.At, checkpoint: e.Checkpoint, cores: e.Millicores, memory: e.MemoryMB}
				open[id] = s
				list = append(list, s)
			case "end":
				if s := open[id]; s != nil {
					s.to, s.end = e.At, e.Detail
					delete(open, id)
				}
			}
		}
		endOpenExecutions(open, kills, time.Now())
		for _, s := range list {
			all = append(all, *s)
		}
	}
	return all
}

// endOpenExecutions sets the end of executions without a recorded end: the first kill of their
// worker after their start, at most limit.
func endOpenExecutions(open map[string]*execution, kills []time.Time, limit time.Time) {
	for _, s := range open {
		s.to = limit
		for _, k := range kills {
			if k.After(s.from) && k.Before(s.to) {
				s.to = k
			}
		}
	}
}

// duplicateExecutions lists tasks whose executions overlapped, and attempts that were started twice.
func (f *fleet) duplicateExecutions() []string {
	byTask := map[string][]execution{}
	for _, s := range f.executions() {
		byTask[s.task] = append(byTask[s.task], s)
	}
	var found []string
	for task, list := range byTask {
		sort.Slice(list, func(i, j int) bool { return list[i].from.Before(list[j].from) })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			if b.from.Before(a.to) {
				found = append(found, fmt.Sprintf("%s: attempt %d on %s until %s, attempt %d on %s from %s", task,
					a.attempt, a.host, a.to.Format(time.StampMilli), b.attempt, b.host, b.from.Format(time.StampMilli)))
			}
			if a.attempt == b.attempt {
				found = append(found, fmt.Sprintf("%s: attempt %d was started on %s and on %s", task, a.attempt, a.host, b.host))
			}
		}
	}
	return found
}

// overcommittedWorkers lists workers whose tasks at any time exceeded their capacity.
func (f *fleet) overcommittedWorkers() []string {
	type step struct {
		at    time.Time
		cores int64
	}
	byHost := map[string][]step{}
	for _, s := range f.executions() {
		byHost[s.host] = append(byHost[s.host], step{s.from, s.cores}, step{s.to, -s.cores})
	}
	var found []string
	for host, steps := range byHost {
		sort.Slice(steps, func(i, j int) bool {
			if steps[i].at.Equal(steps[j].at) {
				return steps[i].cores < steps[j].cores
			}
			return steps[i].at.Before(steps[j].at)
		})
		sum, most := int64(0), int64(0)
		for _, s := range steps {
			sum += s.cores
			most = max(most, sum)
		}
		if most > f.capacity.GetMillicores() {
			found = append(found, fmt.Sprintf("%s ran %d of %d millicores", host, most, f.capacity.GetMillicores()))
		}
	}
	return found
}

// finishCounts returns how many executions of each task finished.
func (f *fleet) finishCounts() map[string]int {
	count := map[string]int{}
	for _, s := range f.executions() {
		if s.end == "RUN_STATE_FINISHED" {
			count[s.task]++
		}
	}
	return count
}

// startCounts returns the number of starts of each task.
func (f *fleet) startCounts() map[string]int {
	count := map[string]int{}
	for _, s := range f.executions() {
		count[s.task]++
	}
	return count
}

// checkpointsResumedTwice lists checkpoints from which more than one attempt started and finished.
func (f *fleet) checkpointsResumedTwice() []string {
	from := map[string][]string{}
	for _, s := range f.executions() {
		if s.checkpoint != "" && s.end == "RUN_STATE_FINISHED" {
			from[s.checkpoint] = append(from[s.checkpoint], fmt.Sprintf("%s#%d", s.task, s.attempt))
		}
	}
	var found []string
	for checkpoint, list := range from {
		if len(list) > 1 {
			found = append(found, checkpoint+": "+strings.Join(list, ", "))
		}
	}
	return found
}

// runCounts returns how often each key ran, over all runners.
func (f *fleet) runCounts() map[string]int {
	count := map[string]int{}
	for name := range f.runners {
		for _, e := range f.entriesOf(name) {
			if e.What == "run" {
				count[e.Key]++
			}
		}
	}
	return count
}

// runningExecution returns a current execution of a task, or nil.
func (f *fleet) runningExecution(task string) *execution {
	for _, s := range f.executions() {
		if s.task == task && s.end == "" && f.workers[s.host].killed.IsZero() {
			return &s
		}
	}
	return nil
}

// dumpRecords logs the records of all workers.
func (f *fleet) dumpRecords() {
	for name := range f.workers {
		for _, e := range f.entriesOf(name) {
			f.t.Logf("%s %s %s#%d %s %s", e.At.Format(time.StampMilli), e.What, e.Task, e.Attempt, e.Host, e.Detail)
		}
	}
}
