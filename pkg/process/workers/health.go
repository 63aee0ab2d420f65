package workers

import (
	"time"
)

// Health decides from the outcomes of runs whether a worker is quarantined. What the
// worker reports about its own health is ignored.
//
// Faulty workers differ: some fail every run that they start, some let every run stall,
// some are slow. Each failed run costs its task one of a few attempts. Therefore two failed
// runs of different units in a row, with no successful run between them, quarantine the
// worker. When the quarantine period is over, the worker gets one run as a probe. A
// successful probe ends the quarantine; a failed one doubles the next period.
type Health struct {
	quarantined bool
	// probeAt is when the probe run was started; zero: no probe run is outstanding.
	probeAt          time.Time
	quarantinedUntil time.Time
	quarantineSpan   time.Duration
	// stalled says that the quarantine is due to stalled runs or refused starts; then
	// progress of any run ends it. After failed runs only a successful run does.
	stalled     bool
	failedUnits []string
	reason      string
}

const (
	// quarantineAfterFailures is how many different units must fail in a row. A single
	// failure is as likely to be the task's fault.
	quarantineAfterFailures = 2
	// firstQuarantine is the first quarantine period, and maxQuarantine the longest one.
	// Faults of workers last from some seconds to minutes.
	firstQuarantine = 1500 * time.Millisecond
	maxQuarantine   = 6 * time.Second
	// probeTimeout is how long a probe run without an outcome delays the next probe.
	probeTimeout = 4 * time.Second
)

// RunFailed records that a run of a unit failed on the worker and reports whether the worker
// is in quarantine as a result. Callers leave out units that failed on other workers too,
// since then the unit itself is at fault.
func (h *Health) RunFailed(unit string, now time.Time) bool {
	if h.quarantined {
		h.quarantine("probe run failed", false, now)
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

// Stalled quarantines the worker because a run makes no progress there.
func (h *Health) Stalled(now time.Time) {
	if !h.quarantined || !now.Before(h.quarantinedUntil) {
		h.quarantine("a run stalled", true, now)
	}
}

// StartRefused quarantines the worker because it refused a start that should fit.
func (h *Health) StartRefused(why string, now time.Time) {
	if !h.quarantined || !now.Before(h.quarantinedUntil) {
		h.quarantine("refused a start: "+why, true, now)
	}
}

// RunSucceeded records that a run succeeded. It ends a quarantine and reports whether there was one.
func (h *Health) RunSucceeded() bool {
	was := h.quarantined
	*h = Health{}
	return was
}

// Progressed records that a run made progress. It reports whether this ended a quarantine.
func (h *Health) Progressed() bool { return h.quarantined && h.stalled && h.RunSucceeded() }

// ProbeStarted records that a run was started on the worker. In quarantine this run is the probe.
func (h *Health) ProbeStarted(now time.Time) {
	if h.quarantined {
		h.probeAt = now
	}
}

// quarantine starts a quarantine period, twice as long as the one before, up to maxQuarantine.
func (h *Health) quarantine(reason string, stalled bool, now time.Time) {
	if h.quarantineSpan == 0 {
		h.quarantineSpan = firstQuarantine
	} else {
		h.quarantineSpan = min(h.quarantineSpan*2, maxQuarantine)
	}
	h.quarantined, h.stalled, h.reason, h.probeAt = true, stalled, reason, time.Time{}
	h.quarantinedUntil = now.Add(h.quarantineSpan)
	h.failedUnits = nil
}

// Quarantined says whether the worker gets no new run now: its quarantine period is not over,
// or its probe run is outstanding.
func (h *Health) Quarantined(now time.Time) bool {
	if !h.quarantined {
		return false
	}
	return now.Before(h.quarantinedUntil) || (!h.probeAt.IsZero() && now.Sub(h.probeAt) < probeTimeout)
}

// QuarantineReason returns why the worker is quarantined, and whether it is; the time of its
// probe run counts as quarantine.
func (h *Health) QuarantineReason() (string, bool) { return h.reason, h.quarantined }
