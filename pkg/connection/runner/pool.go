package runner

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Pool holds what one entry host knows about the backend servers of one service: from
// the host list, from the servers' answers, and from operators and peers. It is safe for
// concurrent use.
type Pool struct {
	hall string

	mu      sync.Mutex
	servers map[string]*server
	order   []string // names, sorted by the list's order
	pickers func(policy string) Picker
	picker  Picker
	policy  string
	random  *rand.Rand
	freed   chan struct{} // closed and replaced whenever a slot may have become free
}

// server is the state of one backend server, as known to this entry host.
type server struct {
	name    string
	address string
	local   bool
	listed  bool

	leaving     bool
	slots       int
	outstanding int
	streams     int
	otherLoad   int
	reportedAt  time.Time
	latency     time.Duration
	latencyAt   time.Time // time of the newest answer, or when the server could first be chosen
	sent        int64

	failures     int
	ejectedUntil time.Time
	probing      bool
}

const (
	// defaultSlots is the number of slots assumed for each server.
	defaultSlots = 8
	// initialLatency is assumed for a server that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// latencyWeight is the weight of the newest answer time in the moving average.
	latencyWeight = 0.1
	// failuresToEject is the number of consecutive failures after which a server is
	// ejected: it gets only probes, unless all servers are ejected.
	failuresToEject = 5
	// minEjection and maxEjection bound the time of an ejection, which doubles with
	// each failed probe.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// NewPool returns an empty pool for an entry host in the hall. pickers returns a new Picker for
// the name of a policy.
func NewPool(hall string, random *rand.Rand, pickers func(policy string) Picker) *Pool {
	return &Pool{hall: hall, pickers: pickers, servers: map[string]*server{}, random: random, freed: make(chan struct{})}
}

// SetServers updates the pool from the host list's entries of the service. A server that is
// no longer in the list gets no new requests; requests in flight there continue.
func (p *Pool) SetServers(hosts []*wire.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.listed = false
	}
	p.order = p.order[:0]
	for _, h := range hosts {
		s := p.servers[h.GetName()]
		if s == nil || s.address != h.GetAddress() {
			s = &server{name: h.GetName(), slots: defaultSlots, latency: initialLatency}
			p.servers[h.GetName()] = s
		}
		s.address = h.GetAddress()
		s.local = h.GetHall() == p.hall
		s.listed = true
		s.leaving = s.leaving || h.GetLeaving()
		p.order = append(p.order, s.name)
	}
	for name, s := range p.servers {
		if !s.listed && s.outstanding == 0 && s.streams == 0 {
			delete(p.servers, name)
		}
	}
	p.notifyFreed()
}

// SetLeaving marks a server as leaving, so that it gets no new requests. It returns
// whether the server was known and not yet marked. A server that returns has a new address.
func (p *Pool) SetLeaving(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// Counts returns the number of listed servers, and the number of those that are not leaving.
func (p *Pool) Counts() (all, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.listed {
			all++
		}
		if s.listed && !s.leaving {
			open++
		}
	}
	return all, open
}

// ShareOfCapacity returns estimates for the concurrency limits: this host's share of the service's slots,
// and the mean latency of a request. A full service still completes requests, so this host's
// share of the slots is taken to be its share of the load.
func (p *Pool) ShareOfCapacity(now time.Time) (slots int, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total, own int
	var load float64
	n := time.Duration(0)
	for _, s := range p.servers {
		if !s.listed || s.leaving {
			continue
		}
		total += s.slots
		own += s.outstanding
		load += s.candidate().Load(now)
		latency += s.latency
		n++
	}
	if n == 0 {
		return 0, 0
	}
	return max(1, int(float64(total)*float64(own+1)/(load+1))), latency / n
}

// ----------------------------------------------------------------- choice

// Lease is the right to send one request to one server.
type Lease struct {
	pool    *Pool
	server  *server
	Name    string
	Address string
	begin   time.Time
	stream  bool
}

// Acquire chooses a server that is not in except, and counts the request as outstanding
// there. It returns nil when no server has a free slot.
func (p *Pool) Acquire(now time.Time, policy string, except map[string]bool) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.picker == nil || p.policy != policy {
		p.policy = policy
		p.picker = p.pickers(policy)
	}
	open := p.selectable(now, except)
	list := make([]Candidate, len(open))
	for i, s := range open {
		if s.latencyAt.IsZero() {
			s.latencyAt = now
		}
		list[i] = s.candidate()
	}
	i := p.picker.Pick(now, list, p.random)
	if i < 0 {
		return nil
	}
	s := open[i]
	s.outstanding++
	s.sent++
	s.probing = s.failures >= failuresToEject
	return &Lease{pool: p, server: s, Name: s.name, Address: s.address, begin: now}
}

// AcquireStream chooses a server for a long-lived stream. A stream holds a connection but no
// slot, so it goes to the server with the fewest streams of this host, in this host's hall
// if possible. It returns nil when every server has maxStreams streams of this host.
func (p *Pool) AcquireStream(now time.Time, maxStreams int, except map[string]bool) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *server
	for _, s := range p.selectable(now, except) {
		if s.streams < maxStreams && (best == nil || s.betterForStream(best)) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	best.streams++
	return &Lease{pool: p, server: best, Name: best.name, Address: best.address, begin: now, stream: true}
}

// betterForStream returns whether s is preferred to other for a new stream.
func (s *server) betterForStream(other *server) bool {
	if s.local != other.local {
		return s.local
	}
	return s.streams < other.streams
}

// selectable returns the servers that may be chosen. It omits ejected servers, unless
// all are ejected.
func (p *Pool) selectable(now time.Time, except map[string]bool) []*server {
	var healthy, out []*server
	for _, name := range p.order {
		s := p.servers[name]
		if s == nil || !s.listed || s.leaving || except[name] {
			continue
		}
		if s.isAvailable(now) {
			healthy = append(healthy, s)
		} else {
			out = append(out, s)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return out
}

// isAvailable returns whether the server is not ejected, or is due for one probe.
func (s *server) isAvailable(now time.Time) bool {
	if s.failures < failuresToEject {
		return true
	}
	return !now.Before(s.ejectedUntil) && !s.probing
}

func (s *server) candidate() Candidate {
	return Candidate{
		Name: s.name, Local: s.local, Slots: s.slots, Outstanding: s.outstanding, OtherLoad: s.otherLoad,
		ReportedAt: s.reportedAt, Latency: s.latency, LatencyAt: s.latencyAt, Sent: s.sent,
	}
}

// Freed returns a channel that is closed when a slot may have become free.
func (p *Pool) Freed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

// notifyFreed wakes the goroutines that wait for a free slot. The pool must be locked.
func (p *Pool) notifyFreed() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// ---------------------------------------------------------------- answers

// Verdict classifies the outcome of a request for the health of its server.
type Verdict int

// The verdicts.
const (
	// Worked: the server answered.
	Worked Verdict = iota
	// Failed: the server did not answer, or answered with a server error.
	Failed
	// Busy: the server refused for lack of a free slot, which is not a failure.
	Busy
	// Abandoned: the caller has gone; the outcome shows nothing about the server.
	Abandoned
)

// Report is the state of a server as derived from one answer.
type Report struct {
	Verdict Verdict
	// Free is the number of free slots that the server reported, or -1 if it reported none.
	Free int
	// Leaving means that the server has announced that it takes no new work.
	Leaving bool
}

// Release ends the lease and applies the report to the server. It returns whether the report
// is the first to say that the server is leaving.
func (l *Lease) Release(now time.Time, r Report) bool {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	s := l.server
	if l.stream {
		s.streams--
	} else {
		s.outstanding--
	}
	s.applyReport(now, now.Sub(l.begin), r)
	news := r.Leaving && !s.leaving
	s.leaving = s.leaving || r.Leaving
	p.notifyFreed()
	return news
}

// applyReport updates the server's load, latency and failures after a request that took the
// time took.
func (s *server) applyReport(now time.Time, took time.Duration, r Report) {
	s.probing = false
	if r.Free >= 0 {
		s.reportedAt = now
		s.otherLoad = max(0, s.slots-r.Free-s.outstanding)
	}
	switch r.Verdict {
	case Worked:
		s.failures = 0
		s.latency += time.Duration(latencyWeight * float64(took-s.latency))
		s.latencyAt = now
	case Failed:
		s.failures++
		if s.failures >= failuresToEject {
			s.ejectedUntil = now.Add(ejectionTime(s.failures - failuresToEject))
		}
	case Busy:
		s.reportedAt = now
		s.otherLoad = max(s.otherLoad, s.slots-s.outstanding)
	case Abandoned:
	}
}

// ejectionTime returns the time of an ejection after the number of failed probes; it doubles
// with each.
func ejectionTime(probes int) time.Duration {
	span := minEjection << min(probes, 5)
	return min(span, maxEjection)
}
