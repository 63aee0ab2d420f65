package fleet

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/idletimeout"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
)

const (
	// adviceTimeout is the timeout of a call to the advisor, which takes some ms a worker.
	adviceTimeout = 3 * time.Second
)

// leadershipTransaction returns the transaction that writes a cell's leadership row, and its membership if the
// write has one.
func leadershipTransaction(cellName string, w election.Write) table.Transaction {
	key := rows.LeadKey(cellName)
	tx := table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: w.Version}},
		Puts:       []table.Row{rows.Row(key, w.Row)},
	}
	if w.Membership != nil {
		tx.Puts = append(tx.Puts, rows.MembershipRows(w.Membership)...)
	}
	return tx
}

// execute starts an effect of a cell. The outcome comes back as a message.
func (c *Control) execute(ctx context.Context, now time.Time, s *localCell, e cell.Effect) {
	name := s.name
	switch e := e.(type) {
	case cell.Note:
		c.logNote(name, e)
	case cell.StepDown:
		s.state.Take(now, cell.LeadershipLost{Why: e.Why})
		s.needsDecision = true
	case cell.Load:
		go c.load(ctx, name, e.Epoch)
	case cell.SendPoll:
		go c.sendPoll(ctx, name, e, now)
	case cell.ReadInventory:
		go c.readInventory(ctx, name)
	case cell.SendStart:
		go c.sendStart(ctx, name, e)
	case cell.SendStop:
		go c.sendStop(ctx, name, e)
	case cell.SendPace:
		go c.sendPace(ctx, name, e)
	case cell.WriteProgress:
		go c.writeProgress(ctx, name, e)
	case cell.NotifyLeader:
		go c.notifyLeader(ctx, e)
	case cell.SendAdviceRequest:
		go c.sendAdvice(ctx, name, e)
	}
}

const (
	// latePollTime is how long a poll is read after its time-out: as long as a worker may take to carry a call out. The ends in
	// an answer hold whenever it is read.
	latePollTime = 2 * time.Second
	// maxOwnDelay bounds by how much a call may exceed its time-out because this process has no processor.
	maxOwnDelay = 2 * time.Second
)

// sendPoll polls a worker. A time-out is reported at once, and an answer after it as a late one.
func (c *Control) sendPoll(ctx context.Context, name string, e cell.SendPoll, sentAt time.Time) {
	lag := c.lag.Join()
	answer := cell.PollAnswered{Worker: e.To.ID, SentAt: sentAt}
	poll := func(ctx context.Context) cell.PollAnswered {
		a := answer
		a.Report, a.Refusal, a.Err = c.caller.Poll(ctx, e.To, e.Poll)
		return a
	}
	answered, late := idletimeout.Call(ctx, e.Timeout, latePollTime, poll, func() {
		a := answer
		a.Lag, a.Err = lag.Lag(), fault.New(fault.Unknown, e.To.ID, "no answer in "+e.Timeout.String(), "")
		c.countCall("look", a.Refusal, a.Err)
		c.send(cellEvent{name, a})
	})
	answered.Lag, answered.Late = lag.End(), late
	if late && answered.Err != nil {
		return
	}
	if !late {
		c.countCall("look", answered.Refusal, answered.Err)
	}
	c.send(cellEvent{name, answered})
}

// orderContext returns the context of an order to a worker. A time for which this process has no processor counts as a third of
// the time-out at most (package idletimeout).
func orderContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return idletimeout.WithIdleTimeout(ctx, timeout, timeout+maxOwnDelay)
}

func (c *Control) sendStart(ctx context.Context, name string, e cell.SendStart) {
	ctx, cancel := orderContext(ctx, e.Timeout)
	defer cancel()
	began, lag := clock.Now(), c.lag.Begin()
	reply, err := c.caller.Start(ctx, e.To, e.Start)
	roundTrip, waited := clock.Now().Sub(began), lag.End()
	metrics.GetOrRegisterTimer("worker.start", c.metrics).Update(roundTrip)
	c.countCall("start", reply.Refusal, err)
	c.send(cellEvent{name, cell.StartAnswered{Worker: e.To.ID, Task: e.Start.Task, Run: e.Start.Run, Reply: reply, Err: err, RoundTrip: roundTrip, Lag: min(waited, roundTrip), Bytes: e.Bytes}})
}

func (c *Control) sendStop(ctx context.Context, name string, e cell.SendStop) {
	ctx, cancel := orderContext(ctx, e.Timeout)
	defer cancel()
	reply, err := c.caller.Stop(ctx, e.To, e.Stop)
	c.countCall("stop", reply.Refusal, err)
	c.send(cellEvent{name, cell.StopAnswered{Worker: e.To.ID, Reply: reply, Err: err}})
}

func (c *Control) sendPace(ctx context.Context, name string, e cell.SendPace) {
	ctx, cancel := orderContext(ctx, e.Timeout)
	defer cancel()
	reply, err := c.caller.Pace(ctx, e.To, e.Pace)
	c.countCall("pace", reply.Refusal, err)
	c.send(cellEvent{name, cell.PaceAnswered{
		Worker: e.To.ID, Task: e.Pace.Task, Run: e.Pace.Run, Percent: e.Pace.Percent, Reply: reply, Err: err,
	}})
}

func (c *Control) sendAdvice(ctx context.Context, name string, e cell.SendAdviceRequest) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	tickets, err := c.advisor.Advise(ctx, e.Unit, e.Workers)
	c.countCall("advise", workers.NotRefused, err)
	c.send(cellEvent{name, cell.AdviceAnswered{Unit: e.Unit, Tickets: tickets, Err: err}})
}

// notifyTimeout is the timeout of a notification to another cell's leader, for which nobody waits. A leader that has no processor
// for a while takes it late.
const notifyTimeout = 2 * time.Second

// notifyLeader notifies the leader of another cell of a change that is recorded in the table.
func (c *Control) notifyLeader(ctx context.Context, e cell.NotifyLeader) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	view := c.View().Cells[e.Cell]
	var err error
	switch {
	case view.Mine:
		c.notifyLocal(e)
	default:
		err = c.notifyPeer(ctx, view.Address, e)
	}
	outcome := "ok"
	if err != nil {
		outcome = "unanswered" // that leader reads the change from the table
	}
	metrics.GetOrRegisterCounter("tell."+outcome, c.metrics).Inc(1)
}

// notifyLocal notifies a cell that this process leads.
func (c *Control) notifyLocal(e cell.NotifyLeader) {
	switch {
	case e.Delegated != nil:
		c.JobAccepted(e.Delegated)
	case e.Returned != nil:
		c.TasksReturned(e.Returned)
	default:
		c.CancelRequested(e.Cell, e.Cancelled)
	}
}

// writeProgress commits a transaction of a cell and reports the outcome to the cell.
func (c *Control) writeProgress(ctx context.Context, name string, e cell.WriteProgress) {
	began := clock.Now()
	done, err := c.store.Commit(ctx, e.Transaction)
	metrics.GetOrRegisterTimer("record", c.metrics).UpdateSince(began)
	c.send(cellEvent{name, cell.WriteAnswered{Part: e.Part, Serial: e.Serial, Committed: done, Err: err}})
}

// countCall counts a call to a worker or to the advisor by its outcome.
func (c *Control) countCall(call string, refusal workers.Refusal, err error) {
	outcome := "ok"
	switch {
	case err != nil:
		outcome = "unanswered"
	case refusal != workers.NotRefused:
		outcome = "refused." + string(refusal)
	}
	metrics.GetOrRegisterCounter("worker."+call+"."+outcome, c.metrics).Inc(1)
}

// logNote logs a note of a cell and counts it by its kind.
func (c *Control) logNote(name string, n cell.Note) {
	fields := logrus.Fields{"cell": name}
	add := func(key, value string) {
		if value != "" {
			fields[key] = value
		}
	}
	add("job", n.Job)
	add("task", n.Task)
	add("worker", n.Worker)
	add("detail", n.Detail)
	add("code", string(n.Code))
	if n.Run != 0 {
		fields["run"] = n.Run
	}
	if n.AgeMs >= 0 {
		fields["age_ms"] = n.AgeMs
	}
	if n.Reason != "" {
		fields["reason"], fields["fits_here"], fields["fits_elsewhere"] = string(n.Reason), n.FitsHere, n.FitsElsewhere
	}
	if n.Left > 0 {
		fields["left_ms"] = n.Left.Milliseconds()
	}
	add("kept_for", n.KeptFor)
	metrics.GetOrRegisterCounter("note."+string(n.Kind), c.metrics).Inc(1)
	c.log.WithFields(fields).Info(string(n.Kind))
}
