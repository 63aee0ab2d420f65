package jobs

import "time"

// StoreClock relates this process's clock to the table's: Store is what the table's clock showed at the local time At. The
// zero StoreClock relates no times.
type StoreClock struct {
	At    time.Time
	Store time.Duration
}

// millis returns a local time as the table's clock shows it, in milliseconds, or 0 if that is not known.
func (c StoreClock) millis(at time.Time) int64 {
	if c.At.IsZero() || at.IsZero() {
		return 0
	}
	return max(0, (c.Store - c.At.Sub(at)).Milliseconds())
}

// local returns the local time of a reading of the table's clock, at the latest now, or the zero time if that is not known.
func (c StoreClock) local(now time.Time, millis int64) time.Time {
	if c.At.IsZero() || millis == 0 {
		return time.Time{}
	}
	at := c.At.Add(time.Duration(millis)*time.Millisecond - c.Store)
	if at.After(now) {
		return now
	}
	return at
}
