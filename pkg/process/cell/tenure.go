package cell

import (
	"slices"
	"time"
)

// The end of a leadership that was not renewed within its tenure.

// pastTenure says whether the tenure has ended without a renewal, so that this process must not lead any more. Decide
// checks it itself, since a host that was frozen or suspended handles its messages before its timers.
func (s *State) pastTenure(now time.Time) bool {
	return s.phase != following && !s.leadsUntil.IsZero() && now.After(s.leadsUntil)
}

// ceased returns the effects of a leader past its tenure: the notes, and a StepDown. All other effects are dropped.
func (s *State) ceased() []Effect {
	out := slices.DeleteFunc(s.outbox, func(e Effect) bool {
		_, note := e.(Note)
		return !note
	})
	s.outbox = nil
	return append(out, StepDown{Why: "no renewal within the tenure"})
}
