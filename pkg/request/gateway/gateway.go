// Package gateway serves callers: requests, jobs and streams.
//
// One request's life flows one way:
//
//	parse and check -> settings of its kind (one version for its whole life)
//	  -> key (package binding) -> gate (package admit) -> server (package route)
//	  -> send once -> outcome -> whole answer
//
// Nothing here outlives a request but what the Gateway holds: the pools, the
// gates, the keys.
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

// Settings is what the gateway needs of the settings in force.
type Settings interface {
	Current() *settings.Tree
	ServiceState(service string) string
}

// Peers is what the gateway needs of the other entry hosts.
type Peers interface {
	// Ask asks all of them about a key, and reports what came of it.
	Ask(ctx context.Context, q *wire.AskRequest) peer.Asked
	// SpreadLeaving tells all of them that a server is leaving.
	SpreadLeaving(service, name string)
	// WakeLeader tells the hall's leader that its inbox has something.
	WakeLeader(hall string)
}

// Table is what the gateway needs of the platform's table.
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
	largestWorker *wire.Size // the largest worker listed
	draining      chan struct{}
}

// service is what outlives the requests of one service.
type service struct {
	pool   *runner.Pool
	gate   *admit.Gate
	budget *admit.Budget
}

// Unsafe takes out one fence each. It exists so that a test can show that the
// fence is needed.
type Unsafe struct {
	// NoAsk runs work without asking the other entry hosts for its key.
	NoAsk bool
	// NoSentMark says "not run" whenever a server gave no answer.
	NoSentMark bool
	// NoLeaving sends to servers that said they are leaving.
	NoLeaving bool
}

// Config is what a Gateway is made of.
type Config struct {
	Hall        string
	Settings    Settings
	Peers       Peers
	Table       Table
	Keys        *binding.Keys
	Connections int // to one server
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

// Drain ends the streams, each between two events; requests go on.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.draining:
	default:
		close(g.draining)
	}
}

// service finds or makes what outlives the requests of a service.
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

// SetHosts takes in the host list.
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
		g.service(name).pool.SetHosts(list)
	}
}

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

// SetLeaving takes in the news that a server is leaving, from a peer or an
// operator. It says whether it was news.
func (g *Gateway) SetLeaving(serviceName, name string) bool {
	if g.unsafe.NoLeaving {
		return false
	}
	return g.service(serviceName).pool.SetLeaving(name)
}

// ServiceView is one service's line on the status page.
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
