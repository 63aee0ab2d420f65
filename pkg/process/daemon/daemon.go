// Package daemon puts one entry host together and runs it from its start to its
// planned stop.
//
// Its parts are held by a suture supervisor: the control loop (one goroutine
// that owns the hall's state), the settings store, the reader of the host list,
// and three servers (callers, operators, peers). Between control and traffic go
// only immutable snapshots.
package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/wrenferry/wrenferry/pkg/connection/peer"
	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/connection/worker"
	"github.com/wrenferry/wrenferry/pkg/process/control"
	"github.com/wrenferry/wrenferry/pkg/process/current"
	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/process/parts"
	"github.com/wrenferry/wrenferry/pkg/request/binding"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// connectionsPerServer is what each backend server takes, from all entry hosts
	// together.
	connectionsPerServer = 64
	// maxHeaderBytes bounds the headers of a call; larger ones get status 431.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds how long a caller may take to send them.
	headerTimeout = 10 * time.Second
	// releaseTimeout is how long a planned stop waits to give up the leadership.
	releaseTimeout = 5 * time.Second
)

// Daemon is one entry host.
type Daemon struct {
	config    Config
	unsafe    Unsafe
	log       *logrus.Entry
	metrics   metrics.Registry
	table     *platform.Client
	store     *current.Store
	peers     *peer.Peers
	loop      *control.Loop
	gateway   *gateway.Gateway
	operatorsAPI *operators.Server
	hosts     atomic.Pointer[[]*wire.Host]

	callersServer *parts.HTTP
	operatorsServer   *parts.HTTP
	peersServer *parts.GRPC
}

// Option changes how a Daemon is made.
type Option func(*options)

type options struct {
	unsafe Unsafe
}

// Unsafe takes fences out, for tests that show they are needed.
type Unsafe struct {
	Hall    hall.Unsafe
	Gateway gateway.Unsafe
	// NoDrain ends at once at a planned stop.
	NoDrain bool
	// NoMonotonic lets a lower settings version replace a higher one.
	NoMonotonic bool
}

// WithUnsafe takes fences out, for tests that show they are needed.
func WithUnsafe(u Unsafe) Option { return func(o *options) { o.unsafe = u } }

// New puts an entry host together and opens its ports.
func New(config Config, log *logrus.Logger, opts ...Option) (*Daemon, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	now := time.Now()
	holder := config.Name + "/" + uuid.NewString()
	d := &Daemon{
		config:  config,
		unsafe:  o.unsafe,
		log:     log.WithFields(logrus.Fields{"host": config.Name, "hall": config.Hall}),
		metrics: metrics.NewRegistry(),
		table:   platform.NewClient(config.Platform, config.Name),
	}
	d.hosts.Store(&[]*wire.Host{})
	keys := binding.New(config.Name, now)
	d.peers = peer.NewPeers(config.Name, config.Hall, func() { d.loop.Wake() })
	store, err := current.NewStore(d.table, d.peers, d.log, d.metrics)
	if err != nil {
		return nil, err
	}
	d.store = store
	store.Unsafe(o.unsafe.NoMonotonic)
	state := hall.New(config.Hall, holder, config.Control, hall.WithUnsafe(o.unsafe.Hall), hall.WithOthers(otherHalls(config)))
	d.loop = control.NewLoop(config.Hall, state, d.table, worker.NewClient(config.Name), d.log, d.metrics)
	d.gateway = gateway.New(gateway.Config{
		Hall: config.Hall, Settings: store, Peers: d.peers, Table: d.table, Keys: keys,
		Connections: max(1, connectionsPerServer/max(1, config.EntryHosts)), Metrics: d.metrics, Unsafe: o.unsafe.Gateway,
	})
	d.operatorsAPI = &operators.Server{
		Name: config.Name, Hall: config.Hall, Table: d.table, Control: d.loop, Peers: d.peers, Settings: store,
		Gateway: d.gateway, Metrics: d.metrics, Hosts: func() []*wire.Host { return *d.hosts.Load() },
	}
	return d, d.listen(keys)
}

func otherHalls(config Config) []string {
	var list []string
	for _, h := range config.Halls {
		if h != config.Hall {
			list = append(list, h)
		}
	}
	return list
}

func (d *Daemon) listen(keys *binding.Keys) error {
	callers := http.NewServeMux()
	d.gateway.Routes(callers)
	admin := http.NewServeMux()
	d.operatorsAPI.Routes(admin)
	d.gateway.Routes(admin) // operators start jobs as callers do
	peers := grpc.NewServer()
	wire.RegisterPeerServer(peers, &peer.Server{
		Name: d.config.Name, Hall: d.config.Hall, Keys: keys, Settings: d.store, Gateway: d.gateway, Control: d.loop,
	})
	var err error
	if d.callersServer, err = newServer("callers", d.config.Callers, callers); err != nil {
		return err
	}
	if d.operatorsServer, err = newServer("operators", d.config.Operators, admin); err != nil {
		return err
	}
	listener, err := parts.Listen("control", d.config.Control)
	if err != nil {
		return err
	}
	d.peersServer = &parts.GRPC{Server: peers, Listener: listener}
	return nil
}

// CallersAddress is where callers are served.
func (d *Daemon) CallersAddress() string { return d.callersServer.Listener.Addr().String() }

// OperatorsAddress is where operators are served.
func (d *Daemon) OperatorsAddress() string { return d.operatorsServer.Listener.Addr().String() }

// Run runs the entry host until the context ends, and then stops it as planned.
func (d *Daemon) Run(ctx context.Context) error {
	d.store.Watch(func(t *settings.Tree) { d.loop.Tell(hall.SettingsChanged{Tree: t}) })
	// A panic ends the process: a control state that was left half changed must
	// not go on, and another entry host takes over.
	supervisor := suture.New("wrenferryd", suture.Spec{PassThroughPanics: true, EventHook: func(e suture.Event) {
		metrics.GetOrRegisterCounter("supervisor.events", d.metrics).Inc(1)
		d.log.WithField("event", e.String()).Warn("a part ended and is started again")
	}})
	supervisor.Add(d.loop)
	supervisor.Add(d.store)
	supervisor.Add(&hostListReader{daemon: d})
	supervisor.Add(d.callersServer)
	supervisor.Add(d.operatorsServer)
	supervisor.Add(d.peersServer)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := supervisor.ServeBackground(running)
	d.operatorsAPI.SetReady(true)
	d.log.WithField("callers", d.CallersAddress()).Info("entry host started")
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	if !d.unsafe.NoDrain {
		d.plannedStop()
	}
	cancel()
	<-ended
	d.log.Info("entry host stopped")
	return nil
}

// plannedStop is the planned stop: say that the host is leaving, let the balancer see
// it, finish what is in flight, give the leadership up.
func (d *Daemon) plannedStop() {
	d.log.Info("planned stop begins")
	d.operatorsAPI.SetReady(false)
	d.loop.Tell(hall.Drain{})
	time.Sleep(d.config.DrainWait)
	d.gateway.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.config.DrainLimit)
	defer cancel()
	if err := d.callersServer.Server.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("the drain limit passed with calls in flight")
	}
	deadline := time.Now().Add(releaseTimeout)
	for !d.loop.Status().Released && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
}

// newServer opens a port for a handler.
func newServer(name, address string, handler http.Handler) (*parts.HTTP, error) {
	listener, err := parts.Listen(name, address)
	if err != nil {
		return nil, err
	}
	return &parts.HTTP{Listener: listener, Server: &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
	}}, nil
}

// ------------------------------------------------------------------ hosts

// hostPollInterval is how often the host list is read.
const hostPollInterval = 500 * time.Millisecond

// hostListReader reads the platform's list of hosts and hands it to all that use
// it. While the platform is away the last list stays.
type hostListReader struct{ daemon *Daemon }

// String names the part for the supervisor.
func (h *hostListReader) String() string { return "host list reader" }

// Serve reads until the context ends.
func (h *hostListReader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(hostPollInterval)
	defer ticker.Stop()
	for {
		h.read(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (h *hostListReader) read(ctx context.Context) {
	d := h.daemon
	list, err := d.table.Hosts(ctx)
	if err != nil {
		metrics.GetOrRegisterCounter("hosts.read-failed", d.metrics).Inc(1)
		return
	}
	d.hosts.Store(&list)
	d.peers.SetHosts(time.Now(), list)
	d.gateway.SetHosts(list)
	d.loop.Tell(hall.HostsListed{Hosts: list})
}
