package hall

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Explain returns the answer to "wrenferry explain NAME": the recorded facts of
// the object and, for a job, of its tasks, by time; then the current state of
// each and what it waits for.
func (s *State) Explain(now time.Time, name string) []Fact {
	var facts []Fact
	for _, object := range s.objects(name) {
		known, _ := s.facts.Peek(object)
		facts = append(facts, known...)
	}
	slices.SortStableFunc(facts, func(a, b Fact) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return append(facts, s.currentFacts(now, name)...)
}

// objects returns the objects that a name may refer to.
func (s *State) objects(name string) []string {
	objects := []string{name, "job/" + name, "task/" + name, "worker/" + name}
	for _, object := range s.facts.Keys() {
		if strings.HasPrefix(object, "task/"+name+".") {
			objects = append(objects, object)
		}
	}
	return objects
}

// currentFacts returns facts with the reason "now", which describe the current
// state of the named task, job, worker or hall.
func (s *State) currentFacts(now time.Time, name string) []Fact {
	var facts []Fact
	say := func(object, detail string) {
		facts = append(facts, Fact{At: now, Object: object, Reason: "now", Detail: detail})
	}
	for id, t := range s.tasks {
		if id == name || t.row.GetJobKey() == name {
			say(t.object(), t.describe())
		}
	}
	if w := s.workers[name]; w != nil {
		say(w.object(), fmt.Sprintf("reached %t, incarnation %q, %d tasks, free %+v, last heard %s ago",
			w.reached, w.reportedIncarnation, len(w.tasks), w.account.Free(), now.Sub(w.markReceivedAt).Round(time.Millisecond)))
	}
	if name == s.hall {
		say(s.hall, fmt.Sprintf("%s, epoch %d, %+v", s.leadership.Role(), s.leadership.Epoch(), s.Counts()))
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Object, b.Object) })
	return facts
}

// describe returns the state of a task, what it waits for, and the reason of its
// last change.
func (t *task) describe() string {
	text := fmt.Sprintf("%s, attempt %d", strings.ToLower(strings.TrimPrefix(t.row.GetState().String(), "TASK_STATE_")), t.row.GetAttempt())
	switch {
	case t.running:
		text += " running on " + t.row.GetWorker()
	case t.placed() && !t.isCommitted():
		text += " for " + t.row.GetWorker() + ", waits for the table"
	case t.placed():
		text += " on " + t.row.GetWorker() + ", waits for room or for the worker's answer"
	}
	if t.stop != notStopping {
		text += ", asked to stop: " + string(t.stop)
	}
	return text + ", because " + t.row.GetReason()
}
