package relay

import "time"

// Situation is what decides which rows a host reads from the table itself.
type Situation struct {
	Standing Standing
	// Leads means that the host leads a cell: it learns from its own readings whether it still does.
	Leads bool
	// Trouble means that calls of this host to the table fail or wait. Its own readings then show whether the table
	// answers it again, and how fast.
	Trouble bool
	// Refused means that the table does not answer direct calls of this host.
	Refused bool
	// LeadershipsAt and OperatorsAt are when a relay last passed on recent rows; the zero time means never.
	LeadershipsAt, OperatorsAt time.Time
	// Spread is the host's part of SilenceSpread.
	Spread time.Duration
}

// Sources tells which rows a host reads from the table itself.
type Sources struct {
	Leaderships, Operators bool
}

// SourcesOf returns which rows to read from the table. Both are read until a relay has passed on recent ones. Operators'
// rows are less urgent than leaderships, and their readings follow later and over a wider range.
func SourcesOf(now time.Time, s Situation) Sources {
	silent := func(at time.Time, longest time.Duration) bool { return at.IsZero() || now.Sub(at) > longest }
	return Sources{
		Leaderships: s.Standing == Relay || s.Leads || s.Trouble || silent(s.LeadershipsAt, MaxSilence+s.Spread),
		Operators:   (s.Standing == Relay && !s.Refused) || silent(s.OperatorsAt, 2*(MaxSilence+s.Spread)),
	}
}

// Follows returns whether the host follows a relay. Relays that the table refuses do, too.
func Follows(s Situation) bool { return s.Standing == Follower || s.Refused }

// Avoided holds the relays that did not answer, or had nothing recent, until when each is avoided. It is immutable.
type Avoided map[string]time.Time

// avoidFor is the time for which a relay is avoided.
const avoidFor = 3 * time.Second

// With returns the set with a relay that failed at now, and without those whose time has passed.
func (a Avoided) With(now time.Time, name string) Avoided {
	next := Avoided{name: now.Add(avoidFor)}
	for n, until := range a {
		if n != name && now.Before(until) {
			next[n] = until
		}
	}
	return next
}

// At returns the function that tells whether a relay is avoided at now.
func (a Avoided) At(now time.Time) func(name string) bool {
	return func(name string) bool { return now.Before(a[name]) }
}
