package cell

import (
	"slices"
	"time"
)

// The end of a leadership that was not renewed within its tenure.

// tenureExpired reports whether the tenure has ended without a renewal, so that this process must not lead any more.
// Decide checks it itself, since a host that was frozen or suspended handles its messages before its timers.
func (s *State) tenureExpired(now time.Time) bool {
	return s.phase != following && !s.tenureUntil.IsZero() && now.After(s.tenureUntil)
}

// effectsPastTenure returns the effects of a leader past its tenure: the notes, and a StepDown. It drops all other
// effects.
func (s *State) effectsPastTenure() []Effect {
	out := slices.DeleteFunc(s.outbox, func(e Effect) bool {
		_, note := e.(Note)
		return !note
	})
	s.outbox = nil
	return append(out, StepDown{Why: "no renewal within the tenure"})
}
