package waitforecast

import (
	"math"
	"time"
)

const (
	// rateSlots of rateSlot each are the span in which first starts are counted: long enough for a rate of a few jobs a
	// second, shorter than a wave.
	rateSlots = 12
	rateSlot  = 250 * time.Millisecond
	// minRateSpan is the least time of scheduling after which a rate is known.
	minRateSpan = time.Second
	// shortGrowthSlots and growthSlots are the slots in which the work that arrives is compared with the work that begins.
	// They are few, so that refusals end soon after a wave, and both have to show growth, as starts come in bunches.
	shortGrowthSlots = 2
	growthSlots      = 4
	// longestStep is the most that one call of advance counts as time of scheduling. A leader decides at least every few
	// hundred ms; if it was suspended for longer, it started nothing meanwhile.
	longestStep = 500 * time.Millisecond

	// recordSlots of recordSlot each are the span of the record. A wave ends within it.
	recordSlots = 20
	recordSlot  = time.Second

	// A job's forecast has one of badLevels levels, levelsPerDoubling for each doubling of its ratio. Level onTimeLevels
	// begins at ratio 1, from which the job is too late.
	badLevels         = 20
	levelsPerDoubling = 2
	onTimeLevels      = 4
)

// badness returns the level of a forecast by its ratio.
func badness(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	return min(badLevels-1, max(0, int(math.Floor(levelsPerDoubling*math.Log2(ratio)))+onTimeLevels))
}

// schedulingClock measures the time in which a cell could start jobs.
type schedulingClock struct {
	last      time.Time
	scheduled time.Duration
}

func (c *schedulingClock) advance(now time.Time, scheduling bool) {
	if step := now.Sub(c.last); scheduling && step > 0 {
		c.scheduled += min(step, longestStep)
	}
	c.last = now
}

// span returns the time of scheduling that the present slot and those before it cover.
func (c *schedulingClock) span() time.Duration {
	return min(c.scheduled, (rateSlots-1)*rateSlot+c.scheduled%rateSlot)
}

// window sums amounts over the last slots of scheduling time.
type window struct {
	sums   [rateSlots]int64
	number [rateSlots]int64
}

func (w *window) add(at time.Duration, amount int64) {
	number := int64(at / rateSlot)
	i := number % rateSlots
	if w.number[i] != number {
		w.number[i], w.sums[i] = number, 0
	}
	w.sums[i] += amount
}

// last returns the sum over the present slot and those before it, the given number of slots in all.
func (w *window) last(at time.Duration, slots int64) int64 {
	number, sum := int64(at/rateSlot), int64(0)
	for i, n := range w.number {
		if n > number-slots {
			sum += w.sums[i]
		}
	}
	return sum
}

// record counts outcomes by the time at which they became known and by the level of the forecast.
type record struct{ slots [recordSlots]recordSlotCounts }

type recordSlotCounts struct {
	number              int64
	observed, worthless [badLevels]int
}

func (r *record) add(at time.Duration, level int, worthless bool) {
	number := int64(at / recordSlot)
	slot := &r.slots[number%recordSlots]
	if slot.number != number {
		*slot = recordSlotCounts{number: number}
	}
	slot.observed[level]++
	if worthless {
		slot.worthless[level]++
	}
}

// correct changes an outcome that was recorded as worthless at the time lateAt, if that is still in the record.
func (r *record) correct(at, lateAt time.Duration, level int) {
	if slot := &r.slots[int64(lateAt/recordSlot)%recordSlots]; slot.number == int64(lateAt/recordSlot) {
		slot.worthless[level]--
		return
	}
	r.add(at, level, false)
}

// count returns the number of outcomes with a forecast of at least the given level, and how many were worthless.
func (r *record) count(at time.Duration, level int) (observed, worthless int) {
	oldest := int64(at/recordSlot) - recordSlots
	for i := range r.slots {
		if r.slots[i].number <= oldest {
			continue
		}
		for l := level; l < badLevels; l++ {
			observed += r.slots[i].observed[l]
			worthless += r.slots[i].worthless[l]
		}
	}
	return observed, worthless
}
