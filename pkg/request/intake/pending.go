package intake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
)

const (
	// maxPendingAge is the largest age of a known load whose count is used, and of a count in the table. Callers are promised
	// two seconds.
	maxPendingAge = time.Second
	// maxReadingAge is the largest time since a leader has read its cell's new jobs at which its count is used: it does not
	// know jobs accepted since, if their notifications were lost. Callers are promised that a job is visible within three
	// seconds; the two seconds that an answer may be old come on top.
	maxReadingAge = 3 * time.Second
	// maxMessageAge is how old a load message can be when it arrives: a leader sends it again for a tenth of a second, and it
	// may be on its way for as long as a call may take.
	maxMessageAge = 100*time.Millisecond + peerTimeout
)

// Pending returns the number of a queue's accepted jobs of which no task has begun. The counts
// come from the cells' leaders, or from the table where a leader can't be reached. If neither
// can be read the result is an error: a sum without a cell would mean that its jobs have begun.
func (i *Intake) Pending(ctx context.Context, now time.Time, queue string) (int, error) {
	sum := 0
	view := i.leaders.View()
	var counts []cellCount
	for _, name := range slices.Sorted(maps.Keys(view.Cells)) {
		c, err := i.pendingInCell(ctx, now, name, view.Cells[name], queue)
		if err != nil {
			return 0, err
		}
		sum += c.pending
		counts = append(counts, c)
	}
	i.logPending(now, queue, sum, counts)
	return sum, nil
}

// pendingInCell returns a queue's pending count in one cell: from the known load if it is fresh, otherwise from the
// leader, otherwise from the table. The count of a leader that has not read its table for too long is not used.
func (i *Intake) pendingInCell(ctx context.Context, now time.Time, name string, c CellView, queue string) (cellCount, error) {
	i.mu.Lock()
	known, age := i.board.Load(now, name)
	i.mu.Unlock()
	if known != nil && age <= maxPendingAge {
		if count := countOfLoad(name, fromLoad, age, known, queue); count.upToDate() {
			return count, nil
		}
	}
	askCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if reported := i.fetchLoad(askCtx, name, c, false); reported.GetLeading() && reported.GetCell() == name {
		i.applyLoad(now, reported)
		if count := countOfLoad(name, fromLeader, 0, reported, queue); count.upToDate() {
			return count, nil
		}
		i.increment("pending-leader-late")
	}
	counted, err := i.pendingFromTable(ctx, now, name)
	if err != nil {
		return cellCount{}, err
	}
	return cellCount{cell: name, pending: counted.byQueue[queue], source: counted.source, age: now.Sub(counted.readAt)}, nil
}

// tableCount holds the pending counts of a cell's queues as counted in the table at readAt.
type tableCount struct {
	byQueue map[string]int
	readAt  time.Time
	source  countSource
}

// sharedCount is the last count of a cell in the table.
type sharedCount struct {
	mu   sync.Mutex
	last tableCount
}

// pendingFromTable returns the pending counts of a cell's queues from the table, counted by a relay or by this host.
func (i *Intake) pendingFromTable(ctx context.Context, now time.Time, name string) (tableCount, error) {
	return i.sharedCount(now, name, func() (tableCount, error) {
		if i.exchange != nil {
			if counts, readAt, ok := i.exchange.Pending(ctx, name); ok {
				return tableCount{byQueue: counts, readAt: readAt, source: fromRelay}, nil
			}
		}
		return i.countNow(ctx, now, name)
	})
}

// CountPending returns the pending counts of a cell's queues as this host has counted them in the table, and when it did.
func (i *Intake) CountPending(ctx context.Context, now time.Time, name string) (counts map[string]int, readAt time.Time, err error) {
	c, err := i.sharedCount(now, name, func() (tableCount, error) { return i.countNow(ctx, now, name) })
	return c.byQueue, c.readAt, err
}

// sharedCount returns the counts of a cell's queues. A count reads all parts of two tables, so callers that come at the same
// time, or soon after, share one.
func (i *Intake) sharedCount(now time.Time, name string, count func() (tableCount, error)) (tableCount, error) {
	i.mu.Lock()
	c := i.tableCounts[name]
	if c == nil {
		c = &sharedCount{}
		i.tableCounts[name] = c
	}
	i.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.last.readAt) <= maxPendingAge {
		return c.last, nil
	}
	counted, err := count()
	if err != nil {
		return tableCount{readAt: now}, err
	}
	c.last = counted
	return counted, nil
}

// countNow counts the pending jobs of a cell's queues in the table.
func (i *Intake) countNow(ctx context.Context, now time.Time, name string) (tableCount, error) {
	counts, err := i.countPendingInTable(ctx, name)
	if err != nil {
		return tableCount{}, err
	}
	i.increment("pending-from-table")
	i.log.WithFields(logrus.Fields{"cell": name, "counts": counts}).Info("pending-from-table")
	return tableCount{byQueue: counts, readAt: now, source: fromTable}, nil
}

// countPendingInTable counts, by queue, the jobs in the table of which no task is known to have begun.
func (i *Intake) countPendingInTable(ctx context.Context, cell string) (map[string]int, error) {
	counts := map[string]int{}
	for p := range rows.JobParts {
		part := rows.PartName(p)
		specs, err := table.ReadAll(ctx, i.store, rows.SpecTable(cell), part)
		if err != nil {
			return nil, err
		}
		progress, err := table.ReadAll(ctx, i.store, rows.ProgressTable(cell), part)
		if err != nil {
			return nil, err
		}
		rows.AddPending(counts, specs.Rows, progress.Rows)
	}
	return counts, nil
}
