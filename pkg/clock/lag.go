package clock

import (
	"sync"
	"time"
)

// lagInterval is the interval at which a LagMeter checks how late its timer runs.
const lagInterval = 5 * time.Millisecond

// LagMeter measures for how long this process was ready to run and did not run: the sum of the times by which a timer of its
// own fires late. An answer that arrives meanwhile is read as late. A caller subtracts the lag from the time
// that a call took, so that its own wait is not taken for a slow network. It is safe for concurrent use, and measures
// only while a Measurement of Begin is open.
type LagMeter struct {
	now   func() time.Time
	after func(time.Duration, func())

	mu   sync.Mutex
	open int
	// running says that the timer is set. due is when it should run, total the sum of its delays.
	running bool
	due     time.Time
	total   time.Duration
}

// LagOption configures a LagMeter.
type LagOption func(*LagMeter)

// WithTimer replaces Now and the timers of package time.
func WithTimer(now func() time.Time, after func(time.Duration, func())) LagOption {
	return func(m *LagMeter) { m.now, m.after = now, after }
}

// NewLagMeter returns a LagMeter that reads the time from Now.
func NewLagMeter(options ...LagOption) *LagMeter {
	m := &LagMeter{now: Now, after: func(span time.Duration, do func()) { time.AfterFunc(span, do) }}
	for _, o := range options {
		o(m)
	}
	return m
}

// Measurement is one open measurement of a LagMeter.
type Measurement struct {
	meter *LagMeter
	began time.Duration
	// passive measurements do not keep the timer running.
	passive bool
}

// Join opens a measurement that sees the lag only while measurements of Begin are open, for calls that last too long to wake
// the processor for their sake. The caller calls End of it once.
func (m *LagMeter) Join() Measurement {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Measurement{meter: m, began: m.lag(m.now()), passive: true}
}

// Begin opens a measurement. The caller calls End of it once.
func (m *LagMeter) Begin() Measurement {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open++
	if !m.running {
		m.running = true
		m.start()
	}
	return Measurement{meter: m, began: m.lag(m.now())}
}

// Lag returns the lag since Begin.
func (e Measurement) Lag() time.Duration {
	e.meter.mu.Lock()
	defer e.meter.mu.Unlock()
	return e.meter.lag(e.meter.now()) - e.began
}

// End closes the measurement and returns the lag since Begin.
func (e Measurement) End() time.Duration {
	lag := e.Lag()
	e.meter.mu.Lock()
	defer e.meter.mu.Unlock()
	if !e.passive {
		e.meter.open--
	}
	return lag
}

// lag returns the sum of all delays, with that of a timer that should have run by now.
func (m *LagMeter) lag(now time.Time) time.Duration {
	if !m.running {
		return m.total
	}
	return m.total + max(0, now.Sub(m.due))
}

// start sets the timer.
func (m *LagMeter) start() {
	m.due = m.now().Add(lagInterval)
	m.after(lagInterval, m.tick)
}

// tick adds the delay of the timer, and sets it again while a measurement is open.
func (m *LagMeter) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total += max(0, m.now().Sub(m.due))
	if m.open == 0 {
		m.running = false
		return
	}
	m.start()
}
