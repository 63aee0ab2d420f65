// Package relay decides which entry hosts read the table on behalf of their hall, and from whom the others learn.
//
// Load pattern: hundreds of hosts want the same few rows several times a second. A few relays of each hall read them and
// pass them on; all other hosts follow a relay, and read the table themselves while no relay tells them anything recent.
// Passed on rows keep the version and the time of their reading, so that they age as if they had been read then.
//
// Package fleet makes the calls. This package does no I/O and reads no clock.
package relay

import (
	"hash/fnv"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// MinRelays is the number of relays of a hall without followers. It lets a hall lose some of them at once.
	MinRelays = 4
	// MaxFollowers is the number of followers of a hall from which it gets one more relay for each further so many, which
	// bounds what one relay sends.
	MaxFollowers = 40
	// A hall keeps one relay more for each surplusShare of those wanted, so that a number of followers that varies makes
	// none come and go.
	surplusShare = 4
	// LeadershipsMaxAge is the age up to which leaderships count as recent: a renewal is overdue after 1.2 s.
	LeadershipsMaxAge = time.Second
	// OperatorsMaxAge is the age up to which operators' rows count as recent. Their changes are waited for up to a second.
	OperatorsMaxAge = 1500 * time.Millisecond
	// MaxHold is the longest time for which a relay holds a request: its next reading of the leaderships ends it sooner.
	MaxHold = 350 * time.Millisecond
	// MaxSilence is the time without recent rows from a relay after which a follower reads the table itself. It knows of
	// the newest renewals then before it takes them for overdue.
	MaxSilence = MaxHold + 100*time.Millisecond
	// SilenceSpread is the range of what each host adds to MaxSilence: the followers of relays that fail together must not
	// all call the table at the same time.
	SilenceSpread = 400 * time.Millisecond
)

// Standing is a host's part in its hall.
type Standing int

// The standings.
const (
	Follower Standing = iota
	Relay
)

// Next returns the standing that a host should have. others are the other relays of its hall that are alive, self describes
// the host. The strongest hosts are relays, and of equals those that are already. A host that leaves keeps its standing, and
// does not count at others.
func Next(self *wire.EntryHost, current Standing, others []*wire.EntryHost) Standing {
	if self.GetLeaving() {
		return current
	}
	wanted, preferred := Wanted(append([]*wire.EntryHost{self}, others...)), 0
	for _, o := range others {
		switch {
		case o.GetLeaving() || o.GetProcessors() < self.GetProcessors():
		case o.GetProcessors() > self.GetProcessors(), current == Follower, o.GetName() < self.GetName():
			preferred++
		}
	}
	if preferred < wanted || (current == Relay && preferred < wanted+wanted/surplusShare) {
		return Relay
	}
	return Follower
}

// Wanted returns the number of relays that a hall with the given ones should have.
func Wanted(relays []*wire.EntryHost) int {
	followers := 0
	for _, r := range relays {
		followers += int(r.GetFollowers())
	}
	return max(MinRelays, (followers+MaxFollowers-1)/MaxFollowers)
}

// Choose returns the relay that a host should follow, or nil if there is none. It prefers those of the host's own hall, and
// among them one that depends on both names, so that followers are spread over the relays.
func Choose(name, hall string, relays []*wire.EntryHost, avoided func(name string) bool) *wire.EntryHost {
	var best *wire.EntryHost
	var bestWeight uint64
	for _, r := range relays {
		if r.GetName() == name || r.GetLeaving() || avoided(r.GetName()) {
			continue
		}
		w := weight(name, r.GetName())
		own := r.GetHall() == hall
		bestOwn := best != nil && best.GetHall() == hall
		if best == nil || (own && !bestOwn) || (own == bestOwn && w > bestWeight) {
			best, bestWeight = r, w
		}
	}
	return best
}

// weight is a hash of the names of a follower and a relay.
func weight(follower, relay string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(follower + "\x00" + relay)) // a hash never fails
	return mix(h.Sum64())
}

// mix makes each bit of a hash depend on all bits of another one: the names of hosts differ in few characters.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Spread returns what a host adds to MaxSilence.
func Spread(name string) time.Duration {
	return time.Duration(weight(name, "") % uint64(SilenceSpread))
}
