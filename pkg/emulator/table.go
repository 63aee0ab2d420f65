package emulator

import (
	"sort"
	"time"

	"github.com/wrenferry/wrenferry/pkg/request/cancellation"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// tableService is the emulated table. It is linearizable; answers may be lost or late, and a transaction may be
// applied seconds after it was sent.
type tableService struct {
	world *World
	rows  map[table.Key]table.Row
	// tables holds the keys of the rows of each table.
	tables  map[string]map[table.Key]struct{}
	version int64

	downUntil, losesUntil, slowUntil time.Time
}

// The timing of the emulated table.
const (
	// tableTimeout is how long a host waits for the table's answer.
	tableTimeout = 900 * time.Millisecond
	// tableServiceTime is how long the table takes for a request beside the network delay.
	tableServiceTime = 4 * time.Millisecond
)

func newTable(w *World) *tableService {
	return &tableService{world: w, rows: map[table.Key]table.Row{}, tables: map[string]map[table.Key]struct{}{}}
}

// storeTime returns the table's clock, which starts at one hour.
func (t *tableService) storeTime() time.Duration { return t.world.now.Sub(t.world.start) + time.Hour }

// members returns a cell's recorded membership, nil if there is none.
func (t *tableService) members(cell string) []*wire.RosterEntry {
	membership, err := rows.ReadMembership(cell, []table.Row{t.rows[rows.RosterKey(cell)]})
	if err != nil {
		return nil
	}
	return membership.GetEntries()
}

// commit sends a transaction from a host. done gets ok false if no answer arrives in time; the transaction may
// be applied all the same.
func (t *tableService) commit(from string, tx table.Transaction, done func(c table.CommitResult, ok bool)) {
	w := t.world
	if w.unreachable(from, "table") || w.now.Before(t.downUntil) {
		w.after(tableTimeout, func() { done(table.CommitResult{}, false) })
		return
	}
	delay := w.draws.messageDelay("table "+from) + tableServiceTime
	if w.now.Before(t.slowUntil) {
		delay = w.draws.between("slow table "+from, 200*time.Millisecond, 1200*time.Millisecond)
	}
	lost := w.now.Before(t.losesUntil) && w.draws.oneIn("lost table "+from, 3)
	if lost && w.draws.oneIn("lost table "+from, 2) {
		delay = w.draws.between("lost table "+from, time.Second, 6*time.Second) // also applied late
	}
	answered := false
	w.after(delay, func() {
		c := t.apply(tx)
		t.countKeptOut(c, delay)
		if lost {
			return
		}
		w.after(w.draws.messageDelay("table "+from), func() {
			if !answered {
				answered = true
				done(c, true)
			}
		})
	})
	w.after(tableTimeout, func() {
		if !answered {
			answered = true
			done(table.CommitResult{}, false)
		}
	})
}

// apply applies a transaction if all its conditions hold, and returns a conflict otherwise.
func (t *tableService) apply(tx table.Transaction) table.CommitResult {
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return t.conflict(tx)
		}
	}
	t.version++
	t.world.checker.checkSizes(tx)
	for _, r := range tx.Puts {
		r.Version = t.version
		t.rows[r.Key] = r
		if t.tables[r.Table] == nil {
			t.tables[r.Table] = map[table.Key]struct{}{}
		}
		t.tables[r.Table][r.Key] = struct{}{}
		t.world.checker.checkWrite(r)
	}
	for _, k := range tx.Removes {
		delete(t.rows, k)
		delete(t.tables[k.Table], k)
	}
	return table.CommitResult{Version: t.version, StoreTime: t.storeTime()}
}

// conflict returns the answer to a transaction whose conditions don't hold, with the rows found.
func (t *tableService) conflict(tx table.Transaction) table.CommitResult {
	c := table.CommitResult{Conflict: true, Version: t.version, StoreTime: t.storeTime()}
	for _, cond := range tx.Conditions {
		if r, ok := t.rows[cond.Key]; ok {
			c.Current = append(c.Current, r)
		} else {
			c.Current = append(c.Current, table.Row{Key: cond.Key})
		}
	}
	return c
}

// countKeptOut counts a transaction that met a tombstone after a delay.
func (t *tableService) countKeptOut(c table.CommitResult, delay time.Duration) {
	for _, r := range c.Current {
		anchor, err := cancellation.ReadAnchor(r.Key.Key, []table.Row{r})
		if err != nil || anchor.Status != cancellation.Tombstone {
			continue
		}
		t.world.InsertionsKeptOut++
		if delay > tableTimeout {
			t.world.LateInsertionsKeptOut++
		}
	}
}

// get reads one row. done gets ok false if there was no answer.
func (t *tableService) get(from string, key table.Key, done func(found []table.Row, ok bool)) {
	w := t.world
	if w.unreachable(from, "table") || w.now.Before(t.downUntil) {
		w.after(tableTimeout, func() { done(nil, false) })
		return
	}
	w.after(w.draws.messageDelay("table "+from)+tableServiceTime, func() {
		var found []table.Row
		if r, ok := t.rows[key]; ok {
			found = append(found, r)
		}
		w.after(w.draws.messageDelay("table "+from), func() { done(found, true) })
	})
}

// scan reads all rows of a table, sorted by key. done gets the table's time at the read, and ok false if there
// was no answer.
func (t *tableService) scan(from, name string, done func(rows []table.Row, at time.Duration, ok bool)) {
	w := t.world
	if w.unreachable(from, "table") || w.now.Before(t.downUntil) {
		w.after(tableTimeout, func() { done(nil, 0, false) })
		return
	}
	delay := w.draws.messageDelay("table "+from) + tableServiceTime
	if w.now.Before(t.slowUntil) {
		delay = w.draws.between("slow table "+from, 200*time.Millisecond, 800*time.Millisecond)
	}
	w.after(delay, func() {
		var list []table.Row
		for key := range t.tables[name] {
			list = append(list, t.rows[key])
		}
		sort.Slice(list, func(a, b int) bool { return list[a].Key.Part+list[a].Key.Key < list[b].Key.Part+list[b].Key.Key })
		at := t.storeTime()
		w.after(w.draws.messageDelay("table "+from), func() { done(list, at, true) })
	})
}
