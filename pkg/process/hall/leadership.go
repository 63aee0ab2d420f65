package hall

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/leadership"
)

// Leadership: reading the leader row, claiming it, loading the hall's rows, and
// losing the leadership. In the model: Leader.claim, Leader.renew,
// Leader.stepdown.

// renewalsPerTakeover is the number of renewals by the leader, and of reads by a
// follower, in the takeover time.
const renewalsPerTakeover = 4

// renewInterval returns the time between two renewals, or two reads by a follower.
func (s *State) renewInterval() time.Duration { return s.fleet().Takeover / renewalsPerTakeover }

// advanceLeadership does what is due in the present role.
func (s *State) advanceLeadership(now time.Time) {
	switch s.leadership.Role() {
	case leadership.Follower:
		s.follow(now)
	case leadership.Claiming:
		s.resend(now)
	case leadership.Leader:
		s.resend(now)
		s.load(now)
		s.readInboxes(now)
		s.checkTenure(now)
	}
}

// follow claims the leadership when it is free, and otherwise reads the leader row
// when a read is due.
func (s *State) follow(now time.Time) {
	if !s.draining && s.leadership.MayClaim(now, s.fleet().Takeover) {
		s.claim(now)
		return
	}
	if !s.reads.leaderPending && !now.Before(s.reads.nextLeaderRead) {
		s.readLeader(now)
	}
}

func (s *State) readLeader(now time.Time) {
	if s.reads.leaderPending {
		return
	}
	s.reads.leaderPending = true
	s.reads.nextLeaderRead = now.Add(s.renewInterval())
	s.emit(ReadLeader{})
}

// takeLeader handles a read of the leader row.
func (s *State) takeLeader(now time.Time, e LeaderRead) {
	s.reads.leaderPending = false
	if e.Err != nil {
		return
	}
	if s.pending != nil && s.pending.uncertain {
		s.resolveUncertain(now, e)
		return
	}
	s.leadership = s.leadership.WithObserved(now, e.Row, e.Revision)
}

// claim sends a commit that claims the leadership.
func (s *State) claim(now time.Time) {
	row := s.leadership.Claim(s.fleet().Tenure)
	s.leadership = s.leadership.WithClaiming()
	s.send(now, &pendingCommit{
		kind:    claimCommit,
		row:     row,
		request: s.leaderWrite(row),
	})
}

// leadershipWon begins a tenure. The state of workers comes from an earlier epoch
// and is dropped.
func (s *State) leadershipWon(now time.Time, p *pendingCommit, revision int64) {
	s.leadership = s.leadership.WithWon(p.sentAt, now, p.row, revision)
	s.phase = loading
	s.sequence = 0
	s.longestLease = 0
	s.reads.loadPending = false
	s.reads.nextLoad = now
	s.clearLoaded()
	for _, w := range s.workers {
		w.resetForEpoch()
	}
	s.note(now, s.hall, ClaimedLeadership, fmt.Sprintf("epoch %d", p.row.GetEpoch()))
}

// leadershipLost ends a tenure, or a claim that failed: another process has
// claimed the leader row.
func (s *State) leadershipLost(now time.Time, why string) {
	if s.leadership.Role() == leadership.Leader {
		s.note(now, s.hall, LostLeadership, why)
	}
	s.leadership = s.leadership.WithLost()
	s.phase = following
	s.pending = nil
	s.reads.nextLeaderRead = now
	s.clearLoaded()
}

// checkTenure notes, once, that the leader has been without the table for so
// long that it may grant no more leases.
func (s *State) checkTenure(now time.Time) {
	if !s.leadership.MayGrant(now) {
		s.note(now, s.hall, TenureOver, fmt.Sprintf("epoch %d", s.leadership.Epoch()))
	}
}

// ---------------------------------------------------------------- loading

// loadRetryDelay is the time from a failed load until the next.
const loadRetryDelay = 500 * time.Millisecond

// load asks for the hall's rows when the state is not loaded and a load is due.
func (s *State) load(now time.Time) {
	if s.phase != loading || s.reads.loadPending || now.Before(s.reads.nextLoad) {
		return
	}
	s.reads.loadPending = true
	s.emit(Load{})
}

// takeLoaded builds the state from the hall's rows. The process leads from then on.
func (s *State) takeLoaded(now time.Time, e Loaded) {
	s.reads.loadPending = false
	if s.phase != loading {
		return
	}
	if e.Err != nil {
		s.reads.nextLoad = now.Add(loadRetryDelay)
		return
	}
	for _, j := range e.Jobs {
		s.jobs[j.Row.GetKey()] = &job{row: j.Row, revision: j.Revision, tasks: map[string]*task{}}
	}
	for _, row := range e.Tasks {
		s.addLoadedTask(now, row)
	}
	for _, row := range e.Workers {
		s.worker(row.GetName()).registeredIncarnation = row.GetIncarnation()
	}
	s.phase = leading
	s.note(now, s.hall, LoadedState, fmt.Sprintf("epoch %d, %d tasks", s.leadership.Epoch(), len(e.Tasks)))
}

// reload discards the state and reads everything again, after a conflict has
// shown that memory and table differ. It is rare, so it is kept simple.
func (s *State) reload(now time.Time, why string) {
	s.note(now, s.hall, CommitConflict, why)
	s.phase = loading
	s.reads.loadPending = false
	s.reads.nextLoad = now
	s.clearLoaded()
}
