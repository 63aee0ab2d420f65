package hall

import (
	"fmt"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/leadership"
)

// Leadership: watching the row, claiming it, loading, and losing it.
// In the model: Leader.claim, Leader.renew, Leader.stepdown.

// renewShare is how many renewals, and readings by followers, fit into the
// takeover time.
const renewShare = 4

func (s *State) renewEvery() time.Duration { return s.fleet().Takeover / renewShare }

func (s *State) advanceLeadership(now time.Time) {
	switch s.lead.Role() {
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

func (s *State) follow(now time.Time) {
	if !s.drain && s.lead.MayClaim(now, s.fleet().Takeover) {
		s.claim(now)
		return
	}
	if !s.reads.leader && !now.Before(s.reads.leaderAt) {
		s.readLeader(now)
	}
}

func (s *State) readLeader(now time.Time) {
	if s.reads.leader {
		return
	}
	s.reads.leader = true
	s.reads.leaderAt = now.Add(s.renewEvery())
	s.emit(ReadLeader{})
}

func (s *State) takeLeader(now time.Time, e LeaderRead) {
	s.reads.leader = false
	if e.Err != nil {
		return
	}
	if s.pending != nil && s.pending.uncertain {
		s.settle(now, e)
		return
	}
	s.lead = s.lead.WithObserved(now, e.Row, e.Revision)
}

func (s *State) claim(now time.Time) {
	row := s.lead.Claim(s.fleet().Tenure)
	s.lead = s.lead.WithClaiming()
	s.send(now, &pendingCommit{
		kind:    claimCommit,
		row:     row,
		request: s.leaderWrite(row),
	})
}

// won begins a tenure. Everything remembered of workers belongs to an earlier
// epoch and is dropped.
func (s *State) won(now time.Time, p *pendingCommit, revision int64) {
	s.lead = s.lead.WithWon(p.sentAt, now, p.row, revision)
	s.phase = loading
	s.sequence = 0
	s.longestLease = 0
	s.reads.load = false
	s.reads.loadAt = now
	s.forget()
	for _, w := range s.workers {
		w.newEpoch()
	}
	s.note(now, s.hall, ClaimedLeadership, fmt.Sprintf("epoch %d", p.row.GetEpoch()))
}

// lost ends a tenure: some other process has claimed the row.
func (s *State) lost(now time.Time, why string) {
	if s.lead.Role() == leadership.Leader {
		s.note(now, s.hall, LostLeadership, why)
	}
	s.lead = s.lead.WithLost()
	s.phase = following
	s.pending = nil
	s.reads.leaderAt = now
	s.forget()
}

// checkTenure says once when a leader has been away from the table for so long
// that it may grant no more.
func (s *State) checkTenure(now time.Time) {
	if !s.lead.MayGrant(now) {
		s.note(now, s.hall, TenureOver, fmt.Sprintf("epoch %d", s.lead.Epoch()))
	}
}

// ---------------------------------------------------------------- loading

const loadRetry = 500 * time.Millisecond

func (s *State) load(now time.Time) {
	if s.phase != loading || s.reads.load || now.Before(s.reads.loadAt) {
		return
	}
	s.reads.load = true
	s.emit(Load{})
}

func (s *State) takeLoaded(now time.Time, e Loaded) {
	s.reads.load = false
	if s.phase != loading {
		return
	}
	if e.Err != nil {
		s.reads.loadAt = now.Add(loadRetry)
		return
	}
	for _, j := range e.Jobs {
		s.jobs[j.Row.GetKey()] = &job{row: j.Row, revision: j.Revision, tasks: map[string]*task{}}
	}
	for _, row := range e.Tasks {
		s.adopt(now, row)
	}
	for _, row := range e.Workers {
		s.worker(row.GetName()).registered = row.GetIncarnation()
	}
	s.phase = leading
	s.note(now, s.hall, LoadedState, fmt.Sprintf("epoch %d, %d tasks", s.lead.Epoch(), len(e.Tasks)))
}

// reload reads everything again after a conflict showed that what is in memory
// is not what is in the table. It is rare, so it is simple.
func (s *State) reload(now time.Time, why string) {
	s.note(now, s.hall, CommitConflict, why)
	s.phase = loading
	s.reads.load = false
	s.reads.loadAt = now
	s.forget()
}
