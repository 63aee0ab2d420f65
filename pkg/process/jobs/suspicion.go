package jobs

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// What crashes of workers say of a task: see the package poisontask.

// IsolationState is how far the record is that a task may be tried alone. It must stand before the run is
// ordered, and is made when there is a worker for it: a successor that finds the run nowhere then knows
// that it may have ended its worker.
type IsolationState int

// The states of a trial.
const (
	NoIsolation IsolationState = iota
	IsolationWanted
	IsolationRecorded
)

// maxCrashes bounds what is kept of a task's crashes: more than it takes to give it up.
const maxCrashes = 6

// Level is how much the task is suspected of crashing workers.
func (t *Task) Level() poisontask.Level { return t.level }

// setCrashes changes what is held against the task, and works out how much it is suspected: that is asked at
// each placing.
func (t *Task) setCrashes(crashes []poisontask.Crash) {
	t.Crashes, t.level = crashes, poisontask.LevelOf(crashes)
	t.crashedSomewhere = slices.ContainsFunc(crashes, func(c poisontask.Crash) bool { return c.Host != "" })
}

// NeedsSpecificWorker says whether not every worker with room will do: the task waits for one by itself, and others of its
// step may find a place meanwhile.
func (t *Task) NeedsSpecificWorker() bool { return t.crashedSomewhere || t.Suspected() }

// Suspected says whether the task is suspected at all.
func (t *Task) Suspected() bool { return t.Level() >= poisontask.Suspected }

// AddCrash holds a crash against the task. What was held against it when the worker fell silent is
// the same one. It says whether that is news.
func (t *Task) AddCrash(c poisontask.Crash) bool {
	if i := t.crash(c.Worker, c.Run); i >= 0 && c.Run != 0 {
		if c.Silent || !t.Crashes[i].Silent {
			return false
		}
		t.Resolve(c.Worker, c.Run, true)
		return true
	}
	c.Again = t.CrashedAt(c.Host) && !c.Trial
	crashes := append(slices.Clone(t.Crashes), c)
	if len(crashes) > maxCrashes {
		crashes = crashes[1:]
	}
	t.setCrashes(crashes)
	t.Isolation = NoIsolation
	return true
}

// CrashedAt says whether a crash at a host is held against the task.
func (t *Task) CrashedAt(host string) bool {
	return host != "" && slices.ContainsFunc(t.Crashes, func(c poisontask.Crash) bool { return c.Host == host })
}

// PoisonousIfSilentCrashed says whether the task is to be given up if the workers that fell silent under it have crashed.
func (t *Task) PoisonousIfSilentCrashed() bool {
	crashes := slices.Clone(t.Crashes)
	for i := range crashes {
		crashes[i].Silent = false
	}
	return poisontask.LevelOf(crashes) == poisontask.Poisonous
}

// SilentAt says whether a worker fell silent under a run and is not known to have crashed.
func (t *Task) SilentAt(worker string, run int64) bool {
	i := t.crash(worker, run)
	return i >= 0 && t.Crashes[i].Silent
}

func (t *Task) crash(worker string, run int64) int {
	return slices.IndexFunc(t.Crashes, func(c poisontask.Crash) bool { return c.Worker == worker && c.Run == run })
}

// Resolve takes in whether a worker that had fallen silent under a run has crashed, or was only cut
// off. It says whether that changes what is held against the task.
func (t *Task) Resolve(worker string, run int64, crashed bool) bool {
	i := t.crash(worker, run)
	if i < 0 || !t.Crashes[i].Silent {
		return false
	}
	crashes := slices.Clone(t.Crashes)
	if crashed {
		crashes[i].Silent = false
	} else {
		crashes = slices.Delete(crashes, i, i+1)
	}
	t.setCrashes(crashes)
	t.Isolation = NoIsolation
	return true
}

// takeBackCrashes takes over what is held against the task where it was lent to. What has come to be
// known here of workers that had fallen silent before, that cell could not learn.
func (t *Task) takeBackCrashes(crashes []poisontask.Crash) {
	for i, c := range crashes {
		if j := t.crash(c.Worker, c.Run); j >= 0 && !t.Crashes[j].Silent {
			crashes[i].Silent = false
		}
	}
	t.setCrashes(crashes)
	t.Isolation = NoIsolation
}

// Exonerate takes all suspicion off the task.
func (t *Task) Exonerate() {
	t.setCrashes(nil)
	t.Isolation = NoIsolation
}

// IsolatedRunLost holds against the task that a forerunner may have tried it: no worker lists a run.
func (t *Task) IsolatedRunLost(at time.Time) bool {
	if t.Isolation != IsolationRecorded || len(t.Runs) > 0 || t.Done {
		return false
	}
	t.AddCrash(poisontask.Crash{Company: 1, Lives: 1, At: at})
	return true
}

// IsolationsWanted are the tasks that want to be tried alone, once that is recorded.
func (j *Job) IsolationsWanted() []*Task {
	var list []*Task
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if t.Isolation == IsolationWanted {
				list = append(list, t)
			}
		}
	}
	return list
}

func crashNotes(crashes []poisontask.Crash) []*wire.CrashNote {
	var list []*wire.CrashNote
	for _, c := range crashes {
		list = append(list, &wire.CrashNote{
			Worker: c.Worker, Run: c.Run, AgeMs: c.Age.Milliseconds(), Company: int32(c.Company), Excused: c.Excused,
			Lives: int32(c.Lives), Outside: c.Outside, Silent: c.Silent, UnixMs: c.At.UnixMilli(), Born: c.Born, Host: c.Host, Began: c.Began, Again: c.Again, Unseen: c.Unseen, Accused: int32(c.Accused),
		})
	}
	return list
}

func crashesOf(notes []*wire.CrashNote) []poisontask.Crash {
	var list []poisontask.Crash
	for _, n := range notes {
		list = append(list, poisontask.Crash{
			Worker: n.GetWorker(), Run: n.GetRun(), Age: time.Duration(n.GetAgeMs()) * time.Millisecond, Company: int(n.GetCompany()), Excused: n.GetExcused(),
			Lives: int(n.GetLives()), Outside: n.GetOutside(), Silent: n.GetSilent(), At: time.UnixMilli(n.GetUnixMs()), Born: n.GetBorn(), Host: n.GetHost(), Began: n.GetBegan(), Again: n.GetAgain(), Unseen: n.GetUnseen(), Accused: int(n.GetAccused()),
		})
	}
	return list
}
