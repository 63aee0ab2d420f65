package lab

import (
	"math"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// Comparisons are paired: both policies play the same sampled days, which removes the
// variance between days from the difference. Each mean difference has a confidence interval
// from Student's t distribution.

// confidenceLevel is the probability that an interval contains the true mean difference.
const confidenceLevel = 0.95

// Arm is one policy of a comparison: the shipped policy with some mechanisms disabled.
type Arm struct {
	Name string
	// Without is the set of disabled mechanisms.
	Without cell.Mechanism
}

// Difference compares an arm with the first arm of a comparison.
type Difference struct {
	Arm Arm
	// Worth is the mean worth of the arm's days.
	Worth float64
	// Mean is the mean of the arm's worth minus the first arm's, day by day. Below and Above
	// are the bounds of its confidence interval.
	Mean, Below, Above float64
	// Better, Worse and Equal count the days by the sign of the difference.
	Better, Worse, Equal int
}

// Significant returns whether the confidence interval excludes 0.
func (d Difference) Significant() bool { return d.Below > 0 || d.Above < 0 }

// PlayAll plays the days of seeds 1 to n on all processors and returns them ordered by seed.
func PlayAll(w *Workload, n int, without cell.Mechanism) []*Day {
	days := make([]*Day, n)
	next := make(chan int)
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for i := range next {
				days[i] = Play(w, uint64(i+1), without)
			}
		})
	}
	for i := range days {
		next <- i
	}
	close(next)
	wait.Wait()
	return days
}

// Compare plays the days of seeds 1 to n with each arm and returns, for each arm, its
// difference to the first arm.
func Compare(w *Workload, n int, arms ...Arm) []Difference {
	var first []*Day
	list := make([]Difference, 0, len(arms))
	for _, a := range arms {
		days := PlayAll(w, n, a.Without)
		if first == nil {
			first = days
		}
		list = append(list, pairedDifference(a, days, first))
	}
	return list
}

// pairedDifference compares an arm's days with the first arm's days of the same seeds. For a
// single day, both bounds are the mean.
func pairedDifference(a Arm, days, first []*Day) Difference {
	d := Difference{Arm: a, Worth: MeanWorth(days)}
	gains := make([]float64, len(days))
	for i := range days {
		gains[i] = days[i].Worth - first[i].Worth
		switch {
		case gains[i] > 0:
			d.Better++
		case gains[i] < 0:
			d.Worse++
		default:
			d.Equal++
		}
	}
	mean, sd := stat.MeanStdDev(gains, nil)
	d.Mean, d.Below, d.Above = mean, mean, mean
	if len(gains) > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(gains) - 1)}.Quantile(0.5 + confidenceLevel/2)
		half := t * sd / math.Sqrt(float64(len(gains)))
		d.Below, d.Above = mean-half, mean+half
	}
	return d
}

// MeanWorth returns the mean worth of days.
func MeanWorth(days []*Day) float64 {
	worths := make([]float64, len(days))
	for i, d := range days {
		worths[i] = d.Worth
	}
	return stat.Mean(worths, nil)
}
