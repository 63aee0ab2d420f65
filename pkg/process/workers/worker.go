// Package workers holds a cell leader's state of each worker: the incarnation
// that answers, the reading of its clock, the end of its lease, its runs, its free
// capacity, and whether it is quarantined.
//
// A worker lists its active runs, and each ended run until the leader confirms that the
// end is recorded. So its lists are the log of starts. A worker ends all runs by itself
// when its lease expires by its own clock. This package makes no calls; times are
// arguments.
package workers

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Record is a validated row of the worker registry; it describes one incarnation of a worker.
type Record struct {
	// ID names the worker. A worker may restart under the same ID, also at another address.
	ID string
	// Born is when the incarnation started, as the worker reports it, in Unix ms; 0: not reported.
	// It only distinguishes incarnations. It is never compared with other times, since clocks may
	// be set.
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
	// Leaving says that the worker takes no new work. Remaining is the least time for which it
	// will still serve.
	Leaving   bool
	Remaining time.Duration
	Version   int64
}

// HasLabel says whether the worker has a label. Every worker has the empty label.
func (r Record) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

const (
	// maxClockDrift is the largest relative difference in speed between a worker's clock and the
	// leader's: 2% by the makers' specification, and 1% more for the leader's own clock.
	maxClockDrift = 0.03
	// clockRounding covers the rounding to milliseconds on both sides.
	clockRounding = 20 * time.Millisecond
)

// OrphanedRun is a run that a worker lists but whose task the cell doesn't know. Since is when
// it was first listed.
type OrphanedRun struct {
	Active
	Since time.Time
}

// OrphanedEnd is a listed end of a task that the cell doesn't know. At is when it was first listed.
type OrphanedEnd struct {
	End
	At time.Time
}

// Worker is the leader's state of one incarnation of a worker; see incarnations.go.
type Worker struct {
	Record
	// KnownAt is when this leader first learned of the incarnation.
	KnownAt time.Time
	// UsableFrom: the worker gets new work only if this leader's leadership is confirmed for that
	// time or a later one. Zero: no such condition.
	UsableFrom time.Time
	// Listed says that the worker registry lists this incarnation. UnlistedAt is when that ended.
	Listed     bool
	UnlistedAt time.Time
	// RowRemovedAt is when the last registry row under this ID was removed; zero: there is a row.
	RowRemovedAt time.Time
	// LeavingAt is when this leader first learned that the worker is leaving.
	LeavingAt time.Time
	// Slot is the place of the worker in the order of its cell.
	Slot int
	// Runs are the runs that may be active on the worker.
	Runs []*jobs.Run
	// HasAnswered says that the worker has answered a poll of this leader.
	HasAnswered bool
	// FirstAnswerAt is when its first such answer came.
	FirstAnswerAt time.Time
	// LastAnswerAt is when its last answer came. SilentSince is when calls began to fail;
	// zero: the last call succeeded.
	LastAnswerAt time.Time
	SilentSince  time.Time
	// LateClock is the reading of the worker's clock in the newest answer that came after its poll's time-out.
	LateClock time.Duration
	// AnswerGap is the time between its last two answers.
	AnswerGap time.Duration
	// AliveAt is the latest time at which the incarnation is known to have been running: that of its last answer, or
	// shortly before a waiting call broke.
	AliveAt time.Time
	// ListAskedAt is when the poll was sent whose answer listed its runs last: what that says holds for this time or a later one.
	ListAskedAt time.Time
	// FailedPolls is how many polls in a row have failed.
	FailedPolls int
	// PollSentAt is when the last poll was sent, PollWait how long the worker may wait before it answers, PollTimeout how
	// long the answer is awaited. PollOutstanding says that it is awaited.
	// NextPollAt is when the next poll is due.
	PollSentAt      time.Time
	PollWait        time.Duration
	PollTimeout     time.Duration
	PollOutstanding bool
	NextPollAt      time.Time
	// Unwatched is how long after the worker's last answer the last poll was sent.
	Unwatched time.Duration
	// LastEnd is the number of the newest end that was processed, LastRecordedEnd that of the
	// newest end that is durable.
	LastEnd, LastRecordedEnd int64
	Health                   Health
	// OrphanedRuns are the orphaned runs of the worker's last list, by task. NewOrphanedRuns are
	// those of the list that is being processed. OrphanedEnds are the orphaned ends.
	OrphanedRuns, NewOrphanedRuns map[string]OrphanedRun
	OrphanedEnds                  []OrphanedEnd
	// DroppedFromMembership says that the cell's membership no longer names this incarnation: it
	// gets no new work and holds no runs.
	DroppedFromMembership bool
	// RunsKnown says that this incarnation gets no more starts and that MayRun is complete. MayRun
	// names each task that may have a run or an unrecorded end there, whether this leader or an
	// earlier one started it.
	RunsKnown bool
	MayRun    []string
	// UnreadableLines is how many lines of its last lists could not be parsed.
	UnreadableLines int
	// MoreEnds says that its last list of ends was full, so a run that it does not list may have ended.
	MoreEnds bool
	// NoFillersUntil is until when no filler may start here, since a task with a latency target
	// has been over its target.
	NoFillersUntil time.Time
	// PacedAt is the LastAnswerAt on which the latest decision on the pace of its fillers is based.
	PacedAt time.Time
	// Ended says that this incarnation has certainly ended. EndKnownAt is when the leader learned of it,
	// EndReason the reason.
	Ended      bool
	EndKnownAt time.Time
	EndReason  string

	// otherRow is the newest registry row of another incarnation under this ID, first received at
	// otherRowAt. outdatedBorn is the Born of such a row that proved outdated.
	otherRow     *Record
	otherRowAt   time.Time
	outdatedBorn int64

	clock        time.Duration
	clockAt      time.Time
	leaseUntil   time.Duration
	leaseGranted bool
	foreignSize  ledger.Size
	// Totals over Runs, kept by Add and Remove: the reserved capacity (of lasting tasks alone in
	// lastingReserved), the requested millicores, and the number of tasks with a latency target,
	// of fillers, and of each unit.
	reserved, lastingReserved             ledger.Size
	requestedMillicores, fillerMillicores int64
	latencyTasks, fillerTasks             int64
	tasksByUnit                           map[*jobs.Unit]int64
	changes                               int64
}

// New returns a listed worker that has not answered yet.
func New(r Record) *Worker {
	return &Worker{Record: r, Listed: true, tasksByUnit: map[*jobs.Unit]int64{}}
}

// UpdateClock records a reading of the worker's clock from an answer. When the answer arrived,
// the clock showed this reading or a later one.
func (w *Worker) UpdateClock(now time.Time, clock time.Duration) {
	if clock > w.MinClock(now) || w.clockAt.IsZero() {
		w.clock, w.clockAt = clock, now
	}
}

// HasClock says whether there is any reading of the worker's clock.
func (w *Worker) HasClock() bool { return !w.clockAt.IsZero() }

// MinClock returns the least time that the worker's clock can show now; 0 without a reading.
func (w *Worker) MinClock(now time.Time) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-maxClockDrift))
}

// GrantLease extends the worker's lease by span from now and returns its end by the worker's clock.
// LeaseExpired and MaxLeaseLeft use the latest end that was ever granted.
func (w *Worker) GrantLease(now time.Time, span time.Duration) time.Duration {
	until := w.MinClock(now) + span
	w.leaseUntil = max(w.leaseUntil, until)
	w.leaseGranted = true
	return until
}

// LeaseExpired says whether the lease has certainly expired, so that the worker has ended all runs
// by itself. It holds only if no other leader has extended the lease since.
func (w *Worker) LeaseExpired(now time.Time) bool {
	if !w.HasClock() || !w.leaseGranted || now.Before(w.clockAt) {
		return false
	}
	return w.MinClock(now) > w.leaseUntil+clockRounding
}

// MaxLeaseLeft returns the longest time for which the leases granted by this process may still last.
func (w *Worker) MaxLeaseLeft(now time.Time) time.Duration {
	if !w.HasClock() || !w.leaseGranted {
		return 0
	}
	left := w.leaseUntil + clockRounding - w.MinClock(now)
	return max(0, time.Duration(float64(left)/(1-maxClockDrift)))
}

// MinElapsed returns the least time that has passed between two readings of a worker's clock.
func MinElapsed(from, to time.Duration) time.Duration {
	return max(0, time.Duration(float64(to-from)*(1-maxClockDrift)))
}

// ClockPassed says whether a worker's clock with this reading is certainly past a moment.
func ClockPassed(clock, moment time.Duration) bool { return clock > moment+clockRounding }

// Add adds a run to Runs and to the totals.
func (w *Worker) Add(r *jobs.Run) {
	if !slices.Contains(w.Runs, r) {
		w.Runs = append(w.Runs, r)
		w.addToTotals(r.Task.Unit, 1)
	}
}

// Remove removes a run. It copies Runs, since a caller may be iterating over the old slice.
func (w *Worker) Remove(r *jobs.Run) {
	if i := slices.Index(w.Runs, r); i >= 0 {
		w.Runs = append(slices.Clone(w.Runs[:i]), w.Runs[i+1:]...)
		w.addToTotals(r.Task.Unit, -1)
	}
}

// Changes returns how often a run was added or removed.
func (w *Worker) Changes() int64 { return w.changes }

// RemoveAll removes all runs.
func (w *Worker) RemoveAll() {
	for _, r := range w.Runs {
		w.Remove(r)
	}
}

// addToTotals adds a number of tasks of a unit to the totals. They are kept because placement
// reads them many times a second.
func (w *Worker) addToTotals(u *jobs.Unit, by int64) {
	w.changes++
	size := ReservedSize(u)
	w.reserved.Millicores += by * size.Millicores
	w.reserved.MemoryMB += by * size.MemoryMB
	w.reserved.Accelerators += by * size.Accelerators
	requested := u.Size.Millicores
	if u.Spec.GetTailTargetMs() > 0 {
		w.latencyTasks += by
		requested = int64(float64(requested) * latencyTaskLoad)
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
	w.requestedMillicores += by * requested
	w.tasksByUnit[u] += by
	if w.tasksByUnit[u] == 0 {
		delete(w.tasksByUnit, u)
	}
}

// LastingReserved returns the capacity that lasting tasks have reserved.
func (w *Worker) LastingReserved() ledger.Size { return w.lastingReserved }

// SetForeignSize sets the capacity taken by runs that the worker lists but that belong to no
// job of this cell. They are being stopped.
func (w *Worker) SetForeignSize(size ledger.Size) { w.foreignSize = size }

// FreeCapacity returns the capacity that is not reserved. Fillers reserve no processors.
func (w *Worker) FreeCapacity() ledger.Size { return w.Capacity.Minus(w.foreignSize).Minus(w.reserved) }

// ReservedSize returns the capacity that one task of a unit reserves. A filler reserves no processors.
func ReservedSize(u *jobs.Unit) ledger.Size {
	size := u.Size
	if u.Spec.GetFiller() {
		size.Millicores = 0
	}
	return size
}

// TaskCount returns how many tasks of a unit the worker has.
func (w *Worker) TaskCount(u *jobs.Unit) int { return int(w.tasksByUnit[u]) }

// latencyTaskLoad is the average share of its reserved processors that a task with a latency
// target uses. Workers report a latency for such a task, and so not its processor use.
// 0.5: most services use half of what they reserve.
const latencyTaskLoad = 0.5

// HasListedAll says whether the worker has answered a poll of this leader with all of its runs and ends.
func (w *Worker) HasListedAll() bool { return w.HasAnswered && !w.MoreEnds }

// Empty says whether this incarnation certainly has no run and no unprocessed end. It stays true
// until a run is started there.
func (w *Worker) Empty() bool { return len(w.Runs) == 0 && w.OnlyKnownRuns() }

// OnlyKnownRuns says whether this incarnation certainly has no runs except Runs, and no
// unprocessed end. It stays true until a run is started there.
func (w *Worker) OnlyKnownRuns() bool {
	return w.HasListedAll() && w.otherRow == nil && w.UnreadableLines == 0 && len(w.OrphanedRuns) == 0 && len(w.OrphanedEnds) == 0 && w.foreignSize == ledger.Size{}
}

// UnusedMillicores returns an estimate of the millicores that are left for more fillers, after the
// requests of all tasks there, fillers included.
func (w *Worker) UnusedMillicores() int64 { return w.Capacity.Millicores - w.requestedMillicores }

// FillerMillicoresRequested returns the millicores that the fillers there request.
func (w *Worker) FillerMillicoresRequested() int64 { return w.fillerMillicores }

// HasLatencyTarget says whether the worker has a task with a latency target.
func (w *Worker) HasLatencyTarget() bool { return w.latencyTasks > 0 }

// HasFillers says whether the worker has a filler.
func (w *Worker) HasFillers() bool { return w.fillerTasks > 0 }

// Usable says whether the worker may get new work: it is listed, ready and not leaving, its last
// answer is at most span old, and no call has failed since. Quarantine is not checked here.
func (w *Worker) Usable(now time.Time, span time.Duration) bool {
	if w.Ended || !w.Listed || !w.Ready || w.Leaving || !w.HasAnswered || !w.HasClock() {
		return false
	}
	return now.Sub(w.LastAnswerAt) <= span && w.SilentSince.IsZero()
}
