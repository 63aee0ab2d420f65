package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// awaitedLogInterval is the time between two log lines about the members that an unsettled cell waits for.
	awaitedLogInterval = time.Second
	// maxAwaitedLogged bounds how many members one line names.
	maxAwaitedLogged = 6
)

// logAwaitedMembers logs, once in awaitedLogInterval while the cell has not settled, which members it waits for, until
// when, and which predecessors are not known to have ended.
func (s *State) logAwaitedMembers(now time.Time) {
	if s.settled || s.phase != leading || now.Sub(s.awaitedLoggedAt) < awaitedLogInterval {
		return
	}
	var names []string
	awaited, left := 0, time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(s.awaitedMembers)) {
		w := s.workers[id]
		if w == nil || w.HasListedAll() || s.earlierRunsOver(now, w) {
			continue
		}
		awaited++
		lease := max(0, s.lastLeaseEndAt(id).Sub(now))
		left = max(left, lease)
		if len(names) < maxAwaitedLogged {
			names = append(names, fmt.Sprintf("%s (%s; leases %s)", id, s.awaitedState(now, id), lease.Round(time.Millisecond)))
		}
	}
	if awaited == 0 {
		return
	}
	s.awaitedLoggedAt = now
	detail := fmt.Sprintf("%d of %d members: %s", awaited, len(s.recordedMembers), strings.Join(names, ", "))
	if len(s.predecessors) > 0 {
		detail += "; predecessors not known to have ended: " + strings.Join(slices.Sorted(maps.Keys(s.predecessors)), ", ")
	}
	s.note(Note{Kind: NoteMembersAwaited, Detail: detail, AgeMs: now.Sub(s.gainedAt).Milliseconds(), Left: left})
}

// awaitedState describes what is known of a member that has not answered.
func (s *State) awaitedState(now time.Time, id string) string {
	w := s.workers[id]
	switch {
	case w.Ended:
		return "ended: " + w.EndReason + ", awaits confirmation"
	case !w.SilentSince.IsZero():
		return "silent for " + now.Sub(w.SilentSince).Round(time.Millisecond).String()
	case w.HasAnswered:
		return "has not listed all ends"
	}
	return "not heard yet"
}
