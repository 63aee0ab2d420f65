package intake

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxUnknownJobs bounds the list of jobs with an unknown outcome: a host gets about one job a second, so the list
// covers hours of unknown outcomes.
const maxUnknownJobs = 8192

// openOutcomes holds the jobs that a transaction sent by this host may yet write. Several submissions of a job may be under
// way at once, so the outcome of one of them does not end what another has left open. It is safe for concurrent use.
type openOutcomes struct {
	mu sync.Mutex
	// inFlight counts the calls that have not ended, by job id.
	inFlight map[string]int
	// unknown holds the ids of jobs with a call that had no answer.
	unknown *lru.Cache[string, struct{}]
}

func newOpenOutcomes() *openOutcomes {
	unknown, _ := lru.New[string, struct{}](maxUnknownJobs) // fails for a negative size only
	return &openOutcomes{inFlight: map[string]int{}, unknown: unknown}
}

// open returns whether a transaction may yet write the job.
func (o *openOutcomes) open(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inFlight[id] > 0 || o.unknown.Contains(id)
}

func (o *openOutcomes) callBegins(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight[id]++
}

// callEnded records the end of a call. unknown means that the call may yet take effect.
func (o *openOutcomes) callEnded(id string, unknown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight[id]--
	if o.inFlight[id] <= 0 {
		delete(o.inFlight, id)
	}
	if unknown {
		o.unknown.Add(id, struct{}{})
	}
}

// settle records that the table holds the job, or a tombstone of its id: calls without an answer change nothing any more.
func (o *openOutcomes) settle(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unknown.Remove(id)
}
