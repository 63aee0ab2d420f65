package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// What operators see of suspicions, and how they take one back.

// Suspect is a task under which workers crashed, with what is held against it.
type Suspect struct {
	Task    string
	Level   string
	Crashes []blame.Crash
}

// ClearSuspicion takes back what is held against a task, by an operator's word.
type ClearSuspicion struct{ Task string }

func (ClearSuspicion) event() {}

// Suspects lists the tasks against which anything is held, by name.
func (s *State) Suspects() []Suspect {
	list := []Suspect{}
	s.eachAccused(func(t *jobs.Task) {
		list = append(list, Suspect{Task: t.Name(), Level: t.Level().String(), Crashes: t.Crashes})
	})
	slices.SortFunc(list, func(a, b Suspect) int { return strings.Compare(a.Task, b.Task) })
	return list
}

func (s *State) eachAccused(do func(*jobs.Task)) {
	for _, t := range s.accused {
		if len(t.Crashes) > 0 && !t.Unit.Job.Ended() {
			do(t)
		}
	}
}

func (s *State) takeClearSuspicion(now time.Time, e ClearSuspicion) {
	t := s.task(e.Task)
	if t == nil || len(t.Crashes) == 0 {
		return
	}
	s.note(Note{What: NoteCleared, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), AgeMs: -1, Detail: "an operator takes the suspicion back"})
	t.Clear()
	s.markDirty(t.Unit.Job, false)
	s.touch(now, t.Unit.Job)
}
