package fleet

import "time"

const (
	// limitPeriod is the period for which a lineLimit counts.
	limitPeriod = 10 * time.Second
	// maxLinesOfKey is the maximum number of lines about one row in a period: that it became unusable, and usable again.
	maxLinesOfKey = 2
)

// lineLimit bounds the log lines about rows that other writers write, which may change again and again. The zero value is
// ready for use.
type lineLimit struct {
	startedAt time.Time
	byKey     map[string]int
	lines     int
	leftOut   int
}

// beginPeriod begins a new period if it is time, and returns how many lines were left out of the period before.
func (l *lineLimit) beginPeriod(now time.Time) (leftOut int) {
	if !l.startedAt.IsZero() && now.Sub(l.startedAt) < limitPeriod {
		return 0
	}
	leftOut = l.leftOut
	*l = lineLimit{startedAt: now, byKey: map[string]int{}}
	return leftOut
}

// allow returns whether a line about the row may be logged in this period.
func (l *lineLimit) allow(key string) bool {
	if l.lines >= maxUnusableLogged || l.byKey[key] >= maxLinesOfKey {
		l.leftOut++
		return false
	}
	l.lines++
	l.byKey[key]++
	return true
}
