package interference

import (
	"math"
	"time"
)

// OwnLoad estimates the part of one serving task's level that comes from the task's own load: the difference from
// the level explained by its image and its neighbours, and the rate at which that difference changes. Loads
// swing with periods of ten to twenty seconds, so the last second predicts the next one. A change that the
// swing explains is not attributed to neighbours.
//
// It is a Kalman filter over load and trend. Its motion model is a spring: a load far from the mean returns to it.
type OwnLoad struct {
	load, trend                  float64
	loadVar, trendVar, covariant float64
	at                           time.Time
}

const (
	// swing is the angular speed of a load wave with a period of 15 s, in radians per second.
	swing = 2 * math.Pi / 15
	// ownSD is the standard deviation of the load before the first reading, trendSD that of its trend, per
	// second.
	ownSD   = 1.0
	trendSD = 0.6
	// jerkSD is the standard deviation by which the trend departs from the spring's motion, per square root of
	// a second.
	jerkSD = 0.25
	// forgetAfter is the gap between readings after which the estimate starts anew: about a quarter of a wave.
	forgetAfter = 3 * time.Second
)

// Expect returns the load expected at the given time after the last reading.
func (o *OwnLoad) Expect(after time.Duration) float64 {
	angle := swing * after.Seconds()
	return o.load*math.Cos(angle) + o.trend/swing*math.Sin(angle)
}

// drift advances the estimate to now: the prediction step of the filter.
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
	// The motion of a spring rotates the vector (load, trend / swing).
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

// update is the filter's update step. miss is the measured level less the expected one, variance its total variance.
func (o *OwnLoad) update(miss, variance float64) {
	load, trend := o.loadVar/variance, o.covariant/variance
	o.load += load * miss
	o.trend += trend * miss
	o.trendVar -= trend * o.covariant
	o.covariant *= 1 - load
	o.loadVar *= 1 - load
}
