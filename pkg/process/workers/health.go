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
	quarantined bool
	// probeAt is when the trial run was given; zero: none is out.
	probeAt          time.Time
	quarantinedUntil time.Time
	quarantineSpan   time.Duration
	// stalled says that runs stood still there: then one that moves is a good
	// sign. Where runs fail, only a good end is.
	stalled     bool
	failedUnits []string
	reason      string
}

const (
	// quarantineAfterFailures is how many units must fail in a row: one failure is
	// as likely the task's own.
	quarantineAfterFailures = 2
	// firstQuarantine is how long a worker is left alone at first, longestAside at
	// most: troubles of workers last some seconds to minutes.
	firstQuarantine = 1500 * time.Millisecond
	maxQuarantine   = 6 * time.Second
	// probeTimeout is how long a trial without an end keeps the next one back.
	probeTimeout = 4 * time.Second
)

// Failed takes in that a run of a unit failed there. Units that failed at other
// workers too should not be told: they are at fault themselves. It says whether
// the worker is put aside by it.
func (h *Health) Failed(unit string, now time.Time) bool {
	if h.quarantined {
		h.quarantine("its trial failed", false, now)
		return true
	}
	for _, f := range h.failedUnits {
		if f == unit {
			return false
		}
	}
	h.failedUnits = append(h.failedUnits, unit)
	if len(h.failedUnits) < quarantineAfterFailures {
		return false
	}
	h.quarantine("runs of several steps failed in a row", false, now)
	return true
}

// Stalled puts the worker aside since a run does not move on there.
func (h *Health) Stalled(now time.Time) {
	if !h.quarantined || !now.Before(h.quarantinedUntil) {
		h.quarantine("a run stands still", true, now)
	}
}

// Refused puts the worker aside since it refuses work that should fit.
func (h *Health) Refused(why string, now time.Time) {
	if !h.quarantined || !now.Before(h.quarantinedUntil) {
		h.quarantine("refused a start: "+why, true, now)
	}
}

// Worked takes in that a run ended well. It says whether the worker was aside.
func (h *Health) Worked() bool {
	was := h.quarantined
	*h = Health{}
	return was
}

// Progressed takes in that a run moves on.
func (h *Health) Progressed() bool { return h.quarantined && h.stalled && h.Worked() }

// TrialGiven takes in that a run was started there.
func (h *Health) TrialGiven(now time.Time) {
	if h.quarantined {
		h.probeAt = now
	}
}

func (h *Health) quarantine(reason string, still bool, now time.Time) {
	if h.quarantineSpan == 0 {
		h.quarantineSpan = firstQuarantine
	} else {
		h.quarantineSpan = min(h.quarantineSpan*2, maxQuarantine)
	}
	h.quarantined, h.stalled, h.reason, h.probeAt = true, still, reason, time.Time{}
	h.quarantinedUntil = now.Add(h.quarantineSpan)
	h.failedUnits = nil
}

// Quarantined says whether the worker gets no work at present: it is left alone, or
// its trial run is out.
func (h *Health) Quarantined(now time.Time) bool {
	if !h.quarantined {
		return false
	}
	return now.Before(h.quarantinedUntil) || (!h.probeAt.IsZero() && now.Sub(h.probeAt) < probeTimeout)
}

// QuarantineReason says whether the worker is put aside or on trial, and why.
func (h *Health) QuarantineReason() (string, bool) { return h.reason, h.quarantined }
