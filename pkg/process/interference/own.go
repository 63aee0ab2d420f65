package interference

import (
	"math"
	"time"
)

// OwnLoad is what is believed of one serving task's own load: how far its level is
// from what its image and its neighbours explain, and how fast that changes. Loads
// swing over ten to twenty seconds, so that the last second tells where the next
// one goes; a miss that the swing explains is not blamed on neighbours.
//
// It is a Kalman filter over load and trend, whose motion is that of a spring:
// what is far from the mean turns back.
type OwnLoad struct {
	load, trend                  float64
	loadVar, trendVar, covariant float64
	at                           time.Time
}

const (
	// swing is the angular speed of a wave of 15 s, a second.
	swing = 2 * math.Pi / 15
	// ownSD is the deviation of a load that nothing is known of, trendSD that of
	// its trend, a second.
	ownSD   = 1.0
	trendSD = 0.6
	// jerkSD is how much the trend strays from the spring's, per square root of a
	// second.
	jerkSD = 0.25
	// forgetAfter is the gap between readings after which nothing is known any
	// more: a quarter of a wave.
	forgetAfter = 3 * time.Second
)

// Expect is the load to expect some time after the last reading.
func (o *OwnLoad) Expect(after time.Duration) float64 {
	angle := swing * after.Seconds()
	return o.load*math.Cos(angle) + o.trend/swing*math.Sin(angle)
}

// drift moves the belief on to now.
func (o *OwnLoad) drift(now time.Time) {
	gap := now.Sub(o.at)
	if o.at.IsZero() || gap > forgetAfter {
		*o = OwnLoad{loadVar: ownSD * ownSD, trendVar: trendSD * trendSD, at: now}
		return
	}
	o.at = now
	if gap <= 0 {
		return
	}
	// The motion of a spring is a rotation: load and trend / swing turn.
	angle := swing * gap.Seconds()
	c, s := math.Cos(angle), math.Sin(angle)
	load, trend := o.load, o.trend
	o.load = load*c + trend/swing*s
	o.trend = trend*c - load*swing*s
	p, q, r := o.loadVar, o.covariant, o.trendVar
	o.loadVar = c*c*p + 2*c*s/swing*q + s*s/(swing*swing)*r
	o.covariant = -c*s*swing*p + (c*c-s*s)*q + c*s/swing*r
	o.trendVar = s*s*swing*swing*p - 2*c*s*swing*q + c*c*r + jerkSD*jerkSD*gap.Seconds()
}

// update takes in a miss of the level that has the given variance in all.
func (o *OwnLoad) update(miss, variance float64) {
	load, trend := o.loadVar/variance, o.covariant/variance
	o.load += load * miss
	o.trend += trend * miss
	o.trendVar -= trend * o.covariant
	o.covariant *= 1 - load
	o.loadVar *= 1 - load
}
