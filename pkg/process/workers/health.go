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
	aside bool
	// trialAt is when the trial run was given; zero: none is out.
	trialAt time.Time
	until   time.Time
	span    time.Duration
	// still says that runs stood still there: then one that moves is a good
	// sign. Where runs fail, only a good end is.
	still    bool
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
	// trialLimit is how long a trial without an end keeps the next one back.
	trialLimit = 4 * time.Second
)

// Failed takes in that a run of a unit failed there. Units that failed at other
// workers too should not be told: they are at fault themselves. It says whether
// the worker is put aside by it.
func (h *Health) Failed(unit string, now time.Time) bool {
	if h.aside {
		h.putAside("its trial failed", false, now)
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
	h.putAside("runs of several steps failed in a row", false, now)
	return true
}

// Stalled puts the worker aside since a run does not move on there.
func (h *Health) Stalled(now time.Time) {
	if !h.aside || !now.Before(h.until) {
		h.putAside("a run stands still", true, now)
	}
}

// Refused puts the worker aside since it refuses work that should fit.
func (h *Health) Refused(why string, now time.Time) {
	if !h.aside || !now.Before(h.until) {
		h.putAside("refused a start: "+why, true, now)
	}
}

// Worked takes in that a run ended well. It says whether the worker was aside.
func (h *Health) Worked() bool {
	was := h.aside
	*h = Health{}
	return was
}

// Progressed takes in that a run moves on.
func (h *Health) Progressed() bool { return h.aside && h.still && h.Worked() }

// TrialGiven takes in that a run was started there.
func (h *Health) TrialGiven(now time.Time) {
	if h.aside {
		h.trialAt = now
	}
}

func (h *Health) putAside(reason string, still bool, now time.Time) {
	if h.span == 0 {
		h.span = firstAside
	} else {
		h.span = min(h.span*2, longestAside)
	}
	h.aside, h.still, h.reason, h.trialAt = true, still, reason, time.Time{}
	h.until = now.Add(h.span)
	h.failures = nil
}

// Quarantined says whether the worker gets no work at present: it is left alone, or
// its trial run is out.
func (h *Health) Quarantined(now time.Time) bool {
	if !h.aside {
		return false
	}
	return now.Before(h.until) || (!h.trialAt.IsZero() && now.Sub(h.trialAt) < trialLimit)
}

// QuarantineReason says whether the worker is put aside or on trial, and why.
func (h *Health) QuarantineReason() (string, bool) { return h.reason, h.aside }
