// Package leadership decides who leads a hall, and for how long a leader may grant leases.
//
// Package hall asks it at each step. One row of the platform's table holds a hall's
// leadership; the spans of time that matter are settings, told where they are used. This is
// the model's process Leader (model/lease.pml): claim, renew, step down.
//
// It does no I/O and reads no clock; values are immutable.
package leadership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// ----------------------------------------------------------------- role

// Role is what an entry host is to a hall.
type Role int

// The roles.
const (
	// Follower: somebody else leads, or nobody does yet.
	Follower Role = iota
	// Claiming: a claim has been sent and not yet answered for sure.
	Claiming
	// Leader: this process holds the epoch.
	Leader
)

// String names the role for logs and pages.
func (r Role) String() string {
	return [...]string{"follower", "claiming", "leader"}[r]
}

// marginShare is the part of any awaited span that is added for clock speed
// differences between hosts: a twentieth, far above what quartz clocks do.
const marginShare = 20

// WithMargin lengthens a span that belongs to another host's clock.
func WithMargin(span time.Duration) time.Duration {
	return span + span/marginShare
}

// Leadership is one entry host's view of one hall's leadership. Values are
// immutable: each With method returns the next one.
//
// Three spans of time matter, all of them settings:
//
//   - takeover: how long the row must stand still, by an observer's own
//     monotonic clock, before the observer may claim it with a higher epoch;
//   - tenure: how long after its last renewal a leader that can't reach the
//     table may go on granting. It is counted from before the renewal was sent,
//     so that a lost or late answer can only make it shorter;
//   - margin: what is added when waiting for somebody else's time to pass,
//     for clocks that run at slightly different speeds.
type Leadership struct {
	hall    string
	holder  string
	address string

	role     Role
	row      *wire.LeaderRow
	revision int64
	seenAt   time.Time

	renewedAt     time.Time
	accededAt     time.Time
	predecessorMS int64
	// boundMS is the shortest tenure that the table may hold for this leader:
	// the one surely written, or a shorter one on its way.
	boundMS int64
}

// New returns the view of a process that knows nothing yet.
func New(hall, holder, address string) Leadership {
	return Leadership{hall: hall, holder: holder, address: address, row: &wire.LeaderRow{Hall: hall}}
}

// Role returns what this process is now.
func (l Leadership) Role() Role { return l.role }

// Epoch returns the epoch last seen, or held.
func (l Leadership) Epoch() int64 { return l.row.GetEpoch() }

// Row returns the row last seen or written. It must not be changed.
func (l Leadership) Row() *wire.LeaderRow { return l.row }

// Revision returns the row's revision in the table.
func (l Leadership) Revision() int64 { return l.revision }

// ------------------------------------------------------------ following

// WithObserved takes in a reading of the row. The clock of the takeover starts
// anew whenever the row has moved.
func (l Leadership) WithObserved(now time.Time, row *wire.LeaderRow, revision int64) Leadership {
	if l.role == Leader || revision < l.revision {
		return l
	}
	if l.seenAt.IsZero() || revision != l.revision {
		l.seenAt = now
	}
	l.revision = revision
	if row != nil {
		l.row = row
	}
	return l
}

// MayClaim says whether the row has stood still for long enough, was given up
// by its holder, or never existed.
func (l Leadership) MayClaim(now time.Time, takeover time.Duration) bool {
	if l.role != Follower || l.seenAt.IsZero() {
		return false
	}
	if l.revision == 0 || l.row.GetReleased() {
		return true
	}
	return now.Sub(l.seenAt) > WithMargin(takeover)
}

// Claim returns the row to write, on condition that the row still has the
// revision last seen.
func (l Leadership) Claim(tenure time.Duration) *wire.LeaderRow {
	return &wire.LeaderRow{
		Hall:     l.hall,
		Epoch:    l.row.GetEpoch() + 1,
		Holder:   l.holder,
		Address:  l.address,
		TenureMs: tenure.Milliseconds(),
		Renewals: 1,
	}
}

// WithClaiming remembers that a claim is under way.
func (l Leadership) WithClaiming() Leadership {
	l.role = Claiming
	return l
}

// WithWon makes this process the leader. sentAt is when the claim was first
// sent: the tenure is counted from there. now is when the answer came: the wait
// for the predecessor's tenure is counted from there, which is later than any
// renewal of a predecessor.
func (l Leadership) WithWon(sentAt, now time.Time, row *wire.LeaderRow, revision int64) Leadership {
	l.predecessorMS = l.row.GetTenureMs()
	l.role = Leader
	l.row = row
	l.revision = revision
	l.boundMS = row.GetTenureMs()
	l.renewedAt = sentAt
	l.accededAt = now
	return l
}

// WithLost makes this process a follower again that has yet to read the row: what it
// knew of it is old, and may be that there is none.
func (l Leadership) WithLost() Leadership {
	l.role = Follower
	l.seenAt = time.Time{}
	return l
}

// -------------------------------------------------------------- leading

// Renewal returns the row that renews the leadership. Each carries the next
// number, so that a reading of the row tells which of several writes with lost
// answers took effect.
//
// A new tenure may be shorter than the one before, but not shorter than the
// longest lease that was granted: a successor that reads the shorter tenure must
// still wait out that lease.
func (l Leadership) Renewal(tenure, longestLease time.Duration) *wire.LeaderRow {
	row := proto.CloneOf(l.row)
	row.Renewals++
	row.TenureMs = max(tenure, longestLease).Milliseconds()
	row.Released = false
	return row
}

// WithRenewing remembers that a renewal is on its way. From now on a shorter
// tenure binds, since the table may hold it at any moment.
func (l Leadership) WithRenewing(row *wire.LeaderRow) Leadership {
	l.boundMS = min(l.boundMS, row.GetTenureMs())
	return l
}

// Release returns the row that gives the leadership up, for a planned stop.
func (l Leadership) Release() *wire.LeaderRow {
	row := proto.CloneOf(l.row)
	row.Renewals++
	row.Released = true
	return row
}

// WithRenewed takes in a renewal that surely took effect. sentAt is when it was
// last sent before the answer: the table may have applied it right then.
func (l Leadership) WithRenewed(sentAt time.Time, row *wire.LeaderRow, revision int64) Leadership {
	l.row = row
	l.revision = revision
	l.boundMS = row.GetTenureMs()
	if sentAt.After(l.renewedAt) {
		l.renewedAt = sentAt
	}
	return l
}

// TenureEnd is the moment past which this leader grants nothing. No lease may
// reach past it.
func (l Leadership) TenureEnd() time.Time {
	return l.renewedAt.Add(time.Duration(l.boundMS) * time.Millisecond)
}

// MayGrant says whether the leader is within its tenure.
func (l Leadership) MayGrant(now time.Time) bool {
	return l.role == Leader && now.Before(l.TenureEnd())
}

// PredecessorsOver is the moment after which no lease of any earlier leader can
// be alive, on workers that this leader has not reached.
func (l Leadership) PredecessorsOver() time.Time {
	return l.accededAt.Add(WithMargin(time.Duration(l.predecessorMS) * time.Millisecond))
}
