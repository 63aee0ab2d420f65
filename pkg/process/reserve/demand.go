// Package reserve decides how much capacity a cell keeps for urgent tasks, and which lasting tasks yield or are stopped for
// it. Package cell carries that out. The package makes no calls and reads no clock. Its types belong to one thread.
//
// Load pattern: lasting tasks reserve most processors for a minute. Urgent tasks of less than a second come in waves, 11 to
// 13 s apart, and need capacity at once in gaps of their own size; what lasting tasks leave free is in smaller gaps. So gaps
// are counted worker by worker, and the demand of one wave is remembered until the next.
//
// Callers of lasting tasks accept six seconds without a run, which limits how long these yield. Stops are limited to a share
// of the lasting tasks, and to the tasks of each step that may be away at the same time.
package reserve

import (
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/ledger"
)

const (
	// demandSpan is how long a peak of urgent tasks is remembered: longer than the time between two waves.
	demandSpan = 15 * time.Second
	// slotSpan is the time within which only the highest of several counts is kept.
	slotSpan = 500 * time.Millisecond
	// usualSizePercent is the percentage of urgent tasks that are at most as large as a gap.
	usualSizePercent = 80
)

// slot holds the sizes of the urgent tasks at the time with the most of them, within slotSpan.
type slot struct {
	from  time.Time
	tasks int
	sizes map[ledger.Size]int
}

// Demand remembers how many urgent tasks were running or waiting at the same time, and their sizes.
type Demand struct {
	slots   []slot
	size    ledger.Size
	changed bool
}

// Observe records the urgent tasks that run or wait now, as numbers by size.
func (d *Demand) Observe(now time.Time, present map[ledger.Size]int) {
	if old := slices.IndexFunc(d.slots, func(s slot) bool { return now.Sub(s.from) < demandSpan }); old != 0 && len(d.slots) > 0 {
		if old < 0 {
			old = len(d.slots)
		}
		d.slots, d.changed = slices.Delete(d.slots, 0, old), true
	}
	tasks := 0
	for _, n := range present {
		tasks += n
	}
	if tasks == 0 {
		return
	}
	if last := len(d.slots) - 1; last < 0 || now.Sub(d.slots[last].from) >= slotSpan {
		d.slots = append(d.slots, slot{from: now})
	}
	if last := &d.slots[len(d.slots)-1]; tasks > last.tasks {
		last.tasks, last.sizes, d.changed = tasks, maps.Clone(present), true
	}
}

// Peak returns the highest number of urgent tasks at the same time within demandSpan.
func (d *Demand) Peak() int {
	peak := 0
	for _, s := range d.slots {
		peak = max(peak, s.tasks)
	}
	return peak
}

// Wanted returns how many gaps are to be free while a number of urgent tasks runs.
func (d *Demand) Wanted(running int) int { return max(0, d.Peak()-running) }

// Size returns the size of a gap, which is that of the usual urgent task. It is zero if there were none.
func (d *Demand) Size() ledger.Size {
	if d.changed {
		d.changed = false
		d.size = ledger.Size{
			Millicores: d.usual(func(s ledger.Size) int64 { return s.Millicores }),
			MemoryMB:   d.usual(func(s ledger.Size) int64 { return s.MemoryMB }),
		}
	}
	return d.size
}

// usual returns the percentile usualSizePercent of one component of the sizes.
func (d *Demand) usual(component func(ledger.Size) int64) int64 {
	tasks, all := map[int64]int{}, 0
	for _, s := range d.slots {
		for size, n := range s.sizes {
			tasks[component(size)] += n
			all += n
		}
	}
	sum := 0
	for _, value := range slices.Sorted(maps.Keys(tasks)) {
		if sum += tasks[value]; sum*100 >= all*usualSizePercent {
			return value
		}
	}
	return 0
}

// Gaps returns how many tasks of a size fit into a worker's free capacity.
func Gaps(free, size ledger.Size) int {
	if size.Millicores <= 0 {
		return 0
	}
	gaps := free.Millicores / size.Millicores
	if size.MemoryMB > 0 {
		gaps = min(gaps, free.MemoryMB/size.MemoryMB)
	}
	return int(max(0, gaps))
}
