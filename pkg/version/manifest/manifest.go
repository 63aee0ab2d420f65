// Package manifest holds one version of what operators configure for a
// deployment: queues that take jobs, and the services whose workers run them.
//
// A Manifest is immutable; a process swaps one for a newer one and never goes
// back.
package manifest

import (
	"strings"
	"time"
)

// Manifest is one version, whole.
type Manifest struct {
	version  int64
	queues   []Queue
	services map[string]Service
	limits   Limits
}

// Queue takes the jobs that callers send to its host and path.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how many failed runs a task has.
	MaxAttempts int
	// Stretch times a job's longest chain of work, plus Slack, is its objective.
	Stretch float64
	Slack   time.Duration
	Timeout time.Duration
	// Advice, where set, says that an outside service decides which workers may
	// run a step.
	Advice *Advice
}

// Advice is what is known of the advising service for a queue.
type Advice struct {
	Decide, Each, Valid time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guards says that its workers refuse what does not fit.
	Guards bool
	// Spare says that its hosts are off until they are moved elsewhere.
	Spare      bool
	HealthPath string
}

// Limits bound what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// New returns a manifest. Its arguments must not be changed afterwards.
func New(version int64, queues []Queue, services []Service, limits Limits) *Manifest {
	m := &Manifest{version: version, queues: queues, services: map[string]Service{}, limits: limits}
	for _, s := range services {
		m.services[s.Name] = s
	}
	return m
}

// Version is the manifest's own number; higher is newer.
func (m *Manifest) Version() int64 { return m.version }

// Limits returns the limits on what callers send.
func (m *Manifest) Limits() Limits { return m.limits }

// Match finds the queue for a host and a path: of those of the host, the one
// with the longest prefix that begins the path.
func (m *Manifest) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range m.queues {
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if !found || len(q.PathPrefix) > len(best.PathPrefix) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue finds a queue by its name.
func (m *Manifest) Queue(name string) (Queue, bool) {
	for _, q := range m.queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Service finds a service by its name.
func (m *Manifest) Service(name string) (Service, bool) {
	s, ok := m.services[name]
	return s, ok
}
