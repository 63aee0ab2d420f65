// Package quota decides the order in which tasks are placed, and whether a team may reserve more.
//
// Tasks with higher priority go first. Among equal priorities, the team with the smallest dominant share of the
// hall goes first (dominant-resource fairness). Within a team, the task with the longest wait goes first. Tasks of
// a team at its quota are skipped.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

// Limit is a team's quota. A resource with limit zero is unlimited.
type Limit = ledger.Size

// QueuedTask is one task in the queue.
type QueuedTask struct {
	ID       string
	Team     string
	Priority int
	Since    time.Time
	Size     ledger.Size
}

// Usage holds the reservations of each team in the hall.
type Usage map[string]ledger.Size

// Exceeds returns whether a task of the given size would take the team over its limit.
func Exceeds(used, size ledger.Size, limit Limit) bool {
	after := used.Plus(size)
	return exceeds(after.Millicores, limit.Millicores) ||
		exceeds(after.MemoryMB, limit.MemoryMB) ||
		exceeds(after.Accelerators, limit.Accelerators)
}

func exceeds(amount, limit int64) bool { return limit > 0 && amount > limit }

// SortQueue sorts the queue in place. It computes the shares once, before the round, because one round places few
// tasks compared with those already running.
func SortQueue(queue []QueuedTask, usage Usage, total ledger.Size) {
	shares := make(map[string]float64, len(usage))
	for team, used := range usage {
		shares[team] = used.DominantShare(total)
	}
	slices.SortStableFunc(queue, func(a, b QueuedTask) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(shares[a.Team], shares[b.Team]),
			a.Since.Compare(b.Since),
			cmp.Compare(a.ID, b.ID),
		)
	})
}
