package cell

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

const (
	// lease is how long a worker holds what runs without renewal. It outlasts
	// the death of all hosts at once (1.4 s on the platform's sites, and about
	// a second until the first look after it), and is what a worker that
	// crashed costs its tasks at most.
	lease = 3500 * time.Millisecond
	// lookWait is how long a look waits for an end. It is the pace of readings
	// (workers renew them every half second) and of renewals.
	lookWait = 500 * time.Millisecond
	// idleWait is the same where nothing runs.
	idleWait = time.Second
	// lookAgain is the pause after a look that failed.
	lookAgain = 200 * time.Millisecond
	// ackPause is how long a look that brought ends is followed by none, while
	// they are not recorded: their worker would list them again at once.
	ackPause = 150 * time.Millisecond
	// heardWithin is how fresh a worker's last answer must be for new work.
	heardWithin = idleWait + time.Second
	// unlistedFor is how long a worker that no list names, that does not answer
	// and whose lease is over is kept in mind. A successor has to wait for each
	// worker that the leadership row names.
	unlistedFor = time.Second
	// LongestLease bounds what any leader grants.
	LongestLease = lease + leaseSlack
	// leaseSlack covers a forerunner's grant that was counted from a fresher
	// reading of the worker's clock than our first one.
	leaseSlack = 500 * time.Millisecond
)

// leaseSpan is the lease to ask for, within what the deployment allows.
func (s *State) leaseSpan() time.Duration {
	if s.bounds.MaxLease > 0 {
		return min(lease, s.bounds.MaxLease)
	}
	return lease
}

// takeListed takes in the list of workers. One that it no longer names may
// still run what it was given.
func (s *State) takeListed(now time.Time, e WorkersListed) {
	s.listed = true
	named := map[string]bool{}
	hosts := map[string]string{}
	for _, r := range e.Records {
		named[r.ID] = true
		hosts[r.Host] = r.ID
		w := s.workers[r.ID]
		if w == nil {
			w = workers.New(r)
			s.workers[r.ID] = w
			s.reorder = true
			s.noteIfHeld(Note{What: NoteWorkerNew, Worker: r.ID, Detail: fmt.Sprintf("%s at %s, %+v", r.Service, r.Address, r.Capacity), AgeMs: -1})
		}
		s.takeRecord(now, w, r)
	}
	for _, w := range s.sorted() {
		id := w.ID
		if named[id] {
			continue
		}
		if w.Listed {
			w.Listed, w.UnlistedAt = false, now
			s.placeNow = true
		}
		if next := hosts[w.Host]; w.Host != "" && next != "" && next != id {
			s.workerGone(now, w, "its host runs "+next)
		}
	}
}

func (s *State) takeRecord(now time.Time, w *workers.Worker, r workers.Record) {
	if r.Leaving && !w.Leaving {
		w.LeavingAt = now
		s.noteIfHeld(Note{What: NoteWorkerLeaves, Worker: r.ID, Detail: r.Remaining.String(), AgeMs: -1})
	}
	if r.Ready != w.Ready || r.Leaving != w.Leaving || !w.Listed {
		s.placeNow = true
	}
	leaving := w.Leaving
	w.Record = r
	w.Leaving = leaving || r.Leaving // a life that leaves never comes back
	w.Listed = true
}

// ------------------------------------------------------------------ looks

// look sends the looks that are due.
func (s *State) look(now time.Time) {
	for _, w := range s.sorted() {
		if w.Gone || w.Looking || now.Before(w.LookAt) || w.Address == "" {
			continue
		}
		s.sendLook(now, w)
	}
}

func (s *State) sendLook(now time.Time, w *workers.Worker) {
	s.acknowledge(w)
	l := workers.Look{Fence: s.epoch, Recorded: w.Recorded}
	if w.Clocked() && w.SilentSince.IsZero() {
		// A silent worker gets no renewal, so that its lease runs out for sure.
		l.Until = w.Grant(now, s.leaseSpan())
		l.Wait = idleWait
		if len(w.Runs) > 0 {
			l.Wait = lookWait
		}
		if s.phase != leading || !w.Heard {
			l.Wait = 0
		}
	}
	w.Looking, w.LookSentAt = true, now
	s.emit(SendLook{To: target(w), Look: l})
}

func (s *State) takeLooked(now time.Time, e Looked) {
	w := s.workers[e.Worker]
	if w == nil || !e.SentAt.Equal(w.LookSentAt) || !w.Looking {
		return
	}
	w.Looking = false
	switch {
	case e.Err != nil:
		s.lookFailed(now, w, e.Err.Error())
		return
	case e.Refusal == workers.RefusedFence:
		s.emit(StepDown{Why: "worker " + w.ID + " knows a higher epoch"})
		w.LookAt = now.Add(lookAgain)
		return
	case e.Refusal == workers.RefusedLife:
		s.workerGone(now, w, "another life answers at its address")
		return
	case e.Refusal != workers.RefusedNot:
		s.lookFailed(now, w, string(e.Refusal))
		return
	}
	s.heard(now, w, e.Report.Clock)
	if s.phase == loading || s.phase == following {
		// Before the jobs are loaded, nothing can be said of the lists.
		w.Heard = false
		w.LookAt = now.Add(lookAgain / 4)
		return
	}
	before := w.Seen
	for _, end := range e.Report.Ended {
		s.takeEnd(now, w, end)
	}
	s.takeActive(now, w, e)
	s.learnPress(now, w)
	switch {
	case s.phase == releasing:
		w.LookAt = now.Add(lookAgain)
	case w.Seen > before || len(e.Report.Ended) > 0:
		w.LookAt = now.Add(ackPause) // takeRecorded brings it forward
	default:
		w.LookAt = now
	}
}

// heard takes in that a worker has answered.
func (s *State) heard(now time.Time, w *workers.Worker, clock time.Duration) {
	w.TakeClock(now, clock)
	w.AnsweredAt = now
	if !w.Heard {
		w.Heard = true
		w.Grant(now, s.leaseSpan()+leaseSlack)
		s.placeNow = true
	}
	if !w.SilentSince.IsZero() {
		s.note(Note{What: NoteWorkerHeard, Worker: w.ID, AgeMs: now.Sub(w.SilentSince).Milliseconds()})
		w.SilentSince = time.Time{}
		s.placeNow = true
	}
}

func (s *State) lookFailed(now time.Time, w *workers.Worker, why string) {
	if w.SilentSince.IsZero() {
		w.SilentSince = now
		s.note(Note{What: NoteWorkerSilent, Worker: w.ID, Detail: why, AgeMs: now.Sub(w.AnsweredAt).Milliseconds()})
	}
	w.LookAt = now.Add(lookAgain)
}

// acknowledge moves up to which end the worker may forget.
func (s *State) acknowledge(w *workers.Worker) {
	if s.unsafe.NoRecorded {
		w.Recorded = w.Seen
		return
	}
	w.Recorded = s.recordedEnd(w)
}

// takeActive compares what the worker lists with what is believed to run there.
func (s *State) takeActive(now time.Time, w *workers.Worker, e Looked) {
	listed := map[*jobs.Run]bool{}
	foreign := ledger.Size{}
	for _, a := range e.Report.Active {
		r := s.matchActive(now, w, a)
		if r == nil {
			if t := s.task(a.Task); t != nil {
				foreign = foreign.Plus(workers.Reserved(t.Unit))
			}
			s.stopForeign(w, a)
			continue
		}
		listed[r] = true
		s.takeReading(now, w, r, a)
	}
	w.SetForeign(foreign)
	for _, r := range w.Runs {
		if listed[r] {
			continue
		}
		switch {
		case r.State == jobs.Sent:
			// The order may still be on its way.
		case r.State == jobs.Unsure:
			// By the clock in this very answer, not by what the clock must show
			// now: the answer may have waited here, and the order come meanwhile.
			if workers.Passed(e.Report.Clock, r.ValidUntil) {
				s.loseRun(now, w, r, "never begun, and its order is too old now")
			}
		case r.AckedAt.Before(e.SentAt):
			s.loseRun(now, w, r, "no longer listed by its worker")
		}
	}
}

// matchActive finds the run that a line of the list is about. A run of an
// earlier leader is taken over.
func (s *State) matchActive(now time.Time, w *workers.Worker, a workers.Active) *jobs.Run {
	t := s.task(a.Task)
	if t == nil {
		return nil
	}
	if r := t.Run(a.Run, w.ID); r != nil {
		if r.State == jobs.Sent || r.State == jobs.Unsure {
			s.began(now, r)
		}
		return r
	}
	if t.Done || t.Unit.Job.Ended() || !mayAdopt(t) {
		return nil
	}
	r := &jobs.Run{
		Task: t, Number: a.Run, Worker: w.ID, State: jobs.Running, SentAt: now, AckedAt: now,
		BeganAt: now, ProgressAt: now, Percent: a.Percent, Pace: 100, PaceWanted: 100,
	}
	t.Runs = append(t.Runs, r)
	w.Add(r)
	s.began(now, r)
	s.note(Note{What: NoteAdopted, Job: t.Unit.Job.Spec.GetId(), Task: a.Task, Run: a.Run, Worker: w.ID, AgeMs: -1})
	s.touch(t.Unit.Job)
	return r
}

// mayAdopt says whether a run that a worker lists may go on: not beside
// another run of its task, unless copies may.
func mayAdopt(t *jobs.Task) bool { return len(t.Runs) == 0 || t.Unit.Spec.GetCopies() }

func (s *State) began(now time.Time, r *jobs.Run) {
	r.State = jobs.Running
	if r.AckedAt.IsZero() {
		r.AckedAt = now
	}
	if r.BeganAt.IsZero() {
		r.BeganAt, r.ProgressAt = now, now
	}
	j := r.Task.Unit.Job
	if !j.Begun {
		j.Begun = true
	}
}

// stopForeign asks for the end of a run that belongs to no job of this cell.
func (s *State) stopForeign(w *workers.Worker, a workers.Active) {
	s.note(Note{What: NoteStop, Task: a.Task, Run: a.Run, Worker: w.ID, Detail: "no task of this cell may run so", AgeMs: -1})
	s.emit(SendStop{To: target(w), Stop: workers.Stop{Fence: s.epoch, Task: a.Task, Run: a.Run}})
}

// task finds a task by its name at workers.
func (s *State) task(name string) *jobs.Task {
	id, ok := jobs.ParseTask(name)
	if !ok {
		return nil
	}
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.Task(id.Time, id.Step, id.Index)
}

func (s *State) takeReading(now time.Time, w *workers.Worker, r *jobs.Run, a workers.Active) {
	if a.Percent != r.Percent {
		if a.Percent > r.Percent && (w.Health.Moved() || (r.Task.Unit.Lasting() && a.Percent >= 100 && w.Health.Worked())) {
			s.note(Note{What: NoteWorkerBack, Worker: w.ID, Detail: "a run moves on", AgeMs: -1})
		}
		r.Percent, r.ProgressAt = a.Percent, now
	}
	if a.Checkpoint != "" {
		r.Task.Checkpoint = a.Checkpoint
	}
	if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
		r.Tail = time.Duration(a.Reading) * time.Millisecond
	} else {
		r.UsedMillicores = a.Reading
	}
}

// workerGone says that a worker's life is over. What ran there is taken for
// lost when that is confirmed (buryGone).
func (s *State) workerGone(now time.Time, w *workers.Worker, why string) {
	if w.Gone {
		return
	}
	w.Gone, w.GoneAt, w.GoneWhy = true, now, why
	s.noteIfHeld(Note{What: NoteWorkerGone, Worker: w.ID, Detail: why, AgeMs: -1})
	s.scanNow = true
}

// buryGone drops the workers whose lives are over, and takes for lost what ran
// there, once this process is known to have led the cell after that: a later
// leader may have heard of a good end before.
func (s *State) buryGone(now time.Time) {
	for _, w := range s.sorted() {
		if !w.Gone || s.confirmed(now).Before(w.GoneAt) {
			continue
		}
		for _, r := range w.Runs {
			s.loseRun(now, w, r, w.GoneWhy)
		}
		delete(s.workers, w.ID)
		s.reorder = true
		s.placeNow = true
	}
}

// confirmed is when this process surely led the cell last.
func (s *State) confirmed(now time.Time) time.Time {
	if s.unsafe.NoConfirmation {
		return now
	}
	return s.confirmedAt
}

// loseRun takes a run for over whose end will not be seen.
func (s *State) loseRun(now time.Time, w *workers.Worker, r *jobs.Run, why string) {
	t := r.Task
	w.Remove(r)
	t.Drop(r)
	t.WaitsSince = now
	s.note(Note{
		What: NoteLost, Job: t.Unit.Job.Spec.GetId(), Task: t.Name(), Run: r.Number, Worker: w.ID, Detail: why,
		AgeMs: now.Sub(r.SentAt).Milliseconds(),
	})
	s.touch(t.Unit.Job)
}

// checkRuns sees to workers that are silent, to orders without an answer, and
// to runs that stand still.
func (s *State) checkRuns(now time.Time) {
	for _, w := range s.sorted() {
		if w.Gone {
			continue
		}
		if !w.SilentSince.IsZero() {
			s.checkSilent(now, w)
			continue
		}
		for _, r := range w.Runs {
			s.checkRun(now, w, r)
		}
	}
}

func (s *State) checkSilent(now time.Time, w *workers.Worker) {
	over := w.LeaseOver(s.confirmed(now)) || s.unsafe.NoLeaseWait
	if over {
		for _, r := range w.Runs {
			s.loseRun(now, w, r, "its worker's lease is over")
		}
	}
	if !w.Listed && now.Sub(w.UnlistedAt) > unlistedFor && len(w.Runs) == 0 && (over || now.After(s.settleBy)) {
		s.workerGone(now, w, "not listed and silent")
	}
}

const (
	// stillFor is how long a run may show no progress: 1% of the longest known
	// tasks, at a sixth of their speed, is below half a second.
	stillFor = 1500 * time.Millisecond
	// stillForFiller is the same for fillers, which wait for what others leave.
	stillForFiller = 4 * time.Second
)

func (s *State) checkRun(now time.Time, w *workers.Worker, r *jobs.Run) {
	if r.State != jobs.Running || r.Percent >= 100 {
		return
	}
	limit := stillFor
	if r.Task.Unit.Spec.GetFiller() {
		limit = stillForFiller
	}
	if r.Pace < 100 || r.PaceWanted < 100 || now.Sub(r.PacedAt) < limit {
		return
	}
	if now.Sub(r.ProgressAt) < limit || now.Sub(r.BeganAt) < limit {
		return
	}
	w.Health.StoodStill(now)
	s.noteAside(w)
	s.stop(now, w, r, "stands still")
}

func (s *State) noteAside(w *workers.Worker) {
	why, _ := w.Health.IsAside()
	s.note(Note{What: NoteWorkerAside, Worker: w.ID, Detail: why, AgeMs: -1})
}
