// Package leadership elects the leader of a hall and bounds the time for which it may grant leases.
//
// Package hall calls it at each step. One row of the platform's table holds a hall's
// leadership. The durations are settings; the parameters that take them describe them. The package
// implements process Leader of the model (model/lease.pml): claim, renew, step down.
//
// The package does no I/O and reads no clock; values are immutable.
package leadership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// ----------------------------------------------------------------- role

// Role is the role of an entry host in the election of a hall's leader.
type Role int

// The roles.
const (
	// Follower means that another process leads or that there is no leader yet.
	Follower Role = iota
	// Claiming means that a claim has been sent and its outcome is not yet certain.
	Claiming
	// Leader means that this process holds the epoch.
	Leader
)

// String returns the role's name for logs and status pages.
func (r Role) String() string {
	return [...]string{"follower", "claiming", "leader"}[r]
}

// marginDivisor is the divisor of the safety margin for clock speed differences between hosts. The margin is a
// twentieth of the awaited duration, far above the drift of quartz clocks.
const marginDivisor = 20

// WithMargin returns a duration that another host measures by its own clock, lengthened by the safety margin for
// differences in clock speed.
func WithMargin(duration time.Duration) time.Duration {
	return duration + duration/marginDivisor
}

// Leadership is one entry host's view of one hall's leadership. Values are
// immutable: each With method returns a changed copy.
//
// Three durations matter, all of them settings:
//
//   - takeover: the time for which the row must stay unchanged, by an observer's own
//     monotonic clock, before the observer may claim it with a higher epoch;
//   - tenure: the time after its last renewal for which a leader that can't reach the
//     table may keep granting leases. It is counted from before the renewal was sent,
//     so a lost or late answer can only make it shorter;
//   - margin: the time added when one host waits for a duration that another host measures,
//     since clocks run at slightly different speeds.
type Leadership struct {
	hall    string
	holder  string
	address string

	role     Role
	row      *wire.LeaderRow
	revision int64
	// unchangedSince is the time at which this process first read the present revision. It is zero if the row has to
	// be read first.
	unchangedSince time.Time

	// renewedAt is the time from which the tenure is counted: that at which the last renewal that took effect was sent.
	renewedAt time.Time
	// wonAt is the time of the answer to the claim by which this process became the leader.
	wonAt time.Time
	// predecessorTenureMS is the tenure in the row that the claim replaced, in milliseconds.
	predecessorTenureMS int64
	// bindingTenureMS is the shortest tenure, in milliseconds, that the table may hold for this leader: the one
	// known to be written, or a shorter one whose write is pending.
	bindingTenureMS int64
}

// New returns the view of a process that has not read the row yet.
func New(hall, holder, address string) Leadership {
	return Leadership{hall: hall, holder: holder, address: address, row: &wire.LeaderRow{Hall: hall}}
}

// Role returns the present role of this process.
func (l Leadership) Role() Role { return l.role }

// Epoch returns the epoch of the row last read or written.
func (l Leadership) Epoch() int64 { return l.row.GetEpoch() }

// Row returns the row last read or written. The caller must not change it.
func (l Leadership) Row() *wire.LeaderRow { return l.row }

// Revision returns the last known revision of the row in the table; 0 means that there is no row.
func (l Leadership) Revision() int64 { return l.revision }

// ------------------------------------------------------------ following

// WithObserved handles a reading of the row. The takeover time starts anew whenever the row's revision
// has changed. A leader ignores readings; a process in another role ignores those of older revisions.
func (l Leadership) WithObserved(now time.Time, row *wire.LeaderRow, revision int64) Leadership {
	if l.role == Leader || revision < l.revision {
		return l
	}
	if l.unchangedSince.IsZero() || revision != l.revision {
		l.unchangedSince = now
	}
	l.revision = revision
	if row != nil {
		l.row = row
	}
	return l
}

// MayClaim returns whether a follower may claim the row: the row has stayed unchanged for takeover plus the
// margin, its holder has released it, or it doesn't exist.
func (l Leadership) MayClaim(now time.Time, takeover time.Duration) bool {
	if l.role != Follower || l.unchangedSince.IsZero() {
		return false
	}
	if l.revision == 0 || l.row.GetReleased() {
		return true
	}
	return now.Sub(l.unchangedSince) > WithMargin(takeover)
}

// Claim returns the row that claims the leadership. The caller writes it on condition that the stored row
// still has the revision last read.
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

// WithClaiming records that a claim is pending.
func (l Leadership) WithClaiming() Leadership {
	l.role = Claiming
	return l
}

// WithWon makes this process the leader. sentAt is the time at which the claim was first sent; the tenure is
// counted from then. now is the time of the answer, which is later than any renewal of a predecessor; the
// wait for the predecessor's tenure is counted from then.
func (l Leadership) WithWon(sentAt, now time.Time, row *wire.LeaderRow, revision int64) Leadership {
	l.predecessorTenureMS = l.row.GetTenureMs()
	l.role = Leader
	l.row = row
	l.revision = revision
	l.bindingTenureMS = row.GetTenureMs()
	l.renewedAt = sentAt
	l.wonAt = now
	return l
}

// WithLost makes this process a follower that has to read the row before it may claim again. Its last known row
// is outdated; it may even be that no row existed.
func (l Leadership) WithLost() Leadership {
	l.role = Follower
	l.unchangedSince = time.Time{}
	return l
}

// -------------------------------------------------------------- leading

// Renewal returns the row that renews the leadership. Each renewal has the next number, so that a
// reading of the row shows which of several writes with lost answers took effect.
//
// A new tenure may be shorter than the one before, but not shorter than the longest lease granted: a
// successor that reads the shorter tenure must still wait until that lease has expired.
func (l Leadership) Renewal(tenure, longestLease time.Duration) *wire.LeaderRow {
	row := proto.CloneOf(l.row)
	row.Renewals++
	row.TenureMs = max(tenure, longestLease).Milliseconds()
	row.Released = false
	return row
}

// WithRenewing records that a renewal is pending. A shorter tenure binds the leader from now on, since the
// table may hold it at any moment.
func (l Leadership) WithRenewing(row *wire.LeaderRow) Leadership {
	l.bindingTenureMS = min(l.bindingTenureMS, row.GetTenureMs())
	return l
}

// Release returns the row that releases the leadership, for a planned stop.
func (l Leadership) Release() *wire.LeaderRow {
	row := proto.CloneOf(l.row)
	row.Renewals++
	row.Released = true
	return row
}

// WithRenewed records a renewal that is known to have taken effect. sentAt is the time at which it was last sent before
// the answer; the table may have applied it at that time.
func (l Leadership) WithRenewed(sentAt time.Time, row *wire.LeaderRow, revision int64) Leadership {
	l.row = row
	l.revision = revision
	l.bindingTenureMS = row.GetTenureMs()
	if sentAt.After(l.renewedAt) {
		l.renewedAt = sentAt
	}
	return l
}

// TenureEnd returns the time after which this leader grants no lease. No lease may end later than that.
func (l Leadership) TenureEnd() time.Time {
	return l.renewedAt.Add(time.Duration(l.bindingTenureMS) * time.Millisecond)
}

// MayGrant returns whether this process is the leader and within its tenure.
func (l Leadership) MayGrant(now time.Time) bool {
	return l.role == Leader && now.Before(l.TenureEnd())
}

// PredecessorLeasesEnd returns the time by which all leases of earlier leaders have expired, also on workers that
// this leader has not reached.
func (l Leadership) PredecessorLeasesEnd() time.Time {
	return l.wonAt.Add(WithMargin(time.Duration(l.predecessorTenureMS) * time.Millisecond))
}
