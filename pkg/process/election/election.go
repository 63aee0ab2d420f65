// Package election elects the leader of a cell by one row in the table.
//
// Package fleet keeps a Seat per cell: it passes in readings and write outcomes and sends the writes
// that the Seat returns. Every write is conditional on the version read, so one of two writers wins.
// The epoch rises with each change of holder, and the cell's workers refuse lower epochs. A leader that
// can't renew keeps leading for its tenure. A successor doesn't wait for that tenure to end: its
// epoch shuts the old leader out at each worker that the successor reaches.
//
// The package does no I/O and reads no clock. Package cell tracks what may run on unreached workers.
package election

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// renewInterval is the time between two renewals of the leader's row.
	renewInterval = 400 * time.Millisecond
	// additionInterval is the least time between a write and a membership that only names more workers. In a large cell
	// they come one by one for seconds, and each membership names all.
	additionInterval = renewInterval / 4
	// overdueAfter is the age of a renewal at which a host of the same hall takes over. It is
	// three renewal intervals, so that one lost answer doesn't depose the leader.
	overdueAfter = 1200 * time.Millisecond
	// otherHallOverdueAfter is the age of a renewal at which a host of another hall takes over. It is
	// longer than a network cut of a hall usually lasts, since hosts of other halls can't reach the hall's
	// workers during the cut either.
	otherHallOverdueAfter = 9 * time.Second
	// otherHallVacancyWait is the time for which a host of another hall leaves a vacant seat to
	// hosts of the seat's own hall.
	otherHallVacancyWait = 3 * time.Second
	// Tenure is the time for which a leader keeps leading without a renewal. It is longer than
	// the table's outages on the platform's sites (up to 9 s).
	Tenure = 12 * time.Second
	// handoverRequestWait is the time since its start after which a host asks a leader of another hall to hand over
	// a seat of the host's own hall.
	handoverRequestWait = 2 * time.Second
	// delayPerHeldSeat is a candidate's extra delay for each seat that it holds already.
	delayPerHeldSeat = 300 * time.Millisecond
)

// Role is the role of a process in the election of one seat.
type Role int

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Self describes this process.
type Self struct {
	// Incarnation identifies this incarnation of the process.
	Incarnation string
	Host        string
	Hall        string
	Address     string
	// Delay spreads the claims of candidates that have read the same row. It is in [0, 150 ms).
	Delay time.Duration
	// Since is the start of this process.
	Since time.Time
}

// Seat is one process's view of the leadership of one cell.
type Seat struct {
	cell, hall string
	self       Self

	// row is the leadership row as last read or written, or nil. version is its version in the table, readAt the time at
	// which this process got it.
	row     *wire.CellLead
	version int64
	readAt  time.Time
	// versionReadAt is when this process first got this version.
	versionReadAt time.Time
	// storeTimeAtRead is the table's clock at readAt.
	storeTimeAtRead time.Duration

	role Role
	// renewedAt is the time at which the last renewal that took effect was sent.
	renewedAt time.Time
	// renewalKnownAt is when this process learned that it took effect, ledSince when the leadership began.
	renewalKnownAt, ledSince time.Time
	// writePending means that the write of sentRow, sent at sentAt, has not been answered yet.
	writePending bool
	sentAt       time.Time
	sentRow      *wire.CellLead
	// sentMembership is the membership written together with sentRow, or nil.
	sentMembership *wire.CellRoster
	// releaseRequested is set by Release, handoverOffered by AcceptHandover.
	releaseRequested bool
	handoverOffered  bool
	// releasePrepared is set by PrepareRelease.
	releasePrepared bool
	// successor is the incarnation that the release names, or "".
	successor string
	// predecessorsSettled means that all runs started by predecessors are known or have certainly ended (Settled).
	predecessorsSettled bool
	// endedPredecessors holds the predecessors that are known to have ended, by holder.
	endedPredecessors map[string]bool
	// writtenMembers is the membership that this process wrote last while leading, or nil.
	writtenMembers []*wire.RosterEntry
	// mustReadRow means that the last write failed or has an unknown outcome, so the row has to be read before
	// the next write. Otherwise a losing candidate would keep writing over the version it knows, and each
	// write would make the readings under way too old to be used.
	mustReadRow bool
	// confirmed is set by WithConfirmedHandover, question is what this process knows from the leader itself.
	confirmed bool
	question  question
}

// Option configures a Seat.
type Option func(*Seat)

// WithConfirmedHandover makes the seat ask a leader before a claim because of its overdue renewal.
func WithConfirmedHandover() Option { return func(s *Seat) { s.confirmed = true } }

// New returns this process's view of the seat of a cell that belongs to the given hall.
func New(cell, hall string, self Self, options ...Option) *Seat {
	s := &Seat{cell: cell, hall: hall, self: self}
	for _, o := range options {
		o(s)
	}
	return s
}

// Write is a leadership row to write on condition that the table still holds Version. Membership is written
// in the same transaction; nil leaves the stored membership as it is.
type Write struct {
	Row        *wire.CellLead
	Version    int64
	Membership *wire.CellRoster
}

// Change is a change of the role; the zero Change is none.
type Change struct {
	// Gained is set when this process becomes the leader. ReplacedRow is the row that its claim replaced, or nil.
	Gained      bool
	ReplacedRow *wire.CellLead
	// ReplacedReadAt is when this process first read the version of the row that its claim replaced: the predecessor had
	// written the membership by then. It is zero if there was no row.
	ReplacedReadAt time.Time
	// Predecessors are the earlier leaders that are not known to have ended.
	Predecessors []Predecessor
	// Lost is set when this process stops leading. Reason is the reason.
	Lost   bool
	Reason string
}

// Role returns the present role of this process.
func (s *Seat) Role() Role { return s.role }

// ClaimPending returns whether this process has sent a claim whose outcome it doesn't know yet.
func (s *Seat) ClaimPending() bool { return s.role == Candidate }

// RenewedAt returns the time at which the last claim or renewal that took effect was sent. This process
// led the cell at that time.
func (s *Seat) RenewedAt() time.Time { return s.renewedAt }

// Row returns the row as last read or written, or nil.
func (s *Seat) Row() *wire.CellLead { return s.row }

// RenewalAge returns the time since the row's last renewal by the table's clock, or 0 without a row.
func (s *Seat) RenewalAge(now time.Time) time.Duration {
	if s.row == nil {
		return 0
	}
	return s.storeTime(now) - time.Duration(s.row.GetRenewedStoreMs())*time.Millisecond
}

// storeTime returns the table's clock at now, extrapolated from the last reading.
func (s *Seat) storeTime(now time.Time) time.Duration { return s.storeTimeAtRead + now.Sub(s.readAt) }

// RenewalIsRecent returns whether the last known row names a leader that has renewed recently and has not released the seat.
func (s *Seat) RenewalIsRecent(now time.Time) bool {
	return s.row != nil && !s.row.GetReleased() && s.RenewalAge(now) < overdueAfter
}

// RowRead handles a reading of the row; a nil row means that the table has none. store is the table's
// clock. A reading is ignored if a write is pending, if it was requested before the last write was sent,
// or if its version is older than the known one.
func (s *Seat) RowRead(now, askedAt time.Time, row *wire.CellLead, version int64, store time.Duration) Change {
	if s.writePending || askedAt.Before(s.sentAt) || version < s.version {
		return Change{}
	}
	s.mustReadRow = false
	before, beforeReadAt := s.row, s.versionReadAt
	if version != s.version {
		s.versionReadAt = now
	}
	s.row, s.version, s.readAt, s.storeTimeAtRead = row, version, now, store
	mine := row != nil && row.GetHolder() == s.self.Incarnation && !row.GetReleased()
	switch {
	case s.role == Leader && !mine:
		s.role = Follower
		return Change{Lost: true, Reason: "the leadership row names another leader"}
	case s.role == Candidate && mine && row.GetEpoch() == s.sentRow.GetEpoch():
		return s.becomeLeader(now, s.sentAt, before, beforeReadAt)
	case s.role == Leader && mine && s.sentRow != nil && row.GetRenewedStoreMs() == s.sentRow.GetRenewedStoreMs():
		s.renewedAt, s.renewalKnownAt = s.sentAt, now // the renewal took effect but its answer was lost
	case s.role == Candidate:
		s.role = Follower
	}
	return Change{}
}

// becomeLeader makes this process the leader. claimSentAt is the time at which its claim was sent, replaced the row that
// the claim replaced, replacedReadAt when this process first read that version of it.
func (s *Seat) becomeLeader(now, claimSentAt time.Time, replaced *wire.CellLead, replacedReadAt time.Time) Change {
	s.role, s.renewedAt, s.handoverOffered = Leader, claimSentAt, false
	s.releaseRequested, s.releasePrepared, s.successor = false, false, ""
	s.writtenMembers, s.predecessorsSettled, s.endedPredecessors = nil, false, nil
	s.renewalKnownAt, s.ledSince = now, now
	change := Change{Gained: true, ReplacedRow: replaced, Predecessors: s.predecessors(now)}
	if replaced != nil {
		change.ReplacedReadAt = replacedReadAt
	}
	return change
}

// PredecessorsSettled records that all runs started by predecessors are known or have certainly ended. Later renewals name no
// predecessors.
func (s *Seat) PredecessorsSettled() { s.predecessorsSettled = true }

// Expire ends the leadership if the last renewal is older than Tenure.
func (s *Seat) Expire(now time.Time) Change {
	if s.role == Leader && now.Sub(s.renewedAt) > Tenure {
		s.role = Follower
		return Change{Lost: true, Reason: "no renewal within the tenure"}
	}
	return Change{}
}

// AcceptHandover records that the present leader has asked this process to take the seat that it is releasing. A
// released seat is then claimed at once.
func (s *Seat) AcceptHandover() { s.handoverOffered = true }

// Release makes the next write give the seat up.
func (s *Seat) Release() { s.ReleaseTo("") }

// ReleaseTo makes the next write give the seat up to an incarnation that has agreed to lead next; "" names none.
func (s *Seat) ReleaseTo(successor string) { s.releaseRequested, s.successor = true, successor }

// NextWrite returns the write that is due, or nil. members lists the workers that may hold runs, or is nil while
// they are not known. held is the number of other seats that this process holds. A process that is leaving
// claims no seat.
func (s *Seat) NextWrite(now time.Time, members []*wire.RosterEntry, held int, leaving bool) *Write {
	if s.writePending || s.mustReadRow || s.readAt.IsZero() {
		return nil
	}
	if s.role == Leader {
		return s.renewal(now, members)
	}
	if leaving || !s.claimDue(now, held) || s.mustAskLeader(now) {
		return nil
	}
	row := &wire.CellLead{
		Cell: s.cell, Epoch: s.row.GetEpoch() + 1, Holder: s.self.Incarnation, Host: s.self.Host, Hall: s.self.Hall,
		Address: s.self.Address, RenewedStoreMs: s.storeTime(now).Milliseconds(), Earlier: predecessorsOfSuccessor(s.row, s.storeTime(now)),
	}
	row.EarlierStoreMs = latestUntil(row.GetEarlier())
	s.role = Candidate
	return s.startWrite(now, row, nil)
}

// renewal returns the leader's next write, or nil while none is due. A release, the first membership and an urgent change
// of the membership are written at once, added members within additionInterval, all else once per renewInterval.
func (s *Seat) renewal(now time.Time, members []*wire.RosterEntry) *Write {
	changed := members != nil && (s.writtenMembers == nil || !noUrgentChange(s.writtenMembers, members))
	if s.releasePrepared && !s.releaseRequested {
		return nil
	}
	interval := renewInterval
	switch {
	case s.releaseRequested || (changed && !onlyAdded(s.writtenMembers, members)):
		interval = 0
	case changed:
		interval = additionInterval
	}
	if now.Sub(s.sentAt) < interval {
		return nil
	}
	changed = changed || (members != nil && runsBetterKnown(s.writtenMembers, members))
	row, ok := proto.Clone(s.row).(*wire.CellLead)
	if !ok {
		return nil // unreachable: Clone returns the type of its argument
	}
	row.RenewedStoreMs = s.storeTime(now).Milliseconds()
	if row.Released = s.releaseRequested; row.Released {
		row.Successor = s.successor
	}
	row.Earlier = s.withoutEnded(row.GetEarlier())
	row.EarlierStoreMs = latestUntil(row.GetEarlier())
	if !changed {
		return s.startWrite(now, row, nil)
	}
	return s.startWrite(now, row, &wire.CellRoster{Cell: s.cell, Entries: members})
}

// onlyAdded returns whether a membership differs from the written one only by added members. Both are sorted alike.
func onlyAdded(written, members []*wire.RosterEntry) bool {
	next := 0
	for _, e := range members {
		if next < len(written) && e.GetId() == written[next].GetId() {
			if !noUrgentChange(written[next:next+1], []*wire.RosterEntry{e}) {
				return false
			}
			next++
		}
	}
	return next == len(written) && len(written) > 0
}

// noUrgentChange returns whether the membership has no change that must be written before the next renewal. Urgent changes
// are other members or incarnations, another leaving state, and runs at a worker that are no longer known.
func noUrgentChange(written, members []*wire.RosterEntry) bool {
	if len(written) != len(members) {
		return false
	}
	for i := range written {
		if written[i].GetId() != members[i].GetId() || written[i].GetBorn() != members[i].GetBorn() || written[i].GetLeaving() != members[i].GetLeaving() {
			return false
		}
		if written[i].GetRunsKnown() && !members[i].GetRunsKnown() {
			return false // the worker gets no work until the table no longer lists its runs as known
		}
	}
	return true
}

// runsBetterKnown returns whether the runs at some worker are newly known, or at most half of the tasks last written may
// still run there. Such a membership is written with the next renewal. Both lists have the same workers.
func runsBetterKnown(written, members []*wire.RosterEntry) bool {
	for i, e := range members {
		if e.GetRunsKnown() && (!written[i].GetRunsKnown() || 2*len(e.GetMayRun()) <= len(written[i].GetMayRun()) && len(written[i].GetMayRun()) > 0) {
			return true
		}
	}
	return false
}

// claimDue returns whether this process should claim the seat now.
func (s *Seat) claimDue(now time.Time, held int) bool {
	wait := s.self.Delay + time.Duration(held)*delayPerHeldSeat
	own := s.self.Hall == s.hall
	free := s.row == nil || s.row.GetReleased()
	named, reserved := s.reserved()
	if reserved {
		wait += successorHeadStart
	}
	switch {
	case named:
		return true
	case !free && s.row.GetHost() == s.self.Host:
		return true // an earlier incarnation on this host, or this process after its tenure
	case s.handoverOffered && free && !reserved:
		return true
	case free && own:
		return now.Sub(s.self.Since) >= wait && (s.row == nil || s.RenewalAge(now) >= wait)
	case free:
		return now.Sub(s.self.Since) >= otherHallVacancyWait+wait && (s.row == nil || s.RenewalAge(now) >= overdueAfter+wait)
	case own:
		return s.RenewalAge(now) >= overdueAfter+wait
	default:
		return s.RenewalAge(now) >= otherHallOverdueAfter+wait
	}
}

// ShouldRequestHandover returns whether to ask the present leader to hand the seat over: the leader is in another hall,
// and this host is in the seat's own hall and has been up for longer than handoverRequestWait.
func (s *Seat) ShouldRequestHandover(now time.Time) bool {
	return s.role == Follower && s.self.Hall == s.hall && s.row != nil && s.row.GetHall() != s.hall &&
		s.RenewalIsRecent(now) && now.Sub(s.self.Since) > handoverRequestWait
}

// startWrite records a pending write and returns it.
func (s *Seat) startWrite(now time.Time, row *wire.CellLead, membership *wire.CellRoster) *Write {
	s.writePending, s.sentAt, s.sentRow, s.sentMembership = true, now, row, membership
	return &Write{Row: row, Version: s.version, Membership: membership}
}

// RowWritten handles the outcome of a write: the row's new version, or 0 if the write failed or its outcome
// is unknown. After 0, the next reading of the row shows the outcome.
func (s *Seat) RowWritten(now time.Time, version int64) Change {
	s.writePending = false
	if version == 0 {
		s.mustReadRow = true
		if s.sentMembership != nil {
			s.writtenMembers = nil // the table may hold either the old or the new membership
		}
		return Change{}
	}
	before, beforeReadAt := s.row, s.versionReadAt
	s.row, s.version, s.versionReadAt = s.sentRow, version, now
	s.storeTimeAtRead, s.readAt = s.storeTime(now), now
	switch {
	case s.sentRow.GetReleased():
		s.role, s.releaseRequested = Follower, false
		return Change{Lost: true, Reason: "released"}
	case s.role == Candidate:
		return s.becomeLeader(now, s.sentAt, before, beforeReadAt)
	default:
		s.renewedAt, s.renewalKnownAt = s.sentAt, now
		if s.sentMembership != nil {
			s.writtenMembers = s.sentMembership.GetEntries()
		}
		return Change{}
	}
}
