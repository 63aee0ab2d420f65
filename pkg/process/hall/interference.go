package hall

import (
	"fmt"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Interference of batch tasks with services. Package interference decides what
// to do when a service misses its latency target; this file passes the samples to
// it and carries out its actions.

// throttledSharePercent is the share of its reservation that a throttled task
// may use, in percent.
const throttledSharePercent = 30

// takeSamples feeds new latency samples, which arrive late, to the interference
// model, and acts on missed targets.
func (s *State) takeSamples(now time.Time, w *worker, samples []*wire.ServiceSample) {
	w.services = w.services[:0]
	for _, sample := range samples {
		w.services = append(w.services, sample.GetService())
		target := s.strictestTarget(sample.GetService())
		takenAt := now.Add(-time.Duration(sample.GetAgeMs()) * time.Millisecond)
		if target == 0 || !takenAt.After(w.lastSampleAt[sample.GetService()].Add(time.Millisecond)) {
			continue // no target, or a sample that an earlier reply carried
		}
		w.lastSampleAt[sample.GetService()] = takenAt
		ratio := float64(sample.GetTailMs()) / float64(target.Milliseconds())
		s.model.Learn(sample.GetService(), ratio, s.presentKindsAt(w, takenAt))
		s.guardService(now, w, interference.Sample{Service: sample.GetService(), Ratio: ratio, TakenAt: takenAt})
	}
}

// strictestTarget returns the shortest latency target among the request kinds of
// a service, or zero if it has none.
func (s *State) strictestTarget(service string) time.Duration {
	var target time.Duration
	for _, name := range s.tree.KindNames() {
		k, err := s.tree.Kind(service, strings.TrimPrefix(name, service+"/"))
		if err == nil && k.Type == settings.TypeRequest && (target == 0 || k.TargetLatency < target) {
			target = k.TargetLatency
		}
	}
	return target
}

// presentKindsAt counts, by kind, the running tasks of a worker that ran already
// when a sample was taken.
func (s *State) presentKindsAt(w *worker, at time.Time) interference.TaskCounts {
	p := interference.TaskCounts{}
	for _, t := range w.tasks {
		if t.running && t.runningAt.Before(at) {
			p[t.kindName()]++
		}
	}
	return p
}

// guardService carries out the guard's action for a latency sample: it throttles,
// restores or evicts one of the tasks that ran when the sample was taken.
func (s *State) guardService(now time.Time, w *worker, sample interference.Sample) {
	var tasks []interference.Candidate
	for id, t := range w.tasks {
		if t.running && t.stop == notStopping && t.runningAt.Before(sample.TakenAt) {
			tasks = append(tasks, interference.Candidate{
				Task: id, Kind: t.kindName(), Priority: int(t.row.GetPriority()),
				Throttled: t.throttlePercent != 0, Cost: now.Sub(t.runningAt).Seconds(),
			})
		}
	}
	action := w.guard.Decide(now, sample, tasks)
	if action.Verb == interference.NoAction {
		return
	}
	t := w.tasks[action.Task]
	detail := fmt.Sprintf("%s at %.2f of its target on %s", action.Service, action.Ratio, w.name)
	w.syncSoon = true
	switch action.Verb {
	case interference.Throttle:
		t.throttlePercent = throttledSharePercent
		s.note(now, t.object(), TaskThrottled, detail)
	case interference.Restore:
		t.throttlePercent = 0
		s.note(now, t.object(), TaskRestored, detail)
	case interference.Evict:
		s.note(now, t.object(), TaskEvicting, detail)
		s.requestStop(now, t, evicted)
	case interference.NoAction:
	}
}
