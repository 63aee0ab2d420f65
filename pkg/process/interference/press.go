package interference

// Press learns how much fillers of one image raise the tail of serving tasks
// of another: one coefficient a pair, over what the tail is alone.
//
// A worker's reading is explained as alone + sum of coefficient x pressure,
// where a filler's pressure is the share of the worker's processors that it
// may use. Each reading moves the coefficients of what is there (normalised
// least mean squares, kept at 0 or more). Most pairs don't meet at all, a few
// press hard, and all change within seconds: so the rate is high, and noise of
// a few hundredths of a target is accepted.
type Press struct {
	coefficients map[pair]float64
	alone        map[string]float64
}

const (
	// unknownPress is what a pair that was never seen together is taken to do:
	// a tenth of a worker's processors add a tenth of the target.
	unknownPress = 1.0
	// unknownAlone is the tail over target of an image that was never seen
	// alone: about what was measured on the platform's sites.
	unknownAlone = 0.42
	// pressRate is how far one reading moves the coefficients it speaks of.
	pressRate = 0.2
	// aloneRate is how fast an image's level alone is learned, where no filler
	// works.
	aloneRate = 0.05
	// pressFloor keeps a reading beside hardly any filler from moving anything,
	// as the square of a pressure of about a fourteenth.
	pressFloor = 0.005
	// missLow and missHigh bound what one reading can say.
	missLow  = -0.6
	missHigh = 1.5
)

// NewPress returns a model that knows nothing.
func NewPress() *Press {
	return &Press{coefficients: map[pair]float64{}, alone: map[string]float64{}}
}

// Coefficient is how much the filler's whole use of a worker's processors
// would add to the serving image's tail, as a share of its target.
func (p *Press) Coefficient(serving, filler string) float64 {
	if c, ok := p.coefficients[pair{serving, filler}]; ok {
		return c
	}
	return unknownPress
}

// Known says whether a pair was ever seen together.
func (p *Press) Known(serving, filler string) bool {
	_, ok := p.coefficients[pair{serving, filler}]
	return ok
}

// Alone is the tail over target of a serving image without fillers.
func (p *Press) Alone(serving string) float64 {
	if a, ok := p.alone[serving]; ok {
		return a
	}
	return unknownAlone
}

// Predict is the tail over target to expect beside the given pressures.
func (p *Press) Predict(serving string, pressures map[string]float64) float64 {
	level := p.Alone(serving)
	for filler, pressure := range pressures {
		level += p.Coefficient(serving, filler) * pressure
	}
	return level
}

// Learn takes in one reading: the tail over target, and the pressures that
// were there during it.
func (p *Press) Learn(serving string, ratio float64, pressures map[string]float64) {
	norm := pressFloor
	present := false
	for _, pressure := range pressures {
		norm += pressure * pressure
		present = present || pressure > 0.01
	}
	miss := min(missHigh, max(missLow, ratio-p.Predict(serving, pressures)))
	if !present {
		p.alone[serving] = p.Alone(serving) + aloneRate*miss
		return
	}
	for filler, pressure := range pressures {
		c := p.Coefficient(serving, filler) + pressRate*miss*pressure/norm
		p.coefficients[pair{serving, filler}] = max(0, c)
	}
}
