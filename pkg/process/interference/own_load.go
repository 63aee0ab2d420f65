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
	load, trend                   float64
	loadVar, trendVar, covariance float64
	at                            time.Time
}

const (
	// swingAngularSpeed is the angular speed of a load wave with a period of 15 s, in radians per second.
	swingAngularSpeed = 2 * math.Pi / 15
	// initialLoadSD is the standard deviation of the load before the first reading, initialTrendSD that of its trend, per
	// second.
	initialLoadSD  = 1.0
	initialTrendSD = 0.6
	// trendNoiseSD is the standard deviation by which the trend departs from the spring's motion, per square root of
	// a second.
	trendNoiseSD = 0.25
	// resetAfter is the gap between readings after which the estimate starts anew: about a quarter of a wave.
	resetAfter = 3 * time.Second
)

// Forecast returns the load expected at the given time after the last reading.
func (o *OwnLoad) Forecast(after time.Duration) float64 {
	angle := swingAngularSpeed * after.Seconds()
	return o.load*math.Cos(angle) + o.trend/swingAngularSpeed*math.Sin(angle)
}

// advance advances the estimate to now: the prediction step of the filter.
func (o *OwnLoad) advance(now time.Time) {
	gap := now.Sub(o.at)
	if o.at.IsZero() || gap > resetAfter {
		*o = OwnLoad{loadVar: initialLoadSD * initialLoadSD, trendVar: initialTrendSD * initialTrendSD, at: now}
		return
	}
	o.at = now
	if gap <= 0 {
		return
	}
	// The motion of a spring rotates the vector (load, trend / swingAngularSpeed).
	angle := swingAngularSpeed * gap.Seconds()
	c, s := math.Cos(angle), math.Sin(angle)
	load, trend := o.load, o.trend
	o.load = load*c + trend/swingAngularSpeed*s
	o.trend = trend*c - load*swingAngularSpeed*s
	p, q, r := o.loadVar, o.covariance, o.trendVar
	o.loadVar = c*c*p + 2*c*s/swingAngularSpeed*q + s*s/(swingAngularSpeed*swingAngularSpeed)*r
	o.covariance = -c*s*swingAngularSpeed*p + (c*c-s*s)*q + c*s/swingAngularSpeed*r
	o.trendVar = s*s*swingAngularSpeed*swingAngularSpeed*p - 2*c*s*swingAngularSpeed*q + c*c*r + trendNoiseSD*trendNoiseSD*gap.Seconds()
}

// update is the filter's update step. miss is the measured level less the expected one, variance its total variance.
func (o *OwnLoad) update(residual, variance float64) {
	loadGain, trendGain := o.loadVar/variance, o.covariance/variance
	o.load += loadGain * residual
	o.trend += trendGain * residual
	o.trendVar -= trendGain * o.covariance
	o.covariance *= 1 - loadGain
	o.loadVar *= 1 - loadGain
}
