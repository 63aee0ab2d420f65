// Package registry decides which leader reads the worker registry on behalf of all, and what it passes on.
//
// Load pattern: each worker renews its row every two seconds, only to show that it lives. The registry can be read as a
// whole only, so with a leader in each hall every one of them would read the renewals of all workers. One leader reads
// them, and passes on to each other leader the rows of its halls that say something new.
//
// Package fleet makes the calls. This package does no I/O and reads no clock.
package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/pkg/table"
)

// MaxAge is the age up to which passed on rows count as recent: the registry is read each 0.3 s.
const MaxAge = time.Second

// Leader is the leader of a cell as a process knows it.
type Leader struct {
	Cell, Address string
	// Recent means that its last renewal is recent, Self that it is this process.
	Recent, Self bool
}

// Reader returns the leader that reads the registry: that of the first cell with a leader that is known to be alive, and
// not avoided.
func Reader(leaders []Leader, avoided func(cell string) bool) (Leader, bool) {
	byCell := func(a, b Leader) int { return strings.Compare(a.Cell, b.Cell) }
	for _, l := range slices.SortedFunc(slices.Values(leaders), byCell) {
		if (l.Self || (l.Recent && l.Address != "")) && !avoided(l.Cell) {
			return l, true
		}
	}
	return Leader{}, false
}

// Description is what a row says, apart from the worker being alive.
type Description struct {
	// Hall is the hall of the worker, "" if the row does not tell.
	Hall string
	// Content is the same for rows that say the same.
	Content string
}

// Position is how far a leader has read a Log. The zero value is its beginning.
type Position struct {
	// Log identifies the log, Serial is the number of the last change read.
	Log, Serial int64
}

// maxRemoved is the number of removed rows of a hall that a Log remembers.
const maxRemoved = 4096

// Log holds the rows of the registry, and in which order they changed what they say. It is not safe for concurrent use.
type Log struct {
	id, serial int64
	halls      map[string]*hallLog
	// hallOf holds the hall under which each row is kept, by key.
	hallOf map[string]string
}

// hallLog holds the rows of a hall by key, and their changes in order. A row's latest change is the one with its serial.
type hallLog struct {
	rows    map[string]*loggedRow
	changes []change
	removed int
	// complete is the serial from which on changes are complete.
	complete int64
}

type loggedRow struct {
	row         table.Row
	description Description
	serial      int64
}

type change struct {
	serial int64
	key    string
}

// NewLog returns an empty Log. The id should differ from those of all other logs.
func NewLog(id int64) *Log {
	return &Log{id: id, halls: map[string]*hallLog{}, hallOf: map[string]string{}}
}

// Apply takes changed rows. describe is called for those that were not removed. A row that no longer tells its hall stays
// with the hall that it told before, whose leader has to know that it is unusable.
func (l *Log) Apply(rows []table.Row, describe func(r table.Row) Description) {
	for _, r := range rows {
		key := r.Key.Key
		hall, known := l.hallOf[key]
		if r.Removed {
			if known {
				l.set(hall, r, Description{})
			}
			continue
		}
		d := describe(r)
		if known && d.Hall != hall && d.Hall != "" {
			l.set(hall, table.Row{Key: r.Key, Version: r.Version, Removed: true}, Description{})
			known = false
		}
		if !known {
			hall = d.Hall
		}
		if before := l.hall(hall).rows[key]; before != nil && !before.row.Removed && before.description == d {
			continue
		}
		l.set(hall, r, d)
	}
}

// set adds a change of a row of a hall.
func (l *Log) set(hall string, r table.Row, d Description) {
	l.serial++
	l.hallOf[r.Key.Key] = hall
	for _, key := range l.hall(hall).set(l.serial, r, d) {
		if l.hallOf[key] == hall {
			delete(l.hallOf, key)
		}
	}
}

func (l *Log) hall(name string) *hallLog {
	h := l.halls[name]
	if h == nil {
		h = &hallLog{rows: map[string]*loggedRow{}}
		l.halls[name] = h
	}
	return h
}

// set adds a change of a row, and returns the keys of the removed rows that are forgotten.
func (h *hallLog) set(serial int64, r table.Row, d Description) (forgotten []string) {
	key := r.Key.Key
	before := h.rows[key]
	if wasRemoved := before != nil && before.row.Removed; r.Removed && !wasRemoved {
		h.removed++
	} else if wasRemoved && !r.Removed {
		h.removed--
	}
	h.rows[key] = &loggedRow{row: r, description: d, serial: serial}
	h.changes = append(h.changes, change{serial: serial, key: key})
	if h.removed > maxRemoved {
		forgotten = h.forget()
	}
	if len(h.changes) > 2*len(h.rows)+64 {
		h.changes = slices.DeleteFunc(h.changes, func(c change) bool { return !h.isLatest(c) })
	}
	return forgotten
}

func (h *hallLog) isLatest(c change) bool {
	r := h.rows[c.key]
	return r != nil && r.serial == c.serial
}

// forget drops the older half of the removed rows. A leader that has not read them gets all rows.
func (h *hallLog) forget() []string {
	var keys []string
	for _, c := range h.changes {
		if h.removed <= maxRemoved/2 {
			break
		}
		if h.isLatest(c) && h.rows[c.key].row.Removed {
			delete(h.rows, c.key)
			h.removed--
			h.complete = c.serial
			keys = append(keys, c.key)
		}
	}
	return keys
}

// Size returns the number of rows that the Log holds, removed ones included.
func (l *Log) Size() int { return len(l.hallOf) }

// Since returns the rows of the given halls, and of no hall, that changed after a position, and the position up to which
// they are complete. whole means that they are all rows there are: the position is of another log, or too old.
func (l *Log) Since(at Position, halls []string) (rows []table.Row, next Position, whole bool) {
	names := append([]string{""}, halls...)
	whole = at.Log != l.id || at.Serial > l.serial
	for _, name := range names {
		if h := l.halls[name]; h != nil && at.Serial < h.complete {
			whole = true
		}
	}
	if whole {
		at.Serial = 0
	}
	for _, name := range names {
		if h := l.halls[name]; h != nil {
			rows = append(rows, h.since(at.Serial, whole)...)
		}
	}
	return rows, Position{Log: l.id, Serial: l.serial}, whole
}

func (h *hallLog) since(serial int64, whole bool) []table.Row {
	first, _ := slices.BinarySearchFunc(h.changes, serial+1, func(c change, s int64) int {
		switch {
		case c.serial < s:
			return -1
		case c.serial > s:
			return 1
		}
		return 0
	})
	var rows []table.Row
	for _, c := range h.changes[first:] {
		if r := h.rows[c.key]; h.isLatest(c) && !(whole && r.row.Removed) {
			rows = append(rows, r.row)
		}
	}
	return rows
}
