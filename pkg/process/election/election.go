// Package election decides who leads a cell, by one row in the table.
//
// Package fleet has a Seat for each cell: readings and outcomes of writes come in, the next
// write comes out. Every write replaces the version that was read, so of two writers one wins;
// the epoch rises with each change of the holder, and the cell's workers refuse a lower one.
// A leader that can't renew goes on for its tenure. A successor does not wait for that: its
// epoch shuts the old leader out at each worker that it reaches.
//
// It makes no calls and reads no clock. What may run out of reach is package cell's concern.
package election

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// renewEvery is the time between two renewals.
	renewEvery = 400 * time.Millisecond
	// overdueAfter is how old a renewal may be before a host of the same hall
	// takes over: three renewals, so that one lost answer does not depose.
	overdueAfter = 1200 * time.Millisecond
	// elsewhereAfter is the same for hosts of other halls: longer than a cut of
	// a hall usually lasts, since they don't reach its workers then either.
	elsewhereAfter = 9 * time.Second
	// newcomerWait is how long a host of another hall leaves an empty seat to
	// hosts of the seat's own hall.
	newcomerWait = 3 * time.Second
	// Tenure is how long a leader goes on without a renewal: longer than the
	// table's outages on the platform's sites (up to 9 s).
	Tenure = 12 * time.Second
	// yieldWait is how long a host waits before it asks a leader of another
	// hall for its own hall's seat.
	yieldWait = 2 * time.Second
	// perSeat delays a candidate for each seat that it holds already.
	perSeat = 300 * time.Millisecond
)

// Role is what a process is to a seat.
type Role int

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Self says who this process is.
type Self struct {
	// Life names this life of this process.
	Life    string
	Host    string
	Hall    string
	Address string
	// Delay spreads candidates that see the same, in [0, 150 ms).
	Delay time.Duration
	Since time.Time
}

// Seat is one cell's leadership as one process sees it.
type Seat struct {
	cell, hall string
	self       Self

	row     *wire.CellLead
	version int64
	readAt  time.Time
	// storeAt is the store's clock at readAt.
	storeAt time.Duration

	role Role
	// renewedAt is when the last renewal that took effect was sent.
	renewedAt time.Time
	sending   bool
	sentAt    time.Time
	sent      *wire.CellLead
	// sentRoster went with it, nil for none.
	sentRoster *wire.CellRoster
	release    bool
	wanted     bool
	// settled says that leaders before this one are surely over.
	settled bool
	// over are the predecessors that are known to be over.
	over map[string]bool
	// roster is what this process wrote last of it while leading.
	roster []*wire.RosterEntry
	// stale says that the last write did not take effect, or may not have: the
	// row has to be read before the next one. (Else candidates that lost would
	// write over the version they knew, again and again, and each write would
	// make the readings that are under way too old to be used.)
	stale bool
}

// New returns the seat of a cell that belongs to a hall.
func New(cell, hall string, self Self) *Seat { return &Seat{cell: cell, hall: hall, self: self} }

// Write is a row to write over the version that was read, and with it the cell's
// roster, where that has changed.
type Write struct {
	Row     *wire.CellLead
	Version int64
	Roster  *wire.CellRoster
}

// Change is what became of the role.
type Change struct {
	// Led is set when this process begins to lead; Before is the row that it
	// replaced, nil for none.
	Led    bool
	Before *wire.CellLead
	// Predecessors are the leaders that are not known to be over.
	Predecessors []Predecessor
	// Lost is set when it ends to lead; Why says why.
	Lost bool
	Why  string
}

// Role returns the present role.
func (s *Seat) Role() Role { return s.role }

// Claiming says whether this process has claimed the seat and does not know yet whether it has won it.
func (s *Seat) Claiming() bool { return s.role == Candidate }

// RenewedAt is when the last write that took effect was sent: this process led
// the cell then.
func (s *Seat) RenewedAt() time.Time { return s.renewedAt }

// Row returns the row as last read, or nil.
func (s *Seat) Row() *wire.CellLead { return s.row }

// Age is how old the row's renewal is now.
func (s *Seat) Age(now time.Time) time.Duration {
	if s.row == nil {
		return 0
	}
	return s.storeNow(now) - time.Duration(s.row.GetRenewedStoreMs())*time.Millisecond
}

func (s *Seat) storeNow(now time.Time) time.Duration { return s.storeAt + now.Sub(s.readAt) }

// Fresh says whether somebody leads the cell as far as the last reading tells.
func (s *Seat) Fresh(now time.Time) bool {
	return s.row != nil && !s.row.GetReleased() && s.Age(now) < overdueAfter
}

// TakeRead takes in a reading of the row; a nil row means that there is none.
// A reading that was asked for before the last write was answered is not used.
func (s *Seat) TakeRead(now, askedAt time.Time, row *wire.CellLead, version int64, store time.Duration) Change {
	if s.sending || askedAt.Before(s.sentAt) || version < s.version {
		return Change{}
	}
	s.stale = false
	before := s.row
	s.row, s.version, s.readAt, s.storeAt = row, version, now, store
	mine := row != nil && row.GetHolder() == s.self.Life && !row.GetReleased()
	switch {
	case s.role == Leader && !mine:
		s.role = Follower
		return Change{Lost: true, Why: "the row names another leader"}
	case s.role == Candidate && mine && row.GetEpoch() == s.sent.GetEpoch():
		return s.won(now, s.sentAt, before)
	case s.role == Leader && mine && s.sent != nil && row.GetRenewedStoreMs() == s.sent.GetRenewedStoreMs():
		s.renewedAt = s.sentAt // the renewal whose answer was lost
	case s.role == Candidate:
		s.role = Follower
	}
	return Change{}
}

func (s *Seat) won(now, at time.Time, before *wire.CellLead) Change {
	s.role, s.renewedAt, s.wanted, s.release = Leader, at, false, false
	s.roster, s.settled, s.over = nil, false, nil
	return Change{Led: true, Before: before, Predecessors: s.predecessors(now)}
}

// Settled says that what leaders before this one started is known, or surely over.
func (s *Seat) Settled() { s.settled = true }

// Expire ends the role of a leader that has not renewed for its tenure.
func (s *Seat) Expire(now time.Time) Change {
	if s.role == Leader && now.Sub(s.renewedAt) > Tenure {
		s.role = Follower
		return Change{Lost: true, Why: "no renewal for the tenure"}
	}
	return Change{}
}

// Want says that this process was asked to take the seat that is being
// released.
func (s *Seat) Want() { s.wanted = true }

// Release asks for the seat to be given up with the next write.
func (s *Seat) Release() { s.release = true }

// Next returns the write that is due, or nil. roster are the workers that may hold runs,
// nil while that is not known; held is how many other seats this process holds.
func (s *Seat) Next(now time.Time, roster []*wire.RosterEntry, held int, leaving bool) *Write {
	if s.sending || s.stale || s.readAt.IsZero() {
		return nil
	}
	if s.role == Leader {
		return s.renewal(now, roster)
	}
	if leaving || !s.due(now, held) {
		return nil
	}
	row := &wire.CellLead{
		Cell: s.cell, Epoch: s.row.GetEpoch() + 1, Holder: s.self.Life, Host: s.self.Host, Hall: s.self.Hall,
		Address: s.self.Address, RenewedStoreMs: s.storeNow(now).Milliseconds(), Earlier: earlierLeaders(s.row, s.storeNow(now)),
	}
	row.EarlierStoreMs = lastUntil(row.GetEarlier())
	s.role = Candidate
	return s.send(now, row, nil)
}

func (s *Seat) renewal(now time.Time, roster []*wire.RosterEntry) *Write {
	changed := roster != nil && (s.roster == nil || !sameRoster(s.roster, roster))
	if !s.release && !changed && now.Sub(s.sentAt) < renewEvery {
		return nil
	}
	changed = changed || (roster != nil && tellsMoreRuns(s.roster, roster))
	row, ok := proto.Clone(s.row).(*wire.CellLead)
	if !ok {
		return nil // a clone has the type of what it is a clone of
	}
	row.RenewedStoreMs = s.storeNow(now).Milliseconds()
	row.Released = s.release
	row.Earlier = s.notOver(row.GetEarlier())
	row.EarlierStoreMs = lastUntil(row.GetEarlier())
	if !changed {
		return s.send(now, row, nil)
	}
	return s.send(now, row, &wire.CellRoster{Cell: s.cell, Entries: roster})
}

func sameRoster(a, b []*wire.RosterEntry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].GetId() != b[i].GetId() || a[i].GetBorn() != b[i].GetBorn() || a[i].GetLeaving() != b[i].GetLeaving() {
			return false
		}
		if a[i].GetRunsKnown() && !b[i].GetRunsKnown() {
			return false // the worker gets no work before this is recorded
		}
	}
	return true
}

// tellsMoreRuns says whether a membership tells more of what may run at its workers than the one that was written: of
// more of them, or that half of it is over. Such news goes with the next renewal.
func tellsMoreRuns(written, roster []*wire.RosterEntry) bool {
	for i, e := range roster {
		if e.GetRunsKnown() && (!written[i].GetRunsKnown() || 2*len(e.GetMayRun()) <= len(written[i].GetMayRun()) && len(written[i].GetMayRun()) > 0) {
			return true
		}
	}
	return false
}

// due says whether this process should try to take the seat.
func (s *Seat) due(now time.Time, held int) bool {
	wait := s.self.Delay + time.Duration(held)*perSeat
	own := s.self.Hall == s.hall
	free := s.row == nil || s.row.GetReleased()
	switch {
	case !free && s.row.GetHost() == s.self.Host:
		return true // an earlier life of this very host, or its own lapsed tenure
	case s.wanted && free:
		return true
	case free && own:
		return now.Sub(s.self.Since) >= wait && (s.row == nil || s.Age(now) >= wait)
	case free:
		return now.Sub(s.self.Since) >= newcomerWait+wait && (s.row == nil || s.Age(now) >= overdueAfter+wait)
	case own:
		return s.Age(now) >= overdueAfter+wait
	default:
		return s.Age(now) >= elsewhereAfter+wait
	}
}

// AskYield says whether to ask the present leader for the seat: it leads from
// another hall, and this host of the seat's own hall has been up for a while.
func (s *Seat) AskYield(now time.Time) bool {
	return s.role == Follower && s.self.Hall == s.hall && s.row != nil && s.row.GetHall() != s.hall &&
		s.Fresh(now) && now.Sub(s.self.Since) > yieldWait
}

func (s *Seat) send(now time.Time, row *wire.CellLead, roster *wire.CellRoster) *Write {
	s.sending, s.sentAt, s.sent, s.sentRoster = true, now, row, roster
	return &Write{Row: row, Version: s.version, Roster: roster}
}

// TakeWritten takes in the outcome of a write: its new version, or 0 when it
// did not take effect or nobody knows. In both cases the next reading tells.
func (s *Seat) TakeWritten(now time.Time, version int64) Change {
	s.sending = false
	if version == 0 {
		s.stale = true
		if s.sentRoster != nil {
			s.roster = nil // it may stand in the table, and what stood there before may not
		}
		return Change{}
	}
	before := s.row
	s.row, s.version = s.sent, version
	s.storeAt, s.readAt = s.storeNow(now), now
	switch {
	case s.sent.GetReleased():
		s.role, s.release = Follower, false
		return Change{Lost: true, Why: "released"}
	case s.role == Candidate:
		return s.won(now, s.sentAt, before)
	default:
		s.renewedAt = s.sentAt
		if s.sentRoster != nil {
			s.roster = s.sentRoster.GetEntries()
		}
		return Change{}
	}
}
