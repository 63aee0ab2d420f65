// Package quarantine tells a broken worker from a broken kind of job.
//
// A worker that fails everything it starts attracts work: it is always free.
// So starts are counted both ways. A worker is put aside when it fails several
// times in a row what has succeeded elsewhere; it is then given one task at a
// time as a probe, and let back in when a probe succeeds. A kind that never
// succeeded speaks against no worker, and when it has failed on many workers it
// is the job's own fault.
package quarantine

import "time"

const (
	// quarantineAfterFailures is how many failures in a row put a worker aside.
	quarantineAfterFailures = 3
	// probeInterval is how often a quarantined worker gets one task.
	probeInterval = 30 * time.Second
	// brokenKindWorkers is on how many different workers a kind must have failed
	// in a row before the kind is blamed.
	brokenKindWorkers = 3
)

// worker is one worker's recent past.
type worker struct {
	consecutiveFailures int
	quarantined         bool
	lastProbeAt         time.Time
}

// Record is the hall's account. It belongs to the control thread.
type Record struct {
	workers map[string]*worker
	// failedWorkers lists, for each kind, the workers that failed it since it last
	// succeeded anywhere.
	failedWorkers map[string]map[string]bool
	// provenKinds holds the kinds that have succeeded somewhere and are not broken.
	provenKinds map[string]bool
}

// New returns an empty account.
func New() *Record {
	return &Record{workers: map[string]*worker{}, failedWorkers: map[string]map[string]bool{}, provenKinds: map[string]bool{}}
}

// Succeeded takes in one success. It says whether the worker was let back in.
func (r *Record) Succeeded(name, kind string) bool {
	delete(r.failedWorkers, kind)
	r.provenKinds[kind] = true
	w := r.worker(name)
	back := w.quarantined
	*w = worker{}
	return back
}

// Failed takes in one failure. It says whether the worker was put aside.
func (r *Record) Failed(now time.Time, name, kind string) bool {
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

// KindIsBroken says whether a kind fails wherever it is tried.
func (r *Record) KindIsBroken(kind string) bool {
	return len(r.failedWorkers[kind]) >= brokenKindWorkers
}

// Aside says whether the worker is in quarantine.
func (r *Record) Aside(name string) bool {
	w, ok := r.workers[name]
	return ok && w.quarantined
}

// MayPlace says whether a worker may be given a task now.
func (r *Record) MayPlace(now time.Time, name string) bool {
	w, ok := r.workers[name]
	if !ok || !w.quarantined {
		return true
	}
	return now.Sub(w.lastProbeAt) >= probeInterval
}

// Placed notes that a task went to the worker, which for a worker in
// quarantine is its probe.
func (r *Record) Placed(now time.Time, name string) {
	if w, ok := r.workers[name]; ok && w.quarantined {
		w.lastProbeAt = now
	}
}

func (r *Record) worker(name string) *worker {
	if r.workers[name] == nil {
		r.workers[name] = &worker{}
	}
	return r.workers[name]
}
