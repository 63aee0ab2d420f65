package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/blame"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Lives of workers that end by themselves, and what that says of the tasks that ran there. What it
// says is decided in the package blame; trials.go keeps suspects where one more crash names them.
// What is held against a task stands in the record of its job, so it outlasts this leader. A worker
// that left, or had left the list, before it fell silent accuses nobody. One that falls
// silent has crashed or is cut off: what that says is taken back if the same life answers again.

const (
	// oneMoment is how far apart lives may end that have one cause outside.
	oneMoment = 300 * time.Millisecond
	// fellKept bounds the memory of when workers fell silent.
	fellKept = 10 * time.Second
	// crashRunsTold bounds the runs that a line of the log names.
	crashRunsTold = 6
	// failuresSilent is how many looks in a row have to fail for a worker to count as silent here:
	// one may be a connection that broke, and costs a record each of the jobs that run there.
	failuresSilent = 2
	// darkSlack is more than a broken connection takes to be noticed, and less than lookSlack.
	darkSlack = 60 * time.Millisecond
	// hostKept is how long a crash of a host speaks for a fault of its own, should it crash again.
	hostKept = 15 * time.Second
	// silentKept is how long a worker that fell silent may still turn out to have crashed: workers
	// are back after some seconds.
	silentKept = 30 * time.Second
	// silentHolds is how long a task that would be tried next waits to learn whether the worker
	// that fell silent under it has crashed.
	silentHolds = 10 * time.Second
	// silentHoldsLasting is the same for a lasting task, which is late soon, unless it would be given up.
	silentHoldsLasting = 3 * time.Second
)

// silentRun is a run whose worker fell silent: whether it crashed is not known yet.
type silentRun struct {
	task         *jobs.Task
	run          int64
	worker, host string
	born         int64
	// at is when that came to be known here, since from when on its task waits for word of it.
	at, since time.Time
}

// fall is when a worker fell silent, or was found to have begun anew: after its last answer, and
// before that showed; and whether a trial was on there.
type fall struct {
	worker        string
	after, before time.Time
	tried         bool
}

// fell remembers that a worker fell silent.
func (s *State) fell(now time.Time, w *workers.Worker, at time.Time) {
	s.falls = slices.DeleteFunc(s.falls, func(f fall) bool { return now.Sub(f.before) >= fellKept })
	s.falls = append(s.falls, fall{w.ID, w.AnsweredAt, at, slices.ContainsFunc(w.Runs, func(r *jobs.Run) bool { return r.OnTrial })})
}

// fellWith is how many workers may have fallen silent in the same moment as one, it included, and at how many of
// the others a trial was on.
func (s *State) fellWith(w *workers.Worker, at time.Time) (all, tried int) {
	for _, f := range s.falls {
		if !f.after.Before(at.Add(oneMoment)) || !f.before.After(w.AnsweredAt.Add(-oneMoment)) {
			continue
		}
		all++
		if f.tried && f.worker != w.ID {
			tried++
		}
	}
	return max(1, all), min(tried, max(0, all-1))
}

// crashed takes in that a life is over that did not end by a stop or a leave.
func (s *State) crashed(now time.Time, w *workers.Worker) {
	s.resolveSilent(now, true, func(r silentRun) bool { return r.worker == w.ID && r.born == w.Born })
	at := w.EndedAt(now)
	if w.SilentSince.IsZero() {
		s.fell(now, w, at)
	}
	s.accuse(now, w, at, false)
	s.keepLife(w, w.Born)
}

// hostCrash is a crash of a host, with the tasks that ran there.
type hostCrash struct {
	at    time.Time
	tasks []*jobs.Task
}

// hostCrashed remembers what ran at a host that crashed.
func (s *State) hostCrashed(now time.Time, w *workers.Worker) {
	for host, list := range s.hostCrashes {
		list = slices.DeleteFunc(list, func(c hostCrash) bool { return now.Sub(c.at) >= hostKept })
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

// hostFails says whether a worker's host has crashed lately without a task.
func (s *State) hostFails(now time.Time, w *workers.Worker, t *jobs.Task) bool {
	return w.Host != "" && slices.ContainsFunc(s.hostCrashes[w.Host], func(c hostCrash) bool {
		return now.Sub(c.at) < hostKept && !slices.Contains(c.tasks, t)
	})
}

// crashesWithout is how many lives have ended lately without a task.
func (s *State) crashesWithout(now time.Time, t *jobs.Task) int {
	n := 0
	for _, list := range s.hostCrashes {
		for _, c := range list {
			if now.Sub(c.at) < hostKept && !slices.Contains(c.tasks, t) {
				n++
			}
		}
	}
	return n
}

// fellSilent takes in that a worker does not answer. That is recorded at once, as far as it may be
// held against tasks: a leader that dies before it learns more leaves that to its successor.
func (s *State) fellSilent(now time.Time, w *workers.Worker) {
	s.accuse(now, w, w.SilentSince, true)
}

func (s *State) accuse(now time.Time, w *workers.Worker, at time.Time, silent bool) {
	if s.phase == following || len(w.Runs) == 0 || w.Left() {
		return
	}
	lives, tried := s.fellWith(w, at)
	life := blame.Life{Worker: w.ID, Host: w.Host, Born: w.Born, Silent: silent, Dark: fellDark(w), Lives: lives, Tried: tried, Workers: len(s.workers), At: s.wall.Add(-now.Sub(at))}
	for _, r := range w.Runs {
		life.Runs = append(life.Runs, blame.Seen{Run: r.Number, Began: !r.BeganAt.IsZero(), Age: ranFor(w, r), HostFails: s.hostFails(now, w, r.Task), Elsewhere: s.crashesWithout(now, r.Task), Gang: gangOf(r), Trial: r.OnTrial})
	}
	if !silent {
		s.hostCrashed(now, w)
	}
	s.noteCrash(now, w, at, life)
	if s.unsafe.NoBlame {
		return
	}
	for i, c := range life.Accuse() {
		if c != nil {
			s.hold(now, w.Runs[i].Task, *c)
		}
	}
}

// gangOf names the gang that a run is of.
func gangOf(r *jobs.Run) string {
	if !r.Task.Unit.Spec.GetGang() {
		return ""
	}
	return r.Task.Unit.Name()
}

// fellDark says whether no broken connection showed that a worker's life had ended, as it does at once
// while a look waits, but a time-out, or the next life's answer.
func fellDark(w *workers.Worker) bool {
	return w.SilentSince.IsZero() || w.SilentSince.Sub(w.AnsweredAt) > idleWait+darkSlack
}

// hold holds a crash against a task.
func (s *State) hold(now time.Time, t *jobs.Task, c blame.Crash) {
	if t.Done || t.Unit.Job.Ended() || !t.Accuse(c) {
		return
	}
	s.remember(t)
	s.watchSilent(now, now, t, c)
	s.suspected(now, t, c)
}

// trialNowhere holds against a task that a forerunner may have tried it and no worker lists a run. It says
// whether that is so.
func (s *State) trialNowhere(now time.Time, t *jobs.Task) bool {
	if t.LentTo != "" || !t.TrialNowhere(s.wall) {
		return false
	}
	s.remember(t)
	s.suspected(now, t, t.Crashes[len(t.Crashes)-1])
	return true
}

// remember keeps a task among those against which anything is held.
func (s *State) remember(t *jobs.Task) {
	if !slices.Contains(s.accused, t) {
		s.accused = append(s.accused, t)
	}
}

// suspected acts on what is held against a task since a moment ago.
func (s *State) suspected(now time.Time, t *jobs.Task, c blame.Crash) {
	j := t.Unit.Job
	level := t.Level()
	if level == blame.Suspect {
		t.Trial = jobs.TrialWanted // it is started again soon, and not held back for the record
	}
	s.markDirty(j, true)
	if level >= blame.Suspect {
		s.note(Note{
			What: NoteSuspected, Job: j.Spec.GetId(), Task: t.Name(), Run: c.Run, Worker: c.Worker, AgeMs: -1,
			Detail: fmt.Sprintf("%s after %d crashes; this run for %s, beside %d that had not been there for far longer, silent %v, outside %v", level, len(t.Crashes), c.Age.Round(time.Millisecond), c.Company, c.Silent, c.Outside),
		})
	}
	if level == blame.Guilty {
		s.endJob(now, j, wire.JobPhase_JOB_PHASE_FAILED, guiltyReason(t))
	}
}

// guiltyReason is why a job is given up whose task crashes workers.
func guiltyReason(t *jobs.Task) string {
	var where []string
	for _, c := range t.Crashes {
		where = append(where, c.Worker)
	}
	return fmt.Sprintf("%s crashed %d workers that ran it: %s", t.Name(), len(where), strings.Join(where, ", "))
}

// resolveSilent takes in whether workers that had fallen silent under runs have crashed.
func (s *State) resolveSilent(now time.Time, crashed bool, which func(silentRun) bool) {
	var resolved []silentRun
	s.silent = slices.DeleteFunc(s.silent, func(r silentRun) bool {
		if which(r) {
			resolved = append(resolved, r)
			return true
		}
		return false
	})
	for _, r := range resolved {
		t := r.task
		if t.Done || t.Unit.Job.Ended() || !t.Resolve(r.worker, r.run, crashed) {
			continue
		}
		s.passOn(t)
		if crashed {
			s.suspected(now, t, t.Crashes[len(t.Crashes)-1])
		} else {
			s.markDirty(t.Unit.Job, false)
		}
	}
}

// passOn has the cell that a task is delegated to learn what is held against it by now.
func (s *State) passOn(t *jobs.Task) {
	if j := t.Unit.Job; t.LentTo != "" && !j.Guest() {
		s.lent[j] = append(s.lent[j], j.Lend(t.LentTo))
	}
}

// learnOfCrashes takes in what the home of a delegated job has learned of silent workers.
func (s *State) learnOfCrashes(now time.Time, j *jobs.Job, spec *wire.JobSpec) {
	if j.Ended() {
		return
	}
	for _, t := range j.LearnOfCrashes(spec) {
		s.silent = slices.DeleteFunc(s.silent, func(r silentRun) bool { return r.task == t && !t.SilentAt(r.worker, r.run) })
		s.suspected(now, t, t.Crashes[len(t.Crashes)-1])
	}
}

// recall takes over from the record what is held against a job's tasks, and which workers had fallen
// silent under their runs.
func (s *State) recall(now time.Time, j *jobs.Job) {
	for _, u := range j.Units {
		for _, t := range u.Tasks {
			for _, c := range t.Crashes {
				s.remember(t)
				s.watchSilent(now, recalledSince(now, t), t, c)
			}
		}
	}
}

// watchSilent keeps a run whose worker fell silent until it is known whether that has crashed.
func (s *State) watchSilent(now, since time.Time, t *jobs.Task, c blame.Crash) {
	if c.Silent {
		s.silent = append(s.silent, silentRun{task: t, run: c.Run, worker: c.Worker, host: c.Host, born: c.Born, at: now, since: since})
	}
}

// recalledSince is from when on a task waits for word of silent workers that another leader recorded: from the end of
// its last run, where the wait came with the task.
func recalledSince(now time.Time, t *jobs.Task) time.Time {
	if t.WaitsSince.IsZero() {
		return now
	}
	return t.WaitsSince
}

// forgetSilent drops runs of silent workers that nothing more is to be learned of.
func (s *State) forgetSilent(now time.Time) {
	s.silent = slices.DeleteFunc(s.silent, func(r silentRun) bool { return now.Sub(r.at) >= silentKept })
}

// awaitsWord says whether it is about to be known if a worker that fell silent under a task crashed.
func (s *State) awaitsWord(now time.Time, t *jobs.Task) bool {
	holds := silentHolds
	if t.Unit.Lasting() && !t.GuiltyIfSilentCrashed() {
		holds = silentHoldsLasting
	}
	return slices.ContainsFunc(s.silent, func(r silentRun) bool { return r.task == t && now.Sub(r.since) < holds })
}

// clearSuspects clears tasks whose runs have run for far longer than any that ended with its worker.
func (s *State) clearSuspects() {
	s.accused = slices.DeleteFunc(s.accused, func(t *jobs.Task) bool { return len(t.Crashes) == 0 || t.Done || t.Unit.Job.Ended() })
	for _, t := range s.accused {
		for _, r := range t.Runs {
			w := s.workers[r.Worker]
			if w == nil || w.Gone || !w.SilentSince.IsZero() || r.State != jobs.Running {
				continue
			}
			if blame.Outlived(t.Crashes, ranFor(w, r)) {
				s.clearSuspect(w, r)
			}
		}
	}
}

// endedWithoutCrash takes in that a run ended and its worker lives on.
func (s *State) endedWithoutCrash(w *workers.Worker, t *jobs.Task, r *jobs.Run) {
	t.Trial = jobs.NoTrial // if it was tried, that is over
	if r != nil && !r.BeganAt.IsZero() && len(t.Crashes) > 0 && blame.EndedWell(t.Crashes, ranFor(w, r)) {
		s.clearSuspect(w, r)
	}
}

// clearSuspect takes all suspicion off a run's task.
func (s *State) clearSuspect(w *workers.Worker, r *jobs.Run) {
	t := r.Task
	if t.Suspected() {
		s.note(Note{What: NoteCleared, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Run: r.Number, Worker: w.ID, AgeMs: -1, Detail: fmt.Sprintf("ran for %s; %d crashes were held against it", ranFor(w, r).Round(time.Millisecond), len(t.Crashes))})
	}
	t.Clear()
	r.OnTrial = false
	s.markDirty(t.Unit.Job, false)
	s.placeNow = true
}

// noteCrash tells of a life that is over what ran there, for how long, and how many others
// fell silent in that moment.
func (s *State) noteCrash(now time.Time, w *workers.Worker, at time.Time, life blame.Life) {
	var told []string
	for _, r := range w.Runs {
		if len(told) == crashRunsTold {
			told = append(told, fmt.Sprintf("and %d more", len(w.Runs)-crashRunsTold))
			break
		}
		told = append(told, fmt.Sprintf("%s run %d for %s", r.Task.Name(), r.Number, ranFor(w, r).Round(time.Millisecond)))
	}
	s.note(Note{
		What: NoteWorkerCrashed, Worker: w.ID, AgeMs: now.Sub(at).Milliseconds(),
		Detail: fmt.Sprintf("silent %v; %d of %d workers fell silent in that moment; there ran %s", life.Silent, life.Lives, life.Workers, strings.Join(told, ", ")),
	})
}

// ranFor is how long a run has run, at least: when its worker's life ended, that may have been
// right after its last answer.
func ranFor(w *workers.Worker, r *jobs.Run) time.Duration {
	if r.BeganAt.IsZero() {
		return 0
	}
	return max(0, w.AnsweredAt.Sub(r.BeganAt))
}
