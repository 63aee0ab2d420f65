// Package gateway serves callers: requests, jobs and streams.
//
// The stages of a request, in order:
//
//	parse and check -> settings of its kind (one version for the whole request)
//	  -> key (package binding) -> gate (package admit) -> server (package route)
//	  -> send once -> outcome -> whole answer
//
// Only the Gateway keeps state beyond a request: the pools, the gates, the keys.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/connection/peer"
	"github.com/wrenferry/wrenferry/pkg/connection/runner"
	"github.com/wrenferry/wrenferry/pkg/request/admit"
	"github.com/wrenferry/wrenferry/pkg/request/binding"
	"github.com/wrenferry/wrenferry/pkg/request/route"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Settings gives access to the settings in force.
type Settings interface {
	Current() *settings.Tree
	// ServiceState returns the state of a service: Started, Draining or Stopped.
	ServiceState(service string) string
}

// Peers calls the other entry hosts.
type Peers interface {
	// Ask asks all other entry hosts about a key, and returns their combined answer.
	Ask(ctx context.Context, q *wire.AskRequest) peer.KeyAnswers
	// AnnounceLeaving notifies all other entry hosts that a server is leaving.
	AnnounceLeaving(service, name string)
	// WakeLeader notifies the hall's leader of a new row in its inbox.
	WakeLeader(hall string)
}

// Table reads and writes the platform's table.
type Table interface {
	Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitReply, error)
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error)
}

// The services' states that operators set.
const (
	Started  = "started"
	Draining = "draining"
	Stopped  = "stopped"
)

// Gateway serves callers at one entry host.
type Gateway struct {
	hall     string
	settings Settings
	peers    Peers
	table    Table
	keys     *binding.Keys
	client   *runner.Client
	metrics  metrics.Registry
	now      func() time.Time
	unsafe   Unsafe

	mu            sync.Mutex
	services      map[string]*service
	largestWorker *wire.Size    // the maximum of each resource over the listed workers, or nil
	draining      chan struct{} // closed by Drain
}

// service is the state of one service that its requests share.
type service struct {
	pool   *runner.Pool
	gate   *admit.Gate
	budget *admit.Budget
}

// Unsafe switches off one safeguard per field, so that a test can show that the safeguard is needed.
type Unsafe struct {
	// NoAsk runs work without asking the other entry hosts about its key.
	NoAsk bool
	// NoSentMark answers "not run" whenever a server gave no answer.
	NoSentMark bool
	// NoLeaving sends requests also to servers that announced that they are leaving.
	NoLeaving bool
}

// Config holds the parameters of New.
type Config struct {
	Hall        string
	Settings    Settings
	Peers       Peers
	Table       Table
	Keys        *binding.Keys
	Connections int // the number of connections to one server
	Metrics     metrics.Registry
	Unsafe      Unsafe
}

// New returns a gateway.
func New(c Config) *Gateway {
	return &Gateway{
		hall: c.Hall, settings: c.Settings, peers: c.Peers, table: c.Table, keys: c.Keys,
		client: runner.NewClient(c.Connections), metrics: c.Metrics, now: time.Now, unsafe: c.Unsafe,
		services: map[string]*service{}, draining: make(chan struct{}),
	}
}

// Routes adds the callers' paths to a mux.
func (g *Gateway) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/requests/{service}/{kind}", g.serveRequest)
	mux.HandleFunc("POST /v1/jobs/{service}/{kind}", g.serveSubmit)
	mux.HandleFunc("GET /v1/jobs/{key}", g.serveJob)
	mux.HandleFunc("DELETE /v1/jobs/{key}", g.serveCancel)
	mux.HandleFunc("GET /v1/streams/{service}/{kind}", g.serveStream)
}

// Drain ends the streams, each between two events. Requests continue to be served.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.draining:
	default:
		close(g.draining)
	}
}

// service returns the shared state of a service, which it creates if there is none.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		s = &service{pool: runner.NewPool(g.hall, random, route.New), gate: admit.NewGate(), budget: &admit.Budget{}}
		g.services[name] = s
	}
	return s
}

// SetHosts applies the list of hosts: the servers of each service, and the sizes of workers.
func (g *Gateway) SetHosts(hosts []*wire.Host) {
	byService := map[string][]*wire.Host{}
	var largest *wire.Size
	for _, h := range hosts {
		switch {
		case h.GetService() != "":
			if g.unsafe.NoLeaving {
				h = proto.CloneOf(h)
				h.Leaving = false
			}
			byService[h.GetService()] = append(byService[h.GetService()], h)
		case h.GetCapacity() != nil:
			largest = maxSize(largest, h.GetCapacity())
		}
	}
	g.mu.Lock()
	g.largestWorker = largest
	for name := range g.services {
		if _, ok := byService[name]; !ok {
			byService[name] = nil
		}
	}
	g.mu.Unlock()
	for name, list := range byService {
		g.service(name).pool.SetServers(list)
	}
}

// maxSize returns the maximum of each resource.
func maxSize(a, b *wire.Size) *wire.Size {
	if a == nil {
		return b
	}
	return &wire.Size{
		Millicores:   max(a.GetMillicores(), b.GetMillicores()),
		MemoryMb:     max(a.GetMemoryMb(), b.GetMemoryMb()),
		Accelerators: max(a.GetAccelerators(), b.GetAccelerators()),
	}
}

// SetLeaving records that a server is leaving, as a peer or an operator reported. It returns
// whether this was unknown before.
func (g *Gateway) SetLeaving(serviceName, name string) bool {
	if g.unsafe.NoLeaving {
		return false
	}
	return g.service(serviceName).pool.SetLeaving(name)
}

// ServiceView describes one service on the status page. Open counts the servers that accept work.
type ServiceView struct {
	Service string `json:"service"`
	State   string `json:"state"`
	Servers int    `json:"servers"`
	Open    int    `json:"open"`
	Queued  int    `json:"queued"`
}

// View describes every service that has been used or listed.
func (g *Gateway) View() []ServiceView {
	g.mu.Lock()
	names := make([]string, 0, len(g.services))
	for name := range g.services {
		names = append(names, name)
	}
	g.mu.Unlock()
	views := make([]ServiceView, 0, len(names))
	for _, name := range names {
		s := g.service(name)
		all, open := s.pool.Counts()
		views = append(views, ServiceView{name, g.settings.ServiceState(name), all, open, s.gate.Len()})
	}
	return views
}

func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter(name, g.metrics).Inc(1)
}
