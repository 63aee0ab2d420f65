package cell_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	recordedJob       = "00000000000000aa"
	recordedRetention = time.Minute
)

// recordedCell is a leader without workers, whose transactions a table in memory carries out.
type recordedCell struct {
	t     *testing.T
	now   time.Time
	state *cell.State
	table *jobTable
	// transactions is the number of transactions, unanswered that of those from now on that get no answer.
	transactions, unanswered int
}

// newRecordedCell returns the leader of the cell "hall", which has loaded a job.
func newRecordedCell(t *testing.T, spec *wire.JobSpec) *recordedCell {
	t.Helper()
	c := &recordedCell{t: t, now: time.Unix(1000, 0), table: &jobTable{rows: map[table.Key]table.Row{}}}
	c.state = cell.New("hall", cell.Bounds{Retention: recordedRetention}, cell.WithPeers([]string{"hall", "home"}))
	c.insert(spec)
	c.state.Take(c.now, cell.ManifestChanged{Manifest: testManifest})
	c.state.Take(c.now, cell.LeadershipGained{Epoch: 1, LeasesEndAt: c.now})
	c.state.Take(c.now, cell.Loaded{Epoch: 1, Fences: testFences(), Wall: c.now, Jobs: []cell.LoadedJob{{Spec: spec}}})
	return c
}

// recordedSpec returns the specification of a job of one task.
func recordedSpec() *wire.JobSpec {
	return &wire.JobSpec{Id: recordedJob, Cell: "hall", Queue: "offers", Service: "quotes", Steps: []*wire.StepSpec{{Count: 1, Millicores: 1000}}}
}

// insert puts the rows of a new job.
func (c *recordedCell) insert(spec *wire.JobSpec) {
	c.table.put(rows.Row(rows.SpecKey("hall", spec.GetId()), spec))
	if spec.GetHome() == "" {
		c.table.put(rows.Row(rows.AnchorKey(spec.GetId()), &wire.JobAnchor{Cell: "hall"}))
	}
}

// accept puts the rows of a new job, and lets the leader know of it.
func (c *recordedCell) accept(spec *wire.JobSpec) {
	c.insert(spec)
	c.state.Take(c.now, cell.JobAccepted{Spec: spec})
}

// cancel puts the row of a cancel, and lets the leader know of it.
func (c *recordedCell) cancel() {
	c.table.put(rows.Row(rows.CancelKey("hall", recordedJob), &wire.JobRef{Cell: "hall", Id: recordedJob}))
	c.state.Take(c.now, cell.CancelRequested{ID: recordedJob})
}

// write carries out the transactions that are due, and calls before with each of them before its answer, if it is not nil.
func (c *recordedCell) write(before func()) {
	c.t.Helper()
	c.state.Take(c.now, cell.LeadershipConfirmed{SentAt: c.now, Until: c.now.Add(10 * time.Second)})
	c.state.Take(c.now, cell.TableCaughtUp{At: c.now})
	c.state.Take(c.now, cell.Tick{})
	for _, e := range c.state.Decide(c.now, c.now) {
		w, ok := e.(cell.WriteProgress)
		if !ok {
			continue
		}
		for _, put := range w.Transaction.Puts {
			must.SliceNotContains(c.t, w.Transaction.Removes, put.Key)
		}
		c.transactions++
		answer := cell.WriteAnswered{Part: w.Part, Serial: w.Serial, Committed: c.table.commit(w.Transaction)}
		if c.unanswered > 0 {
			c.unanswered--
			answer = cell.WriteAnswered{Part: w.Part, Serial: w.Serial, Err: errors.New("no answer")}
		}
		if before != nil {
			before()
		}
		c.state.Take(c.now, answer)
	}
}

// writeFor carries out the transactions of some seconds.
func (c *recordedCell) writeFor(seconds int) {
	c.t.Helper()
	for range seconds {
		c.now = c.now.Add(time.Second)
		c.write(nil)
	}
}

// jobTable is a table in memory that holds no fences.
type jobTable struct {
	version int64
	rows    map[table.Key]table.Row
}

func (j *jobTable) put(r table.Row) {
	j.version++
	r.Version = j.version
	j.rows[r.Key] = r
}

func (j *jobTable) holds(k table.Key) bool {
	_, found := j.rows[k]
	return found
}

func (j *jobTable) commit(tx table.Transaction) table.CommitResult {
	done := table.CommitResult{}
	for _, c := range tx.Conditions {
		if c.Key.Table == rows.FenceTable {
			continue
		}
		r := j.rows[c.Key]
		r.Key = c.Key
		done.Current = append(done.Current, r)
		done.Conflict = done.Conflict || r.Version != c.Version
	}
	if done.Conflict {
		return done
	}
	j.version++
	for _, r := range tx.Puts {
		r.Version = j.version
		j.rows[r.Key] = r
	}
	for _, k := range tx.Removes {
		delete(j.rows, k)
	}
	done.Version = j.version
	return done
}
