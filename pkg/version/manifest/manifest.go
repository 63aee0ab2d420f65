// Package manifest holds one version of the configuration that operators set for a deployment: the queues that accept
// jobs, and the services whose workers run the jobs.
//
// A Manifest is immutable. A process replaces its manifest only by a newer one.
package manifest

import (
	"strings"
	"time"
)

// Manifest is one complete version of the configuration.
type Manifest struct {
	version  int64
	queues   []Queue
	services map[string]Service
	limits   Limits
}

// Queue accepts the jobs that callers send to its host and to paths with its prefix. Service is the service whose
// workers run them.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority is the rank of the queue's tasks. 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job fails.
	MaxAttempts int
	// Stretch and Slack set the objective for a job's duration: Stretch times the job's longest chain of work, plus
	// Slack.
	Stretch float64
	Slack   time.Duration
	Timeout time.Duration
	// Advice is set if the external advice service decides which workers may run a step.
	Advice *Advice
}

// Advice describes the external advice service for a queue. Valid is how long its tickets are valid.
type Advice struct {
	Decide, Each, Valid time.Duration
}

// Service is a pool of workers that run the jobs of queues.
type Service struct {
	Name string
	// GuardsCapacity means that the service's workers refuse a start that exceeds their capacity.
	GuardsCapacity bool
	// StandbyHosts means that the service's hosts are off until they are moved to another service.
	StandbyHosts bool
	HealthPath   string
}

// Limits holds the size and time limits for callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// New returns a manifest. The caller must not change the arguments afterwards.
func New(version int64, queues []Queue, services []Service, limits Limits) *Manifest {
	m := &Manifest{version: version, queues: queues, services: map[string]Service{}, limits: limits}
	for _, s := range services {
		m.services[s.Name] = s
	}
	return m
}

// Version returns the manifest's version number. A higher number is newer.
func (m *Manifest) Version() int64 { return m.version }

// Limits returns the limits for callers' requests.
func (m *Manifest) Limits() Limits { return m.limits }

// Match returns the queue for a host and a path: the queue of the host with the longest path prefix that matches.
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

// Queue returns the queue with the given name.
func (m *Manifest) Queue(name string) (Queue, bool) {
	for _, q := range m.queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// HighestPriority returns the priority of the queues that come first: the lowest number.
func (m *Manifest) HighestPriority() int {
	highest := 0
	for i, q := range m.queues {
		if i == 0 || q.Priority < highest {
			highest = q.Priority
		}
	}
	return highest
}

// Service returns the service with the given name.
func (m *Manifest) Service(name string) (Service, bool) {
	s, ok := m.services[name]
	return s, ok
}
