package cell

import (
	"slices"
	"time"
)

// The end of a leadership that was not renewed.

// pastTenure says whether this process must not go on: it had no renewal for its tenure. A host that
// was frozen or suspended meets its messages before its timers.
func (s *State) pastTenure(now time.Time) bool {
	return s.phase != following && !s.leadsUntil.IsZero() && now.After(s.leadsUntil)
}

// ceased leaves out all that was to be done but what is told of it.
func (s *State) ceased() []Effect {
	out := slices.DeleteFunc(s.outbox, func(e Effect) bool {
		_, note := e.(Note)
		return !note
	})
	s.outbox = nil
	return append(out, StepDown{Why: "no renewal for the tenure"})
}
