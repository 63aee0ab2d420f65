// Package quarantine distinguishes a broken worker from a broken kind of job.
//
// A worker that fails every task at once always has free capacity, and so attracts work.
// Therefore failures are counted by worker and by kind. A worker is quarantined when it
// fails several times in a row with kinds that have succeeded somewhere. It then gets one task
// at a time as a probe; a successful probe ends the quarantine. Failures of a kind that never
// succeeded don't count for the worker. A kind that has failed on several workers is broken:
// the job itself is at fault.
package quarantine

import "time"

const (
	// quarantineAfterFailures is how many failures in a row quarantine a worker.
	quarantineAfterFailures = 3
	// probeInterval is the time between two probes of a quarantined worker.
	probeInterval = 30 * time.Second
	// brokenKindWorkers is on how many different workers a kind must have failed since its
	// last success to count as broken.
	brokenKindWorkers = 3
)

// worker is the recent history of one worker.
type worker struct {
	consecutiveFailures int
	quarantined         bool
	lastProbeAt         time.Time
}

// Tracker holds the failures and quarantines of one hall. It belongs to the control thread.
type Tracker struct {
	workers map[string]*worker
	// failedWorkers lists, for each kind, the workers on which it failed since its last success
	// on any worker.
	failedWorkers map[string]map[string]bool
	// provenKinds holds the kinds that have succeeded somewhere and are not broken.
	provenKinds map[string]bool
}

// New returns a Tracker without failures.
func New() *Tracker {
	return &Tracker{workers: map[string]*worker{}, failedWorkers: map[string]map[string]bool{}, provenKinds: map[string]bool{}}
}

// Succeeded records a success of a kind on a worker. It reports whether this ended a quarantine.
func (r *Tracker) Succeeded(name, kind string) bool {
	delete(r.failedWorkers, kind)
	r.provenKinds[kind] = true
	w := r.worker(name)
	wasQuarantined := w.quarantined
	*w = worker{}
	return wasQuarantined
}

// Failed records a failure of a kind on a worker. It reports whether this quarantined the worker.
func (r *Tracker) Failed(now time.Time, name, kind string) bool {
	if r.failedWorkers[kind] == nil {
		r.failedWorkers[kind] = map[string]bool{}
	}
	r.failedWorkers[kind][name] = true
	if r.KindIsBroken(kind) {
		delete(r.provenKinds, kind)
	}
	if !r.provenKinds[kind] {
		return false
	}
	w := r.worker(name)
	w.consecutiveFailures++
	if w.quarantined || w.consecutiveFailures < quarantineAfterFailures {
		return false
	}
	w.quarantined = true
	w.lastProbeAt = now
	return true
}

// KindIsBroken says whether a kind fails on all workers that try it.
func (r *Tracker) KindIsBroken(kind string) bool {
	return len(r.failedWorkers[kind]) >= brokenKindWorkers
}

// Quarantined says whether the worker is in quarantine.
func (r *Tracker) Quarantined(name string) bool {
	w, ok := r.workers[name]
	return ok && w.quarantined
}

// MayPlace says whether a worker may get a task now. A quarantined one may when a probe is due.
func (r *Tracker) MayPlace(now time.Time, name string) bool {
	w, ok := r.workers[name]
	if !ok || !w.quarantined {
		return true
	}
	return now.Sub(w.lastProbeAt) >= probeInterval
}

// NotePlaced records that a task was placed on the worker. In quarantine this task is the probe.
func (r *Tracker) NotePlaced(now time.Time, name string) {
	if w, ok := r.workers[name]; ok && w.quarantined {
		w.lastProbeAt = now
	}
}

func (r *Tracker) worker(name string) *worker {
	if r.workers[name] == nil {
		r.workers[name] = &worker{}
	}
	return r.workers[name]
}
