package intake

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/acceptance"
	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// defaultCallerWait is the time for which a caller without a deadline waits.
	defaultCallerWait = 3 * time.Second
	// anchorReadTimeout bounds the reading of an anchor before a refusal. A reading takes 264 ms on a table that is 66
	// times slower than usual.
	anchorReadTimeout = 400 * time.Millisecond
	// leaderPause is the pause before the leaders are asked again. The last renewal that arrived counts as recent for
	// about 0.5 s after the table counts as away, so they are asked a few times.
	leaderPause = 100 * time.Millisecond
)

// tableState returns what this host knows of its calls to the table.
func (i *Intake) tableState() acceptance.Table { return acceptance.Table(i.store.Calls()) }

// insertConfirmed writes the job's rows as insert does. It repeats the transaction until its outcome is known, as package
// acceptance decides. The repetitions are the same transaction, so at most one of them takes effect.
func (i *Intake) insertConfirmed(ctx context.Context, began time.Time, spec *wire.JobSpec) error {
	id := spec.GetId()
	s := acceptance.New(began, clock.Deadline(ctx, clock.Now(), defaultCallerWait))
	if i.outcomes.open(id) {
		s = s.WithUnknown()
	}
	s, err := i.confirm(ctx, s, spec)
	code := fault.CodeOf(err)
	if err == nil {
		i.outcomes.settle(id)
	}
	if code == fault.Unknown {
		i.increment("accept.unknown")
	}
	if s.Calls() > 1 {
		outcome := "accepted"
		if err != nil {
			outcome = string(code)
		}
		i.log.WithFields(logrus.Fields{
			"job": id, "attempts": s.Calls(), "outcome": outcome, "ms": clock.Now().Sub(began).Milliseconds(),
		}).Info("job-accept-retried")
	}
	return err
}

// confirm carries out the steps of a submission until it is answered. It returns nil if the table holds the job.
func (i *Intake) confirm(ctx context.Context, s acceptance.Submission, spec *wire.JobSpec) (acceptance.Submission, error) {
	tx := insertion(spec)
	var last error
	for {
		if err := ctx.Err(); err != nil {
			// The caller has gone, or its time has ended.
			return s, unknownOutcome(spec.GetId(), err)
		}
		now := clock.Now()
		step := s.Next(now, i.tableState())
		switch step.Do {
		case acceptance.Wait:
			sleep(ctx, step.Pause)
		case acceptance.Look:
			if found, err := i.findAnchor(ctx, spec, s); found || err != nil {
				return s, err
			}
			s = s.WithLook()
		case acceptance.Refuse:
			err := i.refuse(ctx, s, spec, last)
			if fault.CodeOf(err) != fault.Unknown || i.outcomes.open(spec.GetId()) || !s.AsksAgain(clock.Now(), i.tableState()) {
				return s, err
			}
			sleep(ctx, leaderPause)
		case acceptance.AnswerUnknown:
			return s, unknownOutcome(spec.GetId(), last)
		case acceptance.Send, acceptance.SendByPeer:
			if s.Calls() > 0 {
				i.increment("accept.retries")
			}
			byPeer := step.Do == acceptance.SendByPeer
			i.outcomes.callBegins(spec.GetId())
			done, err := i.send(ctx, s, now, tx, byPeer)
			found, cancelled := false, error(nil)
			if err == nil {
				found, cancelled = i.holds(spec, s, now, done)
			}
			outcome := acceptance.NoAnswer
			if err != nil && fault.CodeOf(err) == fault.NotRun {
				outcome = acceptance.Refused
			}
			i.outcomes.callEnded(spec.GetId(), !found && cancelled == nil && outcome == acceptance.NoAnswer)
			if found || cancelled != nil {
				return s.WithSuccess(), cancelled
			}
			last, s = err, s.WithOutcome(clock.Now(), byPeer, outcome)
		}
	}
}

// send sends the transaction once.
func (i *Intake) send(ctx context.Context, s acceptance.Submission, now time.Time, tx table.Transaction, byPeer bool) (table.CommitResult, error) {
	if byPeer {
		return i.store.CommitByPeer(ctx, tx)
	}
	return i.store.CommitDirect(ctx, tx, func(at time.Time) bool { return s.KeepWaiting(at, now, i.tableState()) })
}

// holds returns whether an answered transaction shows that the table holds the job. It returns a NotRun fault if a tombstone
// has kept the job out.
func (i *Intake) holds(spec *wire.JobSpec, s acceptance.Submission, now time.Time, done table.CommitResult) (bool, error) {
	if !done.Conflict {
		i.cacheCell(spec.GetId(), spec.GetCell())
		i.notifyAccepted(spec)
		return true, nil
	}
	anchor, cancelled := i.readConflict(now, spec.GetId(), done)
	if anchor.Status != cancellation.Held {
		return false, cancelled
	}
	i.notifyIfWritten(spec, s, anchor.Cell)
	return true, nil
}

// findAnchor returns whether a reading of the table shows that it holds the job. It returns a NotRun fault if there is a
// tombstone.
func (i *Intake) findAnchor(ctx context.Context, spec *wire.JobSpec, s acceptance.Submission) (bool, error) {
	anchor, err := i.anchor(ctx, spec.GetId())
	switch {
	case err != nil || anchor.Status == cancellation.Absent:
		return false, nil // the submission goes on without knowing
	case anchor.Status == cancellation.Tombstone:
		return false, i.cancelledBefore(clock.Now(), spec.GetId(), anchor)
	}
	i.notifyIfWritten(spec, s, anchor.Cell)
	return true, nil
}

// notifyIfWritten notifies the leader of a job whose rows a call without an answer may have written.
func (i *Intake) notifyIfWritten(spec *wire.JobSpec, s acceptance.Submission, cell string) {
	if s.Unknown() && cell == spec.GetCell() {
		i.notifyAccepted(spec)
	}
}

// refuse returns the fault for a job that no call of this submission has written. It returns nil if an earlier submission
// was accepted, and fault.Unknown if that can't be excluded.
func (i *Intake) refuse(ctx context.Context, s acceptance.Submission, spec *wire.JobSpec, cause error) error {
	id := spec.GetId()
	state := i.tableState()
	away, absent := state.Away(clock.Now()), false
	if !away && s.MayRead(clock.Now(), state) {
		bounded, cancel := context.WithTimeout(ctx, anchorReadTimeout)
		defer cancel()
		anchor, err := i.anchor(bounded, id)
		switch {
		case err == nil && anchor.Status == cancellation.Held:
			return nil
		case err == nil && anchor.Status == cancellation.Tombstone:
			return i.cancelledBefore(clock.Now(), id, anchor)
		}
		absent = err == nil
	}
	if !absent {
		switch i.askLeaders(ctx, id) {
		case jobKnown:
			return nil
		case jobUncertain:
			return unknownOutcome(id, cause)
		case jobNotKnown:
		}
	}
	// Another submission of the job may have begun, and may have ended, since the row was read.
	if s.Unknown() || i.outcomes.open(id) {
		return unknownOutcome(id, cause)
	}
	if _, known := i.knownCell(id); known {
		return nil
	}
	f := fault.New(fault.NotRun, id, "the table did not take the job", "ask again")
	if away {
		i.increment("refused.table-away")
		f = fault.New(fault.NotRun, id, "the table is away", "ask again later").WithRetryAfter(acceptance.RetryAfter)
	}
	if cause != nil {
		f = f.WithCause(cause)
	}
	return f
}

// unknownOutcome returns the fault for a job that the table may hold or may yet come to hold.
func unknownOutcome(id string, cause error) error {
	f := fault.New(fault.Unknown, id, "the table did not say whether it took the job", "ask again with the same id")
	if cause != nil {
		f = f.WithCause(cause)
	}
	return f
}

// jobKnowledge is what the leaders of all cells say about a job.
type jobKnowledge int

const (
	jobNotKnown jobKnowledge = iota
	jobKnown
	jobUncertain
)

// askLeaders asks the leaders of all cells whether they know a job. The result is uncertain if a leader whose renewals
// arrive does not answer.
func (i *Intake) askLeaders(ctx context.Context, id string) jobKnowledge {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	cells := i.leaders.View().Cells
	answers := make(chan jobKnowledge, len(cells))
	for name, c := range cells {
		go func() {
			answer := i.askLeader(ctx, name, c, id)
			if answer == jobKnown {
				i.cacheCell(id, name)
			}
			if answer == jobUncertain && !c.Fresh && !c.Mine {
				answer = jobNotKnown
			}
			answers <- answer
		}()
	}
	all := jobNotKnown
	for range cells {
		switch answer := <-answers; answer {
		case jobKnown:
			return jobKnown
		case jobUncertain:
			all = jobUncertain
		case jobNotKnown:
		}
	}
	return all
}

// askLeader asks a cell's leader whether it knows a job. A process that does not lead the cell, or still loads it, gives the
// same answer as a leader that does not know the job, so that answer counts only from a process that led the cell before
// and after it.
func (i *Intake) askLeader(ctx context.Context, name string, c CellView, id string) jobKnowledge {
	leads := func() bool {
		l := i.fetchLoad(ctx, name, c, true) // a load without beliefs may have been made earlier
		return l.GetLeading() && l.GetCell() == name
	}
	ledBefore := leads()
	known, answered := i.leaderKnows(ctx, name, c, id)
	switch {
	case known:
		return jobKnown
	case ledBefore && answered && leads():
		return jobNotKnown
	}
	return jobUncertain
}

// leaderKnows returns whether a cell's leader knows a job, and whether it has answered.
func (i *Intake) leaderKnows(ctx context.Context, name string, c CellView, id string) (known, answered bool) {
	if c.Mine {
		_, known = i.leaders.Phase(ctx, name, id)
		return known, ctx.Err() == nil
	}
	if c.Address == "" {
		return false, false
	}
	p, err := i.peers.PeerClient(c.Address)
	if err != nil {
		return false, false
	}
	reply, err := p.State(ctx, &wire.JobRef{Cell: name, Id: id})
	return reply.GetKnown(), err == nil
}

// reportTable logs when the table has become unavailable to this host or available again, and returns whether it is
// unavailable.
func (i *Intake) reportTable(now time.Time, wasAway bool) bool {
	state := i.tableState()
	away := state.Away(now)
	switch {
	case away && !wasAway:
		i.log.WithField("ms", state.AwayFor(now).Milliseconds()).Warn("table-away")
	case !away && wasAway:
		i.log.Info("table-back")
	}
	return away
}

// sleep waits for the time span or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
