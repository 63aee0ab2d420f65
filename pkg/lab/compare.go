package lab

import (
	"math"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/wrenferry/wrenferry/pkg/process/cell"
)

// Comparisons are paired: both policies play the very same days, so that what differs
// between days does not count, and the difference has an interval that is true 95 times
// of 100.

// confidenceLevel is how often an interval holds the true difference.
const confidenceLevel = 0.95

// Arm is a policy: the shipped one without some mechanisms.
type Arm struct {
	Name    string
	Without cell.Mechanism
}

// Difference is how much more one arm is worth than the other, with its interval.
type Difference struct {
	Arm                  Arm
	Worth                float64
	Mean, Below, Above   float64
	Better, Worse, Equal int
}

// Clear says whether the interval leaves 0 out.
func (d Difference) Clear() bool { return d.Below > 0 || d.Above < 0 }

// PlayAll plays the days of seeds 1 to n on all processors, in the order of the seeds.
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

// Compare plays the days of seeds 1 to n with each arm, and gives what each is worth more
// than the first one.
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

// MeanWorth is the mean worth of days.
func MeanWorth(days []*Day) float64 {
	worths := make([]float64, len(days))
	for i, d := range days {
		worths[i] = d.Worth
	}
	return stat.Mean(worths, nil)
}
