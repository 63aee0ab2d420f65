package admission

import "slices"

const (
	// recentSizes is how many of a queue's last jobs are compared: enough for a dozen in the largest tenth.
	recentSizes = 128
	// minSizes is the fewest jobs by which a tenth can be told from the rest.
	minSizes = 20
	// sizesPerUpdate is how many jobs share one computation of the limit.
	sizesPerUpdate = 16
	// restShare is the share of jobs that are not among the largest.
	restShare = 0.9
)

// Sizes divides the jobs of one queue into the largest tenth, by work, and the rest. The zero value knows no jobs.
type Sizes struct {
	recent []int64
	next   int
	// added counts the jobs since the limit was last computed.
	added int
	limit int64
	known bool
}

// Add adds the work of a new job.
func (s *Sizes) Add(work int64) {
	if len(s.recent) < recentSizes {
		s.recent = append(s.recent, work)
	} else {
		s.recent[s.next] = work
		s.next = (s.next + 1) % recentSizes
	}
	s.added++
	if len(s.recent) < minSizes || (s.known && s.added < sizesPerUpdate) {
		return
	}
	sorted := slices.Sorted(slices.Values(s.recent))
	s.limit, s.known, s.added = sorted[int(restShare*float64(len(sorted)))-1], true, 0
}

// Largest reports whether a job with the given work is among the largest tenth. known is false while too few jobs were
// added.
func (s *Sizes) Largest(work int64) (largest, known bool) { return s.known && work > s.limit, s.known }
