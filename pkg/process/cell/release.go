package cell

import (
	"maps"
	"slices"
	"time"
)

// A release that does not wait for the load to end (Bounds.ConfirmedHandover). Under load, runs end all the time, so there
// is always progress to write. The leader stops polling, and writes what it has once. It need not wait for more: the
// successor's epoch rejects late orders at the workers, its fences reject late transactions, and workers list each end
// until it is acknowledged.

// maxReleaseWait is the longest time for which a release waits for the transactions in flight. A healthy table answers
// within some ms; the cell has no leader that starts tasks while the release waits.
const maxReleaseWait = 250 * time.Millisecond

// releasingAtOnce reports whether this process hands the cell over without waiting for the load to end. It sends no polls
// then, also if the release takes long: a release with a lost answer may have taken effect, and its successor does not
// wait for leases that are granted later.
func (s *State) releasingAtOnce() bool { return s.phase == releasing && s.bounds.ConfirmedHandover }

// writeLast sends the last transaction of each part with unwritten changes, once the one in flight is answered.
func (s *State) writeLast(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.writers)) {
		if p := s.writers[name]; p.awaitsLast() && !p.sending {
			p.lastSent = true
			s.sendTransaction(now, p)
		}
	}
}

// lastWritesAnswered reports whether no transaction is in flight and none is left to send.
func (s *State) lastWritesAnswered() bool {
	for _, p := range s.writers {
		if p.sending || p.awaitsLast() {
			return false
		}
	}
	return true
}

// awaitsLast reports whether the part has changes to write before a release.
func (p *partWriter) awaitsLast() bool {
	return !p.lastSent && p.fence != 0 && len(p.dirty)+len(p.expired)+len(p.deferred) > 0
}
