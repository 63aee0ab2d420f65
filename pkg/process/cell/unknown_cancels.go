package cell

import (
	"maps"
	"slices"

	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
)

// Cancels of jobs that never become known here. Their rows are removed with the next transaction of their part.

// addUnknownCancels adds the removal of cancels of unknown jobs to a transaction, as many as it takes.
func (s *State) addUnknownCancels(p *partWriter, tx table.Transaction) table.Transaction {
	for _, id := range slices.Sorted(maps.Keys(p.unknownCancels)) {
		if tx.Entries() >= maxTransactionEntries {
			break
		}
		tx.Removes = append(tx.Removes, rows.CancelKey(s.name, id))
		p.sentCancels = append(p.sentCancels, id)
		delete(p.unknownCancels, id)
	}
	return tx
}

// requeueCancels queues the cancels of a failed transaction for another try.
func (p *partWriter) requeueCancels() {
	for _, id := range p.sentCancels {
		p.unknownCancels[id] = struct{}{}
	}
	p.sentCancels = nil
}
