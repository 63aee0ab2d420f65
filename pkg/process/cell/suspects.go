package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
)

// How operators list the implicated tasks, those with crash evidence against them, and drop that evidence.

// Suspect is an implicated task as operators see it. Its level may still be trusted.
type Suspect struct {
	Task    string
	Level   string
	Crashes []poisontask.Crash
}

// ClearSuspicion is an operator's request to drop all evidence against a task.
type ClearSuspicion struct{ Task string }

func (ClearSuspicion) event() {}

// Suspects lists the implicated tasks, sorted by name.
func (s *State) Suspects() []Suspect {
	list := []Suspect{}
	s.eachImplicated(func(t *jobs.Task) {
		list = append(list, Suspect{Task: t.Name(), Level: t.Level().String(), Crashes: t.Crashes})
	})
	slices.SortFunc(list, func(a, b Suspect) int { return strings.Compare(a.Task, b.Task) })
	return list
}

// eachImplicated calls do for each implicated task whose job has not ended.
func (s *State) eachImplicated(do func(*jobs.Task)) {
	for _, t := range s.implicated {
		if len(t.Crashes) > 0 && !t.Unit.Job.Ended() {
			do(t)
		}
	}
}

// takeClearSuspicion drops all evidence against a task, as an operator has asked.
func (s *State) takeClearSuspicion(now time.Time, e ClearSuspicion) {
	t := s.taskNamed(e.Task)
	if t == nil || len(t.Crashes) == 0 {
		return
	}
	s.note(Note{Kind: NoteCleared, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), AgeMs: -1, Detail: "an operator dropped the evidence"})
	t.Exonerate()
	s.markDirty(t.Unit.Job, false)
	s.updateWaiting(now, t.Unit.Job)
}
