package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/poisontask"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Crash evidence. When a worker incarnation ends without a stop or a leave, that is evidence against the tasks
// that ran there. The package poisontask weighs it; suspects are then placed so that one more crash identifies
// the task. The record of a task's job holds the evidence, so that it survives this leader.
// A worker that was leaving, or whose row was gone, before it went silent gives no evidence. A silent
// worker has crashed or is cut off: its evidence is withdrawn if the same incarnation answers again.

const (
	// maxLoggedRuns bounds the runs listed in one log line.
	maxLoggedRuns = 6
	// silentAfterFailures is how many polls of a worker have to fail in a row before its silence becomes
	// evidence: a single failure may be a broken connection, and evidence costs one record of each job
	// that runs there.
	silentAfterFailures = 2
	// brokenConnectionSlack is how much longer than the wait of a poll it may take to notice a broken connection:
	// a silence that is noticed later was noticed by a timeout. It is shorter than pollSlack.
	brokenConnectionSlack = 60 * time.Millisecond
	// hostCrashMemory is how long a crash of a host remains a sign of a fault of the host itself, should it
	// crash again.
	hostCrashMemory = 15 * time.Second
	// silentRunMemory is how long the leader tracks a run on a silent worker to learn whether the worker
	// crashed: crashed workers are back after some seconds.
	silentRunMemory = 30 * time.Second
	// maxSilentWait is how long a task that would start in an isolated run waits to learn whether its
	// silent worker crashed.
	maxSilentWait = 10 * time.Second
	// maxSilentWaitLasting is the same for a lasting task, which is soon late. A lasting task that
	// would be poisonous if the worker crashed waits until it is overdue.
	maxSilentWaitLasting = 3 * time.Second
)

// silentRun is a run on a worker that went silent and is not known to have crashed.
type silentRun struct {
	task         *jobs.Task
	run          int64
	worker, host string
	born         int64
	// at is when this leader learned of the silence, since when the task began to wait for its outcome.
	at, since time.Time
}

// workerCrashed handles the end of a worker incarnation that was not caused by a stop or a leave.
func (s *State) workerCrashed(now time.Time, w *workers.Worker) {
	s.resolveSilentRuns(now, true, func(r silentRun) bool { return r.worker == w.ID && r.born == w.Born })
	at := w.LatestEnd(now)
	if w.SilentSince.IsZero() {
		s.addSilence(now, w, at)
	}
	s.addCrashEvidence(now, w, at, false)
	s.retainMember(w, w.Born)
}

// hostCrash is a crash of a host and the tasks that ran there.
type hostCrash struct {
	at    time.Time
	tasks []*jobs.Task
}

// addHostCrash records a crash of a worker's host with the tasks that ran at the worker.
func (s *State) addHostCrash(now time.Time, w *workers.Worker) {
	for host, list := range s.hostCrashes {
		list = slices.DeleteFunc(list, func(c hostCrash) bool { return now.Sub(c.at) >= hostCrashMemory })
		if s.hostCrashes[host] = list; len(list) == 0 {
			delete(s.hostCrashes, host)
		}
	}
	c := hostCrash{at: now}
	for _, r := range w.Runs {
		c.tasks = append(c.tasks, r.Task)
	}
	s.hostCrashes[w.Host] = append(s.hostCrashes[w.Host], c)
}

// hostCrashedWithout reports whether a worker's host crashed recently while a given task did not run there.
func (s *State) hostCrashedWithout(now time.Time, w *workers.Worker, t *jobs.Task) bool {
	return w.Host != "" && slices.ContainsFunc(s.hostCrashes[w.Host], func(c hostCrash) bool {
		return now.Sub(c.at) < hostCrashMemory && !slices.Contains(c.tasks, t)
	})
}

// crashesWithout returns how many recent crashes, on all hosts, happened without a given task.
func (s *State) crashesWithout(now time.Time, t *jobs.Task) int {
	n := 0
	for _, list := range s.hostCrashes {
		for _, c := range list {
			if now.Sub(c.at) < hostCrashMemory && !slices.Contains(c.tasks, t) {
				n++
			}
		}
	}
	return n
}

// workerSilent handles a worker that failed silentAfterFailures polls in a row. Evidence that follows from it is
// recorded at once: if this leader dies before it learns whether the worker crashed, a successor goes on
// from the record.
func (s *State) workerSilent(now time.Time, w *workers.Worker) {
	s.addCrashEvidence(now, w, w.SilentSince, true)
}

// addCrashEvidence adds evidence against the tasks that ran at a worker that crashed, or only went silent, at a given
// time. A worker that left gives none.
func (s *State) addCrashEvidence(now time.Time, w *workers.Worker, at time.Time, silent bool) {
	if s.phase == following || len(w.Runs) == 0 || w.LeftOrderly() {
		return
	}
	simultaneous, isolated := s.simultaneousSilences(silence{worker: w.ID, after: w.AliveAt, before: at})
	ended := poisontask.EndedIncarnation{Worker: w.ID, Host: w.Host, Born: w.Born, Silent: silent, TimedOut: foundByTimeout(w), SimultaneousEnds: simultaneous, OthersIsolated: isolated, Workers: len(s.workers), At: s.wall.Add(-now.Sub(at))}
	for _, r := range w.Runs {
		ended.Runs = append(ended.Runs, poisontask.EndedRun{Run: r.Number, Began: !r.BeganAt.IsZero(), Age: minRunAge(r), AgeMost: maxRunAge(r, at), HostCrashedWithout: s.hostCrashedWithout(now, w, r.Task), CrashesWithout: s.crashesWithout(now, r.Task), Gang: gangOf(r), Isolated: r.Isolated})
	}
	if !silent {
		s.addHostCrash(now, w)
	}
	s.noteCrash(now, w, at, ended)
	if s.unsafe.NoBlame {
		return
	}
	for i, c := range ended.Evidence() {
		if c != nil {
			s.addEvidence(now, w.Runs[i].Task, *c)
		}
	}
}

// gangOf returns the name of the gang that a run belongs to, or "" for none.
func gangOf(r *jobs.Run) string {
	if !r.Task.Unit.Spec.GetGang() {
		return ""
	}
	return r.Task.Unit.Name()
}

// foundByTimeout reports whether the end of a worker's incarnation showed only by a timeout, or by the answer
// of the next incarnation. A broken connection would have shown it at once while a poll waits.
func foundByTimeout(w *workers.Worker) bool {
	return w.SilentSince.IsZero() || w.SilentSince.Sub(w.LastAnswerAt) > idlePollWait+brokenConnectionSlack
}

// addEvidence adds a crash to the evidence against a task and acts on it.
func (s *State) addEvidence(now time.Time, t *jobs.Task, c poisontask.Crash) {
	if t.Done || t.Unit.Job.Ended() || !t.AddCrash(c) {
		return
	}
	s.trackImplicated(t)
	s.trackSilentRun(now, now, t, c)
	s.evidenceChanged(now, t, c)
}

// trackImplicated adds a task to the implicated tasks, those with evidence against them.
func (s *State) trackImplicated(t *jobs.Task) {
	if !slices.Contains(s.implicated, t) {
		s.implicated = append(s.implicated, t)
	}
}

// evidenceChanged acts on new evidence against a task: it has the evidence recorded, logs the suspicion, and awaits the
// verdict on a poisonous task.
func (s *State) evidenceChanged(now time.Time, t *jobs.Task, c poisontask.Crash) {
	j := t.Unit.Job
	level := t.Level()
	s.markDirty(j, true)
	if level >= poisontask.Suspected {
		s.note(Note{
			Kind: NoteSuspected, Job: j.Spec.GetId(), Task: t.Name(), Run: c.Run, Worker: c.Worker, AgeMs: -1,
			Detail: fmt.Sprintf("%s after %d crashes; last run age %s, company of %d runs, worker only silent: %v, external cause likely: %v", level, len(t.Crashes), c.Age.Round(time.Millisecond), c.Company, c.Silent, c.Outside),
		})
	}
	if level == poisontask.Poisonous {
		s.awaitVerdict(now, t)
	}
}

// poisonousReason returns the failure reason of a job with a poisonous task.
func poisonousReason(t *jobs.Task) string {
	var ids []string
	for _, c := range t.Crashes {
		ids = append(ids, c.Worker)
	}
	return fmt.Sprintf("%s crashed %d workers that ran it: %s", t.Name(), len(ids), strings.Join(ids, ", "))
}

// resolveSilentRuns updates the evidence for selected silent runs, as it is now known whether their workers
// crashed: it is confirmed if they did, and withdrawn if they did not.
func (s *State) resolveSilentRuns(now time.Time, crashed bool, match func(silentRun) bool) {
	var resolved []silentRun
	s.silentRuns = slices.DeleteFunc(s.silentRuns, func(r silentRun) bool {
		if match(r) {
			resolved = append(resolved, r)
			return true
		}
		return false
	})
	for _, r := range resolved {
		t := r.task
		if t.Done || t.Unit.Job.Ended() || !t.ResolveSilent(r.worker, r.run, crashed) {
			continue
		}
		s.forwardEvidence(t)
		if crashed {
			s.evidenceChanged(now, t, t.Crashes[len(t.Crashes)-1])
		} else {
			s.markDirty(t.Unit.Job, false)
		}
	}
}

// forwardEvidence sends the present crash evidence against a delegated task to its target cell: it queues the target
// cell's specification again, which holds the evidence. Only the home cell does so.
func (s *State) forwardEvidence(t *jobs.Task) {
	if j := t.Unit.Job; t.DelegatedTo != "" && !j.Delegated() {
		s.pendingDelegations[j] = append(s.pendingDelegations[j], j.Delegate(t.DelegatedTo))
	}
}

// mergeHomeEvidence confirms the evidence of silent workers that have crashed, as the home cell of a delegated job
// reports in a later specification.
func (s *State) mergeHomeEvidence(now time.Time, j *jobs.Job, spec *wire.JobSpec) {
	if j.Ended() {
		return
	}
	for _, t := range j.MergeHomeEvidence(spec) {
		s.silentRuns = slices.DeleteFunc(s.silentRuns, func(r silentRun) bool { return r.task == t && !t.SilentAt(r.worker, r.run) })
		s.evidenceChanged(now, t, t.Crashes[len(t.Crashes)-1])
	}
}

// restoreEvidence restores from a job's record the evidence against its tasks, and the silent runs in it.
func (s *State) restoreEvidence(now time.Time, j *jobs.Job) {
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			for _, c := range t.Crashes {
				s.trackImplicated(t)
				s.trackSilentRun(now, awaitsOutcomeSince(now, t), t, c)
			}
			s.restoreVerdict(now, t)
		}
	}
}

// trackSilentRun tracks a run on a silent worker until it is known whether the worker crashed. A run that is tracked
// already keeps its time: the evidence of all tasks of a job is restored again whenever one of them is returned.
func (s *State) trackSilentRun(now, since time.Time, t *jobs.Task, c poisontask.Crash) {
	tracked := slices.ContainsFunc(s.silentRuns, func(r silentRun) bool { return r.task == t && r.worker == c.Worker && r.run == c.Run })
	if c.Silent && !tracked {
		s.silentRuns = append(s.silentRuns, silentRun{task: t, run: c.Run, worker: c.Worker, host: c.Host, born: c.Born, at: now, since: since})
	}
}

// awaitsOutcomeSince returns since when a task waits for the outcome of silent workers that another leader recorded:
// since the end of its last run if that time is known, else since now.
func awaitsOutcomeSince(now time.Time, t *jobs.Task) time.Time {
	if t.WaitingSince.IsZero() {
		return now
	}
	return t.WaitingSince
}

// expireSilentRuns drops the silent runs that were tracked for silentRunMemory.
func (s *State) expireSilentRuns(now time.Time) {
	s.silentRuns = slices.DeleteFunc(s.silentRuns, func(r silentRun) bool { return now.Sub(r.at) >= silentRunMemory })
}

// awaitsCrashOutcome reports whether a task still waits to learn if a silent worker that ran it crashed. An overdue task
// does not: the worker may never answer again.
func (s *State) awaitsCrashOutcome(now time.Time, t *jobs.Task) bool {
	if overdue(now, t) {
		return false
	}
	maxWait := maxSilentWait
	if t.Unit.Lasting() && !t.PoisonousIfSilentCrashed() {
		maxWait = maxSilentWaitLasting
	}
	return slices.ContainsFunc(s.silentRuns, func(r silentRun) bool { return r.task == t && now.Sub(r.since) < maxWait })
}

// exonerateSuspects exonerates each task with a run that has lasted far longer than any of its runs that
// ended with a worker.
func (s *State) exonerateSuspects() {
	s.implicated = slices.DeleteFunc(s.implicated, func(t *jobs.Task) bool { return len(t.Crashes) == 0 || t.Done || t.Unit.Job.Ended() })
	for _, t := range s.implicated {
		for _, r := range t.Runs {
			w := s.workers[r.Worker]
			if w == nil || w.Ended || !w.SilentSince.IsZero() || r.State != jobs.Running {
				continue
			}
			if poisontask.Exonerates(t.Crashes, minRunAge(r)) {
				s.exonerate(w, r)
			}
		}
	}
}

// endedWithoutCrash handles a run that ended while its worker keeps running. It exonerates the task if the run
// had lasted for long enough.
func (s *State) endedWithoutCrash(w *workers.Worker, t *jobs.Task, r *jobs.Run) {
	t.DropStartRecord()
	if r != nil && !r.BeganAt.IsZero() && len(t.Crashes) > 0 && poisontask.EndExonerates(t.Crashes, minRunAge(r)) {
		s.exonerate(w, r)
	}
}

// exonerate drops all evidence against a run's task.
func (s *State) exonerate(w *workers.Worker, r *jobs.Run) {
	t := r.Task
	if t.Suspected() {
		s.note(Note{Kind: NoteCleared, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Run: r.Number, Worker: w.ID, AgeMs: -1, Detail: fmt.Sprintf("exonerated: ran for %s after %d crashes", minRunAge(r).Round(time.Millisecond), len(t.Crashes))})
	}
	t.Exonerate()
	r.Isolated = false
	s.markDirty(t.Unit.Job, false)
	s.placementDue = true
}

// noteCrash logs the end or silence of an incarnation: its runs with their ages, and how many workers went
// silent at the same time.
func (s *State) noteCrash(now time.Time, w *workers.Worker, at time.Time, ended poisontask.EndedIncarnation) {
	var runs []string
	for _, r := range w.Runs {
		if len(runs) == maxLoggedRuns {
			runs = append(runs, fmt.Sprintf("and %d more", len(w.Runs)-maxLoggedRuns))
			break
		}
		runs = append(runs, fmt.Sprintf("%s run %d for %s", r.Task.Name(), r.Number, minRunAge(r).Round(time.Millisecond)))
	}
	s.note(Note{
		Kind: NoteWorkerCrashed, Worker: w.ID, AgeMs: now.Sub(at).Milliseconds(),
		Detail: fmt.Sprintf("only silent: %v; %d of %d workers went silent at the same time; runs: %s", ended.Silent, ended.SimultaneousEnds, ended.Workers, strings.Join(runs, ", ")),
	})
}

// minRunAge returns the least time that a run has lasted: until the last answer that lists it, by the worker's own clock.
// The leader may have been paused between that answer and the time at which it took it.
func minRunAge(r *jobs.Run) time.Duration {
	return workers.MinElapsed(r.BeganClock, max(r.BeganClock, r.ListedClock))
}

// maxRunAge returns the most that a run can have lasted if its worker's incarnation had ended at a given time, or 0 if
// that is not known.
func maxRunAge(r *jobs.Run, at time.Time) time.Duration {
	if r.Adopted {
		return 0
	}
	return max(time.Millisecond, at.Sub(r.SentAt))
}
