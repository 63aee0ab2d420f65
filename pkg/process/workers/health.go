package workers

import (
	"time"
)

// Health judges a worker by what became of the runs it was given: what a
// worker says of its own health is not asked.
//
// Some workers fail all that they start, some let all stand still, some are
// slow. Each failure costs a task one of its few attempts, so two failures in a
// row of different units, with no good end between, put a worker aside. After
// a while it gets one run as a trial; a good end lets it back in, a bad one
// doubles the while.
type Health struct {
	aside    bool
	trial    bool
	until    time.Time
	span     time.Duration
	failures []string
	reason   string
}

const (
	// failuresToPutAside is how many units must fail in a row: one failure is
	// as likely the task's own.
	failuresToPutAside = 2
	// firstAside is how long a worker is left alone at first, longestAside at
	// most: troubles of workers last some seconds to minutes.
	firstAside   = 1500 * time.Millisecond
	longestAside = 6 * time.Second
)

// Failed takes in that a run of a unit failed there. Units that failed at other
// workers too should not be told: they are at fault themselves. It says whether
// the worker is put aside by it.
func (h *Health) Failed(unit string, now time.Time) bool {
	if h.aside {
		h.putAside("its trial failed", now)
		return true
	}
	for _, f := range h.failures {
		if f == unit {
			return false
		}
	}
	h.failures = append(h.failures, unit)
	if len(h.failures) < failuresToPutAside {
		return false
	}
	h.putAside("runs of several steps failed in a row", now)
	return true
}

// Suspect puts the worker aside for another cause.
func (h *Health) Suspect(reason string, now time.Time) {
	if h.aside && now.Before(h.until) {
		return
	}
	h.putAside(reason, now)
}

// Worked takes in that a run ended well or moved on as it should.
func (h *Health) Worked() {
	*h = Health{}
}

func (h *Health) putAside(reason string, now time.Time) {
	if h.span == 0 {
		h.span = firstAside
	} else {
		h.span = min(h.span*2, longestAside)
	}
	h.aside, h.trial, h.reason = true, false, reason
	h.until = now.Add(h.span)
	h.failures = nil
}

// Aside says whether the worker gets no work at present; while on trial, it
// gets one run.
func (h *Health) Aside(now time.Time, running int) bool {
	if !h.aside {
		return false
	}
	return now.Before(h.until) || running > 0
}

// IsAside says whether the worker is put aside or on trial, and why.
func (h *Health) IsAside() (string, bool) { return h.reason, h.aside }
