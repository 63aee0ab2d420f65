// Package workers keeps what a cell's leader knows of each worker: which
// life of it answers, how its clock stands, until when it holds what runs on it,
// what that is, what room is left, and whether it can be trusted.
//
// A worker lists what runs and what has ended until it is told that an end is
// recorded, so its lists are the log of starts. It ends everything by itself
// when its lease is over, by its own clock. Nothing here makes calls; times are
// arguments.
package workers

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Record is what the list of workers says of one life of a worker.
type Record struct {
	// ID names the worker. It may start again under the same ID, at another address too.
	ID string
	// Born is when its life began, as the worker says, in Unix ms; it tells lives apart and is
	// compared with nothing else, since clocks are set. 0: it does not say.
	Born     int64
	Host     string
	Service  string
	Address  string
	Hall     string
	Kind     string
	Rack     string
	Labels   []string
	Capacity ledger.Size
	Ready    bool
	// Leaving says that it takes no new work; Remaining is how long it will at
	// least still serve.
	Leaving   bool
	Remaining time.Duration
	Version   int64
}

// HasLabel says whether the worker carries a label; none is always carried.
func (r Record) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

const (
	// maxClockDrift is how much faster or slower a worker's clock may run than
	// ours (2% as its makers say; 1% more for our own).
	maxClockDrift = 0.03
	// clockRounding covers rounding to milliseconds on both sides.
	clockRounding = 20 * time.Millisecond
)

// OrphanedRun is a listed run of a task that is not known, and since when it is listed.
type OrphanedRun struct {
	Active
	Since time.Time
}

// OrphanedEnd is an end of such a task, and when it was listed first.
type OrphanedEnd struct {
	End
	At time.Time
}

// Worker is one life of a worker, as its cell's leader knows it; see lives.go.
type Worker struct {
	Record
	// KnownAt is when this leader first came to know of this life.
	KnownAt time.Time
	// UsableFrom is since when this leader must be known to have led, for new work to go there;
	// zero: any time.
	UsableFrom time.Time
	// Listed says that the list of workers still holds it.
	Listed     bool
	UnlistedAt time.Time
	// RowGoneAt is when the list last stopped holding any row under its id; zero: it holds one.
	RowGoneAt time.Time
	// LeavingAt is when it was first seen to be leaving.
	LeavingAt time.Time
	// Runs are those that may be running there.
	Runs []*jobs.Run
	// HasAnswered says that it has answered since this leader came to lead.
	HasAnswered bool
	// FirstAnswerAt is since when.
	FirstAnswerAt time.Time
	// LastAnswerAt is when its last answer came, SilentSince when calls began to
	// fail; zero while they don't.
	LastAnswerAt time.Time
	SilentSince  time.Time
	// Failures is how many looks in a row have failed.
	Failures int
	// PollSentAt is when the last look was sent; Looking while it is out.
	PollSentAt      time.Time
	PollOutstanding bool
	NextPollAt      time.Time
	// LastEnd is the newest end that was taken in, and Recorded the newest that is
	// durable.
	LastEnd, LastRecordedEnd int64
	Health                   Health
	// OrphanedRuns are the runs that it last listed of tasks that are not known, by task; NewStrays
	// those of the list that is being taken in. HeldEnds are ends of such tasks.
	OrphanedRuns, NewOrphanedRuns map[string]OrphanedRun
	OrphanedEnds                  []OrphanedEnd
	// DroppedFromMembership says that the cell's membership no longer names this incarnation: it takes no new work
	// and holds nothing.
	DroppedFromMembership bool
	// RunsKnown says that no more runs are ordered there, and that MayRun names each task that may have a run there or
	// an end that is not recorded, as of this leader or the ones before.
	RunsKnown bool
	MayRun    []string
	// UnreadableLines is how many lines of its last lists could not be read.
	UnreadableLines int
	// NoFillersUntil is until when no filler may join: those that are there have
	// just been cut.
	NoFillersUntil time.Time
	// PacedAt is the answer after which the shares of its fillers were decided.
	PacedAt time.Time
	// Gone says that this life is surely over, since when and why.
	Gone    bool
	GoneAt  time.Time
	GoneWhy string

	// otherRow is the newest row under this ID that is of another life, first seen at nextAt;
	// oldRow is the life of such a row that turned out to be an old one.
	otherRow     *Record
	otherRowAt   time.Time
	outdatedBorn int64

	clock        time.Duration
	clockAt      time.Time
	leaseUntil   time.Duration
	leaseGranted bool
	foreignSize  ledger.Size
	// What Add and Remove keep: the room taken, the processors asked for, how
	// many serve and fill, and how many there are of each unit.
	reserved, lastingReserved             ledger.Size
	requestedMillicores, fillerMillicores int64
	latencyTasks, fillerTasks             int64
	tasksByUnit                           map[*jobs.Unit]int64
}

// New returns a worker that has not been heard yet.
func New(r Record) *Worker {
	return &Worker{Record: r, Listed: true, tasksByUnit: map[*jobs.Unit]int64{}}
}

// TakeClock takes in a reading of the worker's clock that came in an answer.
// The clock stood there or later when the answer arrived.
func (w *Worker) TakeClock(now time.Time, clock time.Duration) {
	if clock > w.ClockAtLeast(now) || w.clockAt.IsZero() {
		w.clock, w.clockAt = clock, now
	}
}

// Clocked says whether the worker's clock is known at all.
func (w *Worker) Clocked() bool { return !w.clockAt.IsZero() }

// ClockAtLeast is the least that the worker's clock can show now.
func (w *Worker) ClockAtLeast(now time.Time) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-maxClockDrift))
}

// Grant returns the moment, by the worker's clock, until which it is to hold
// what runs on it, and remembers the longest that was ever granted.
func (w *Worker) Grant(now time.Time, span time.Duration) time.Duration {
	until := w.ClockAtLeast(now) + span
	w.leaseUntil = max(w.leaseUntil, until)
	w.leaseGranted = true
	return until
}

// LeaseOver says whether the worker has surely ended everything by itself, if
// nobody but this leader has granted it time since.
func (w *Worker) LeaseOver(now time.Time) bool {
	if !w.Clocked() || !w.leaseGranted || now.Before(w.clockAt) {
		return false
	}
	return w.ClockAtLeast(now) > w.leaseUntil+clockRounding
}

// LeaseLeft is how long the worker may go on at most by what this process has granted it.
func (w *Worker) LeaseLeft(now time.Time) time.Duration {
	if !w.Clocked() || !w.leaseGranted {
		return 0
	}
	left := w.leaseUntil + clockRounding - w.ClockAtLeast(now)
	return max(0, time.Duration(float64(left)/(1-maxClockDrift)))
}

// Passed says whether a reading of a worker's clock is surely past a moment.
func Passed(clock, moment time.Duration) bool { return clock > moment+clockRounding }

// Add counts a run as running there.
func (w *Worker) Add(r *jobs.Run) {
	if !slices.Contains(w.Runs, r) {
		w.Runs = append(w.Runs, r)
		w.addToTotals(r.Task.Unit, 1)
	}
}

// Remove takes a run off. The list is made anew: it may be walked meanwhile.
func (w *Worker) Remove(r *jobs.Run) {
	if i := slices.Index(w.Runs, r); i >= 0 {
		w.Runs = append(slices.Clone(w.Runs[:i]), w.Runs[i+1:]...)
		w.addToTotals(r.Task.Unit, -1)
	}
}

// RemoveAll takes all runs off.
func (w *Worker) RemoveAll() {
	for _, r := range w.Runs {
		w.Remove(r)
	}
}

// addToTotals keeps the sums that placing asks for many times a second.
func (w *Worker) addToTotals(u *jobs.Unit, by int64) {
	size := Reserved(u)
	w.reserved.Millicores += by * size.Millicores
	w.reserved.MemoryMB += by * size.MemoryMB
	w.reserved.Accelerators += by * size.Accelerators
	asks := u.Size.Millicores
	if u.Spec.GetTailTargetMs() > 0 {
		w.latencyTasks += by
		asks = int64(float64(asks) * latencyTaskLoad)
	}
	if u.Spec.GetFiller() {
		w.fillerTasks += by
		w.fillerMillicores += by * u.Size.Millicores
	}
	if u.Lasting() {
		w.lastingReserved.Millicores += by * size.Millicores
		w.lastingReserved.MemoryMB += by * size.MemoryMB
		w.lastingReserved.Accelerators += by * size.Accelerators
	}
	w.requestedMillicores += by * asks
	w.tasksByUnit[u] += by
	if w.tasksByUnit[u] == 0 {
		delete(w.tasksByUnit, u)
	}
}

// Lasting is the room that lasting tasks have reserved.
func (w *Worker) Lasting() ledger.Size { return w.lastingReserved }

// SetForeignSize sets the room taken by runs that belong to no job of this cell:
// listed by the worker, and being stopped.
func (w *Worker) SetForeignSize(size ledger.Size) { w.foreignSize = size }

// Free is the room that is not reserved. A filler's processors aren't counted.
func (w *Worker) Free() ledger.Size { return w.Capacity.Minus(w.foreignSize).Minus(w.reserved) }

// Reserved is the room that one task of a unit takes.
func Reserved(u *jobs.Unit) ledger.Size {
	size := u.Size
	if u.Spec.GetFiller() {
		size.Millicores = 0
	}
	return size
}

// CountOf is how many tasks of a unit are there.
func (w *Worker) CountOf(u *jobs.Unit) int { return int(w.tasksByUnit[u]) }

// latencyTaskLoad is the share of their reserved processors that lasting tasks use
// on average, while workers do not tell it (the reading that they give for
// those is a latency). 0.5: half of what is reserved, as for most services.
const latencyTaskLoad = 0.5

// Empty says whether this incarnation surely holds no run and lists no end that is not taken
// in, as long as nothing more is started there.
func (w *Worker) Empty() bool { return len(w.Runs) == 0 && w.OnlyKnownRuns() }

// OnlyKnownRuns says whether this incarnation surely holds no runs but Runs, and lists no end that is not taken in,
// as long as nothing more is started there.
func (w *Worker) OnlyKnownRuns() bool {
	return w.HasAnswered && w.otherRow == nil && w.UnreadableLines == 0 && len(w.OrphanedRuns) == 0 && len(w.OrphanedEnds) == 0 && w.foreignSize == ledger.Size{}
}

// Unused estimates the processors that fillers could take, after what those
// that are there ask for.
func (w *Worker) Unused() int64 { return w.Capacity.Millicores - w.requestedMillicores }

// FillersRequested is the processors that the fillers there ask for.
func (w *Worker) FillersRequested() int64 { return w.fillerMillicores }

// Serving says whether a task runs there whose users' latency has a target.
func (w *Worker) Serving() bool { return w.latencyTasks > 0 }

// Filling says whether a filler runs there.
func (w *Worker) Filling() bool { return w.fillerTasks > 0 }

// Usable says whether new work may go there: listed, not leaving, heard within
// the given span, not put aside.
func (w *Worker) Usable(now time.Time, span time.Duration) bool {
	if w.Gone || !w.Listed || !w.Ready || w.Leaving || !w.HasAnswered || !w.Clocked() {
		return false
	}
	return now.Sub(w.LastAnswerAt) <= span && w.SilentSince.IsZero()
}
