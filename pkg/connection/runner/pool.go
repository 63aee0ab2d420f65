package runner

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Pool is what one entry host knows of one service's backend servers, from the
// host list, from their answers, and from operators and peers. It is safe for
// use by many goroutines.
type Pool struct {
	hall string

	mu      sync.Mutex
	servers map[string]*server
	order   []string // names, sorted by the list's order
	pickers func(policy string) Picker
	picker  Picker
	policy  string
	random  *rand.Rand
	freed   chan struct{} // closed and replaced whenever a slot may be free
}

// server is one backend server as this entry host sees it.
type server struct {
	name    string
	address string
	local   bool
	listed  bool

	leaving    bool
	slots      int
	outstanding        int
	streams    int
	otherLoad     int
	reportedAt time.Time
	latency    time.Duration
	latencyAt  time.Time // of the newest answer, or when it was first open
	sent       int64

	failures int
	ejectedUntil time.Time
	probing  bool
}

const (
	// defaultSlots is taken for a server that has not said how many it has.
	defaultSlots = 8
	// initialLatency is taken for a server that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// latencyWeight is the weight of the newest answer time.
	latencyWeight = 0.1
	// failuresToEject is how many failures in a row take a server out.
	failuresToEject = 5
	// minEjection and outMost bound how long it stays out; each time doubles.
	minEjection = time.Second
	maxEjection  = 30 * time.Second
)

// NewPool returns an empty pool for an entry host in the hall. pickers returns the picker of a
// policy by its name.
func NewPool(hall string, random *rand.Rand, pickers func(policy string) Picker) *Pool {
	return &Pool{hall: hall, pickers: pickers, servers: map[string]*server{}, random: random, freed: make(chan struct{})}
}

// SetHosts takes in the service's part of the host list. A server that the list
// no longer has takes no new work; what is in flight there goes on.
func (p *Pool) SetHosts(hosts []*wire.Host) {
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

// SetLeaving marks a server as leaving: it gets nothing new. It says whether
// that was news. A server that comes back does so under a new address.
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

// Counts says how many servers there are, and how many of them take new work.
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

// Room estimates, for the limits, how many slots turn over for this host and how
// long a request takes. A full service still turns over, so this host's part of
// all slots is taken to be its part of the load.
func (p *Pool) Room(now time.Time) (slots int, latency time.Duration) {
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

// Acquire chooses a server and counts the request as outstanding there. Names
// in except are left out. It returns nil when no server has room.
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

// AcquireStream chooses a server for a standing stream: a stream holds a
// connection and no slot, so it goes where this host has the fewest, in the own
// hall first. It returns nil when every server has as many as this host may open.
func (p *Pool) AcquireStream(now time.Time, most int, except map[string]bool) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *server
	for _, s := range p.selectable(now, except) {
		if s.streams < most && (best == nil || s.betterForStream(best)) {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	best.streams++
	return &Lease{pool: p, server: best, Name: best.name, Address: best.address, begin: now, stream: true}
}

func (s *server) betterForStream(other *server) bool {
	if s.local != other.local {
		return s.local
	}
	return s.streams < other.streams
}

// selectable lists the servers that may be chosen. Servers that fail everything are
// left out, unless that would leave none.
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

// isAvailable says whether a server is in, or is due for one probe.
func (s *server) isAvailable(now time.Time) bool {
	if s.failures < failuresToEject {
		return true
	}
	return !now.Before(s.ejectedUntil) && !s.probing
}

func (s *server) candidate() Candidate {
	return Candidate{
		Name: s.name, Local: s.local, Slots: s.slots, Own: s.outstanding, Others: s.otherLoad,
		ReportedAt: s.reportedAt, Latency: s.latency, LatencyAt: s.latencyAt, Sent: s.sent,
	}
}

// Freed returns a channel that is closed when a slot may have become free.
func (p *Pool) Freed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

func (p *Pool) notifyFreed() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// ---------------------------------------------------------------- answers

// Verdict is what an answer says of a server.
type Verdict int

// The verdicts.
const (
	// Worked: the server answered.
	Worked Verdict = iota
	// Failed: it did not answer, or with a failure of its own.
	Failed
	// Busy: it refused for want of a slot, which is no failure.
	Busy
	// Abandoned: the caller went away; nothing is learnt.
	Abandoned
)

// Report is what came back with an answer.
type Report struct {
	Verdict Verdict
	// Free is how many slots the server said are free, or -1.
	Free int
	// Leaving is set when the server said that it takes no new work.
	Leaving bool
}

// Done ends a lease. It says whether it is news that the server is leaving.
func (l *Lease) Done(now time.Time, r Report) bool {
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

// ejectionTime doubles with each failed probe.
func ejectionTime(probes int) time.Duration {
	span := minEjection << min(probes, 5)
	return min(span, maxEjection)
}
