package intake

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// countSource says where a cell's pending count comes from.
type countSource string

const (
	fromLoad   countSource = "load"             // the last load that is known of the cell
	fromLeader countSource = "leader"           // the leader, asked for this answer
	fromRelay  countSource = "table, by relay"  // the table, counted by a relay
	fromTable  countSource = "table, this host" // the table, counted by this host
)

// cellCount is a queue's pending count in one cell.
type cellCount struct {
	cell    string
	pending int
	source  countSource
	// age is the time since the load was told or the table counted.
	age time.Duration
	// epoch is that of the leader, 0 if it is not known. tableReadAge is the time since that leader had read the cell's new
	// jobs.
	epoch        int64
	tableReadAge time.Duration
}

// countOfLoad returns a queue's pending count by a load that was told some time ago.
func countOfLoad(name string, source countSource, age time.Duration, l *wire.CellLoad, queue string) cellCount {
	return cellCount{
		cell: name, pending: int(l.GetPending()[queue]), source: source, age: age,
		epoch: l.GetEpoch(), tableReadAge: age + time.Duration(l.GetTableReadMs())*time.Millisecond,
	}
}

// upToDate returns whether the count of a leader holds all jobs that must be visible. Leaders of earlier versions don't tell
// when they have read their tables.
func (c cellCount) upToDate() bool {
	return c.epoch == 0 || c.tableReadAge+maxMessageAge <= maxReadingAge
}

// String renders the count for the log.
func (c cellCount) String() string {
	text := fmt.Sprintf("%s %d (%s, %d ms", c.cell, c.pending, c.source, c.age.Milliseconds())
	if c.epoch != 0 {
		text += fmt.Sprintf(", epoch %d, table read %d ms ago", c.epoch, c.tableReadAge.Milliseconds())
	}
	return text + ")"
}

const (
	// notableChange is the least difference between two answers that is logged, if one of them is also under half of the other.
	notableChange = 3
	// pendingLogInterval is the least time between two such log lines on a queue.
	pendingLogInterval = 250 * time.Millisecond
)

// pendingAnswer is the last answer on a queue, and when one was last logged.
type pendingAnswer struct {
	sum      int
	loggedAt time.Time
}

// logPending logs how an answer was put together that differs much from the last one on the queue.
func (i *Intake) logPending(now time.Time, queue string, sum int, counts []cellCount) {
	i.mu.Lock()
	last, known := i.pendingAnswers[queue]
	low, high := min(last.sum, sum), max(last.sum, sum)
	notable := known && high-low >= notableChange && 2*low < high && now.Sub(last.loggedAt) >= pendingLogInterval
	next := pendingAnswer{sum: sum, loggedAt: last.loggedAt}
	if notable {
		next.loggedAt = now
	}
	i.pendingAnswers[queue] = next
	i.mu.Unlock()
	if !notable {
		return
	}
	list := make([]string, 0, len(counts))
	for _, c := range counts {
		list = append(list, c.String())
	}
	i.log.WithFields(logrus.Fields{
		"queue": queue, "pending": sum, "before": last.sum, "detail": strings.Join(list, ", "),
	}).Info("pending-changed")
}
