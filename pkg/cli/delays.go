package cli

import (
	"context"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// The verb delays computes from collected logs where the time of jobs went. It reads log
// lines into one jobTimes per job and prints one row per queue. It needs no running process.
//
// The time of a job is that of its critical tasks. The critical task of a step is the one
// that ended last. It waits until the start of its first run and runs in its last run. The
// time between these two starts is lost to runs that failed, were stopped or were lost.

var delaysVerb = verb{
	path: "delays", args: "FILE...", min: 1, max: 1000,
	short:   "Tell from collected logs where the time of jobs went, by queue",
	long:    "delays reads JSON lines of many hosts (- is standard input). Of each queue it shows how\nmany jobs came and ended, how long they took, and the mean time that the critical tasks\nof a job waited for a start, lost to runs that brought nothing, and ran, and that the end\nwas yet to be recorded. The last column is what waiting tasks lacked, as far as it was\nlogged: after 2 s of waiting, and every 5 s.",
	example: "  wrenferry delays host-1.log host-2.log\n  cat *.log | wrenferry delays -",
	run:     runDelays,
}

// jobTimes holds the times of one job that are found in logs; zero times are unknown.
type jobTimes struct {
	queue                   string
	queued, ended, recorded time.Time
	failed                  bool
	runs                    map[string][]runTimes // by task
}

type runTimes struct {
	number       int64
	began, ended time.Time
}

// QueueDelays sums up the jobs of a queue. The parts of their time are means in ms.
type QueueDelays struct {
	Queue                            string
	Jobs, Done, Failed               int
	MeanMs, P95Ms                    int64
	WaitMs, AgainMs, RunMs, RecordMs int64
	Lacked                           string
}

func runDelays(_ context.Context, s *session) error {
	all := map[string]*jobTimes{}
	lackedByJob := map[string]map[string]int{}
	for _, file := range s.args {
		lines, err := s.readLog(file)
		if err != nil {
			return err
		}
		for _, l := range lines {
			addLogLine(all, lackedByJob, l)
		}
	}
	if len(all) == 0 {
		return fault.New(fault.NotFound, strings.Join(s.args, " "), "no line of these logs is about a job", "collect the logs of all hosts")
	}
	return show(s, delaysByQueue(all, lackedByJob), "QUEUE JOBS DONE FAILED MEAN-MS P95-MS WAIT AGAIN RUN RECORD LACKED", delayLines)
}

// addLogLine adds one log line to the times of its job in all, and the resources that its
// waiting tasks lacked to lackedByJob (by job, then by resource).
func addLogLine(all map[string]*jobTimes, lackedByJob map[string]map[string]int, l logLine) {
	if l.Job == "" {
		return
	}
	j := all[l.Job]
	if j == nil {
		j = &jobTimes{runs: map[string][]runTimes{}}
		all[l.Job] = j
	}
	if l.Queue != "" {
		j.queue = l.Queue
	}
	switch cell.NoteKind(l.Event) {
	case cell.NoteJobQueued:
		j.queued = earlier(j.queued, l.At)
	case cell.NoteJobEnded:
		j.ended = earlier(j.ended, l.At)
		j.failed = strings.Contains(l.Detail, "FAILED")
	case cell.NoteJobRecorded:
		j.recorded = earlier(j.recorded, l.At)
	case cell.NoteStart:
		j.runs[l.Task] = append(j.runs[l.Task], runTimes{number: l.Run, began: l.At})
	case cell.NoteEnd, cell.NoteLost:
		for i, r := range j.runs[l.Task] {
			if r.number == l.Run && r.ended.IsZero() {
				j.runs[l.Task][i].ended = l.At
			}
		}
	case cell.NoteWaits:
		countLackedResources(lackedByJob, l)
	default:
	}
}

// earlier returns the earlier of two times; a zero a counts as unknown.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// lackPattern matches "RESOURCE:N" in the detail of a log line: N usable workers lacked the
// resource.
var lackPattern = regexp.MustCompile(`([a-z][a-z ]*):(\d+)`)

// countLackedResources adds up the lacked resources named in one line by its job.
func countLackedResources(lackedByJob map[string]map[string]int, l logLine) {
	if lackedByJob[l.Job] == nil {
		lackedByJob[l.Job] = map[string]int{}
	}
	for _, m := range lackPattern.FindAllStringSubmatch(l.Detail, -1) {
		if n, err := strconv.Atoi(m[2]); err == nil {
			lackedByJob[l.Job][strings.TrimSpace(m[1])] += n
		}
	}
}

// timeParts are the waiting, lost and run time of the critical tasks of a job.
type timeParts struct{ wait, lost, run time.Duration }

// criticalTimes adds up the times of the critical tasks over the steps of a job, in the
// order in which the steps began.
func (j *jobTimes) criticalTimes() timeParts {
	type step struct{ began, ended, first, last time.Time }
	steps := map[string]*step{}
	for task, runs := range j.runs {
		unit := task[:strings.LastIndex(task, ".")]
		st := steps[unit]
		if st == nil {
			st = &step{}
			steps[unit] = st
		}
		last := runs[len(runs)-1]
		st.began = earlier(st.began, runs[0].began)
		if last.ended.After(st.ended) {
			st.ended, st.first, st.last = last.ended, runs[0].began, last.began
		}
	}
	list := slices.Collect(maps.Values(steps))
	sort.Slice(list, func(a, b int) bool { return list[a].began.Before(list[b].began) })
	p := timeParts{}
	ready := j.queued
	for _, st := range list {
		if st.ended.IsZero() {
			continue
		}
		p.wait += max(0, st.first.Sub(ready))
		p.lost += st.last.Sub(st.first)
		p.run += st.ended.Sub(st.last)
		if st.ended.After(ready) {
			ready = st.ended
		}
	}
	return p
}

// delaysByQueue returns one row per queue, sorted by the name of the queue.
func delaysByQueue(all map[string]*jobTimes, lackedByJob map[string]map[string]int) []QueueDelays {
	byQueue := map[string][]string{}
	for id, j := range all {
		byQueue[j.queue] = append(byQueue[j.queue], id)
	}
	var list []QueueDelays
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		list = append(list, delaysOfQueue(queue, byQueue[queue], all, lackedByJob))
	}
	return list
}

// delaysOfQueue returns the row of one queue. Only jobs that were queued and ended without
// failure, according to the logs, count for the times.
func delaysOfQueue(queue string, ids []string, all map[string]*jobTimes, lackedByJob map[string]map[string]int) QueueDelays {
	d := QueueDelays{Queue: orDash(queue), Jobs: len(ids)}
	var durations []time.Duration
	sum := timeParts{}
	record, recorded := time.Duration(0), 0
	lacked := map[string]int{}
	for _, id := range ids {
		j := all[id]
		for resource, n := range lackedByJob[id] {
			lacked[resource] += n
		}
		if j.failed {
			d.Failed++
		}
		if j.ended.IsZero() || j.queued.IsZero() || j.failed {
			continue
		}
		d.Done++
		durations = append(durations, j.ended.Sub(j.queued))
		p := j.criticalTimes()
		sum.wait, sum.lost, sum.run = sum.wait+p.wait, sum.lost+p.lost, sum.run+p.run
		if !j.recorded.IsZero() {
			record += j.recorded.Sub(j.ended)
			recorded++
		}
	}
	d.Lacked = mostLacked(lacked)
	if d.Done == 0 {
		return d
	}
	slices.Sort(durations)
	total := time.Duration(0)
	for _, w := range durations {
		total += w
	}
	mean := func(sum time.Duration) int64 { return (sum / time.Duration(d.Done)).Milliseconds() }
	d.MeanMs, d.P95Ms = mean(total), durations[len(durations)*95/100].Milliseconds()
	d.WaitMs, d.AgainMs, d.RunMs = mean(sum.wait), mean(sum.lost), mean(sum.run)
	d.RecordMs = (record / time.Duration(max(1, recorded))).Milliseconds()
	return d
}

// mostLacked lists the lacked resources, the most frequent first, with their shares.
func mostLacked(lacked map[string]int) string {
	all := 0
	for _, n := range lacked {
		all += n
	}
	names := slices.Collect(maps.Keys(lacked))
	sort.Slice(names, func(a, b int) bool {
		if lacked[names[a]] != lacked[names[b]] {
			return lacked[names[a]] > lacked[names[b]]
		}
		return names[a] < names[b]
	})
	words := make([]string, 0, len(names))
	for _, name := range names {
		words = append(words, fmt.Sprintf("%s %d%%", name, 100*lacked[name]/all))
	}
	return strings.Join(words, ", ")
}

func delayLines(list []QueueDelays) [][]any {
	lines := make([][]any, 0, len(list))
	for _, d := range list {
		lines = append(lines, []any{d.Queue, d.Jobs, d.Done, d.Failed, d.MeanMs, d.P95Ms, d.WaitMs, d.AgainMs, d.RunMs, d.RecordMs, orDash(d.Lacked)})
	}
	return lines
}
