package jobs

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The crash evidence of a task. Package poisontask explains how evidence is weighed.

// StartRecord is the state of the record of a task's next start. A task that may have crashed a worker starts only after
// the table holds a record that names the worker incarnation. So a successor that finds a record, and no worker that
// lists the run, knows which worker the run may have crashed.
type StartRecord int

// The states of a start record.
const (
	NoStartRecord StartRecord = iota
	StartRecordWanted
	StartRecorded
)

// Incarnation names an incarnation of a worker. It is the zero value if none is chosen, or if an older host wrote the
// record. Born is 0 for a worker whose id is never used again.
type Incarnation struct {
	Worker string
	Born   int64
	Host   string
}

// Known returns whether the incarnation is known.
func (a Incarnation) Known() bool { return a.Worker != "" }

// maxCrashes bounds the number of crashes that are kept per task. It exceeds the number after which a task is
// classified as poisonous.
const maxCrashes = 6

// Level returns how strongly the task is suspected of crashing workers.
func (t *Task) Level() poisontask.Level { return t.level }

// setEvidence replaces the task's crash evidence. It computes the level here because each placement reads it.
func (t *Task) setEvidence(crashes []poisontask.Crash) {
	t.Crashes, t.level = crashes, poisontask.LevelOf(crashes)
	t.crashHostKnown = slices.ContainsFunc(crashes, func(c poisontask.Crash) bool { return c.Host != "" })
}

// NeedsSpecificWorker returns whether some workers with enough free capacity are unsuitable for the task. Such a
// task waits on its own: other tasks of its step may be placed in the meantime.
func (t *Task) NeedsSpecificWorker() bool { return t.crashHostKnown || t.Suspected() }

// Suspected returns whether the task's level is poisontask.Suspected or higher.
func (t *Task) Suspected() bool { return t.Level() >= poisontask.Suspected }

// AddCrash adds a crash to the task's evidence. If the evidence already has the same run at the same worker as
// silent, and c is a confirmed crash, the entry is confirmed and nothing is added. AddCrash returns whether the
// evidence changed.
func (t *Task) AddCrash(c poisontask.Crash) bool {
	if i := t.crashIndex(c.Worker, c.Run); i >= 0 && c.Run != 0 {
		if c.Silent || !t.Crashes[i].Silent {
			return false
		}
		t.ResolveSilent(c.Worker, c.Run, true)
		return true
	}
	c.Again = t.CrashedAt(c.Host) && !c.Trial
	crashes := append(slices.Clone(t.Crashes), c)
	if len(crashes) > maxCrashes {
		crashes = crashes[1:]
	}
	t.setEvidence(crashes)
	t.StartRecord = NoStartRecord
	return true
}

// CrashedAt returns whether the evidence has a crash at the given host.
func (t *Task) CrashedAt(host string) bool {
	return host != "" && slices.ContainsFunc(t.Crashes, func(c poisontask.Crash) bool { return c.Host == host })
}

// HasCrashAt returns whether the evidence has the end of the given incarnation.
func (t *Task) HasCrashAt(at Incarnation) bool {
	return slices.ContainsFunc(t.Crashes, func(c poisontask.Crash) bool { return c.Worker == at.Worker && c.Born == at.Born })
}

// PoisonousIfSilentCrashed returns whether the task would be poisonous if all workers that became silent under it
// had crashed.
func (t *Task) PoisonousIfSilentCrashed() bool {
	crashes := slices.Clone(t.Crashes)
	for i := range crashes {
		crashes[i].Silent = false
	}
	return poisontask.LevelOf(crashes) == poisontask.Poisonous
}

// SilentAt returns whether the worker became silent during the run and is not known to have crashed.
func (t *Task) SilentAt(worker string, run int64) bool {
	i := t.crashIndex(worker, run)
	return i >= 0 && t.Crashes[i].Silent
}

func (t *Task) crashIndex(worker string, run int64) int {
	return slices.IndexFunc(t.Crashes, func(c poisontask.Crash) bool { return c.Worker == worker && c.Run == run })
}

// ResolveSilent records whether a worker that became silent during a run has crashed or was only unreachable. It returns
// whether the evidence changed.
func (t *Task) ResolveSilent(worker string, run int64, crashed bool) bool {
	i := t.crashIndex(worker, run)
	if i < 0 || !t.Crashes[i].Silent {
		return false
	}
	crashes := slices.Clone(t.Crashes)
	if crashed {
		crashes[i].Silent = false
	} else {
		crashes = slices.Delete(crashes, i, i+1)
	}
	t.setEvidence(crashes)
	if t.Settled { // else the record may be of a start that is not accounted for yet
		t.StartRecord = NoStartRecord
	}
	return true
}

// UpdateEvidence replaces each crash by what update returns for it. It returns whether any differs.
func (t *Task) UpdateEvidence(update func(poisontask.Crash) poisontask.Crash) bool {
	crashes := slices.Clone(t.Crashes)
	for i, c := range crashes {
		crashes[i] = update(c)
	}
	if slices.Equal(crashes, t.Crashes) {
		return false
	}
	t.setEvidence(crashes)
	return true
}

// applyReturnedEvidence replaces the evidence by that of the cell that returned the task. Crashes that were confirmed
// here since the task was delegated stay confirmed, because the other cell could not learn of them.
func (t *Task) applyReturnedEvidence(crashes []poisontask.Crash) {
	for i, c := range crashes {
		if j := t.crashIndex(c.Worker, c.Run); j >= 0 && !t.Crashes[j].Silent {
			crashes[i].Silent = false
		}
	}
	t.setEvidence(crashes)
	t.StartRecord = NoStartRecord
}

// Exonerate removes all crash evidence of the task.
func (t *Task) Exonerate() {
	t.setEvidence(nil)
	t.StartRecord = NoStartRecord
}

// NeedsStartRecord returns whether the task starts only after a record that names the worker incarnation: it may have
// crashed a worker.
func (t *Task) NeedsStartRecord() bool { return len(t.Crashes) > 0 || t.UnreachedAt.Known() }

// WantStartRecord requests the record of a start at the given incarnation, unless it was requested before. It returns
// whether it did so.
func (t *Task) WantStartRecord(at Incarnation) bool {
	if t.StartRecord != NoStartRecord && t.StartAt == at {
		return false
	}
	t.StartRecord, t.StartAt = StartRecordWanted, at
	return true
}

// StartRecordDurable notes that the record of a start at the given incarnation is durable. It returns whether the start
// is allowed now: another incarnation may have been chosen since.
func (t *Task) StartRecordDurable(at Incarnation) bool {
	if t.StartRecord != StartRecordWanted || t.StartAt != at {
		return false
	}
	t.StartRecord = StartRecorded
	return true
}

// StartRecordsWanted returns the tasks that need a record of their next start, each with the incarnation for it.
func (j *Job) StartRecordsWanted() map[*Task]Incarnation {
	wanted := map[*Task]Incarnation{}
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			if t.StartRecord == StartRecordWanted {
				wanted[t] = t.StartAt
			}
		}
	}
	return wanted
}

// recordedStart returns the incarnation that a record of the task names, that of its present run or else of its next
// start, and whether there is one. A task's first evidence may be added while a run goes on whose start was not recorded.
func (t *Task) recordedStart() (Incarnation, bool) {
	if t.NeedsStartRecord() && len(t.Runs) > 0 && !t.HasCrashAt(t.Runs[0].At) {
		return t.Runs[0].At, true
	}
	if t.StartRecord == NoStartRecord {
		return Incarnation{}, false
	}
	return t.StartAt, true
}

func encodeCrashes(crashes []poisontask.Crash) []*wire.CrashNote {
	var list []*wire.CrashNote
	for _, c := range crashes {
		list = append(list, &wire.CrashNote{
			Worker: c.Worker, Run: c.Run, AgeMs: c.Age.Milliseconds(), AgeMostMs: c.AgeMost.Milliseconds(), Company: int32(c.Company), Excused: c.Excused,
			Lives: int32(c.Lives), Outside: c.Outside, Silent: c.Silent, UnixMs: c.At.UnixMilli(), Born: c.Born, Host: c.Host, Began: c.Began, Again: c.Again, Unseen: c.Unseen, Accused: int32(c.Accused), Trial: c.Trial,
		})
	}
	return list
}

func decodeCrashes(notes []*wire.CrashNote) []poisontask.Crash {
	var list []poisontask.Crash
	for _, n := range notes {
		list = append(list, poisontask.Crash{
			Worker: n.GetWorker(), Run: n.GetRun(), Age: time.Duration(n.GetAgeMs()) * time.Millisecond, AgeMost: time.Duration(n.GetAgeMostMs()) * time.Millisecond, Company: int(n.GetCompany()), Excused: n.GetExcused(),
			Lives: int(n.GetLives()), Outside: n.GetOutside(), Silent: n.GetSilent(), At: time.UnixMilli(n.GetUnixMs()), Born: n.GetBorn(), Host: n.GetHost(), Began: n.GetBegan(), Again: n.GetAgain(), Unseen: n.GetUnseen(), Accused: int(n.GetAccused()), Trial: n.GetTrial(),
		})
	}
	return list
}
