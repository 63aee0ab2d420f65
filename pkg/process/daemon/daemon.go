// Package daemon assembles an entry host and runs it from its start to its planned stop.
//
// A suture supervisor runs its services: the control loop (one goroutine that owns the hall's state), the settings
// store, the host list reader, and the servers for callers, operators and peers. The control loop and the request path
// share immutable snapshots only.
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
	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/process/settingsstore"
	"github.com/wrenferry/wrenferry/pkg/process/supervised"
	"github.com/wrenferry/wrenferry/pkg/request/binding"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// connectionsPerServer is the number of connections to each backend server, summed over all entry hosts.
	connectionsPerServer = 64
	// maxHeaderBytes is the size limit of a call's headers. A call that exceeds it gets status 431.
	maxHeaderBytes = 64 << 10
	// headerTimeout is the time within which a caller must have sent the headers.
	headerTimeout = 10 * time.Second
	// releaseTimeout is how long a planned stop waits until the leadership is released.
	releaseTimeout = 5 * time.Second
	// releasePollInterval is the time between two checks of whether the leadership is released.
	releasePollInterval = 10 * time.Millisecond
)

// Daemon is one entry host: its services and the clients that they share.
type Daemon struct {
	config       Config
	unsafe       Unsafe
	log          *logrus.Entry
	metrics      metrics.Registry
	table        *platform.Client
	store        *settingsstore.Store
	peers        *peer.Peers
	loop         *control.Loop
	gateway      *gateway.Gateway
	operatorsAPI *operators.Server
	hosts        atomic.Pointer[[]*wire.Host]

	callersServer   *supervised.HTTPServer
	operatorsServer *supervised.HTTPServer
	peersServer     *supervised.GRPCServer
}

// Option is an option of New.
type Option func(*options)

type options struct {
	unsafe Unsafe
}

// Unsafe disables safeguards, for tests that show that each safeguard is needed.
type Unsafe struct {
	Hall    hall.Unsafe
	Gateway gateway.Unsafe
	// NoDrain makes a planned stop end the process at once, without draining.
	NoDrain bool
	// NoMonotonic allows a lower settings version to replace a higher one.
	NoMonotonic bool
}

// WithoutSafeguards disables safeguards, for tests that show that each safeguard is needed.
func WithoutSafeguards(u Unsafe) Option { return func(o *options) { o.unsafe = u } }

// New assembles an entry host and opens its ports. It returns an error if a port can't be opened.
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
	d.peers = peer.NewPeers(config.Name, config.Hall, func() { d.loop.ReadInboxNow() })
	store, err := settingsstore.NewStore(d.table, d.peers, d.log, d.metrics)
	if err != nil {
		return nil, err
	}
	d.store = store
	store.AllowOlderVersions(o.unsafe.NoMonotonic)
	state := hall.New(config.Hall, holder, config.Control, hall.WithUnsafe(o.unsafe.Hall), hall.WithOtherHalls(otherHalls(config)))
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

// otherHalls returns the halls of the deployment other than the host's own.
func otherHalls(config Config) []string {
	var list []string
	for _, h := range config.Halls {
		if h != config.Hall {
			list = append(list, h)
		}
	}
	return list
}

// listen opens the ports for callers, operators and peers and creates their servers.
func (d *Daemon) listen(keys *binding.Keys) error {
	callersMux := http.NewServeMux()
	d.gateway.Routes(callersMux)
	operatorsMux := http.NewServeMux()
	d.operatorsAPI.Routes(operatorsMux)
	d.gateway.Routes(operatorsMux) // operators submit jobs by the callers' paths
	peersServer := grpc.NewServer()
	wire.RegisterPeerServer(peersServer, &peer.Server{
		Name: d.config.Name, Hall: d.config.Hall, Keys: keys, Settings: d.store, Gateway: d.gateway, Control: d.loop,
	})
	var err error
	if d.callersServer, err = newServer("callers", d.config.Callers, callersMux); err != nil {
		return err
	}
	if d.operatorsServer, err = newServer("operators", d.config.Operators, operatorsMux); err != nil {
		return err
	}
	listener, err := supervised.Listen("control", d.config.Control)
	if err != nil {
		return err
	}
	d.peersServer = &supervised.GRPCServer{Server: peersServer, Listener: listener}
	return nil
}

// CallersAddress returns the address at which callers are served.
func (d *Daemon) CallersAddress() string { return d.callersServer.Listener.Addr().String() }

// OperatorsAddress returns the address at which operators are served.
func (d *Daemon) OperatorsAddress() string { return d.operatorsServer.Listener.Addr().String() }

// Run runs the entry host until ctx ends, and then does a planned stop. It returns early if the supervisor ends.
func (d *Daemon) Run(ctx context.Context) error {
	d.store.Watch(func(t *settings.Tree) { d.loop.Post(hall.SettingsChanged{Tree: t}) })
	// A panic ends the process, since it may have left the control state half changed. Another entry host takes over.
	supervisor := suture.New("wrenferryd", suture.Spec{PassThroughPanics: true, EventHook: func(e suture.Event) {
		metrics.GetOrRegisterCounter("supervisor.events", d.metrics).Inc(1)
		d.log.WithField("event", e.String()).Warn("supervised service ended or failed; the supervisor restarts it")
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

// plannedStop drains the entry host. It reports the host as not ready, waits until the balancer has noticed, finishes
// the calls in flight, and waits until the leadership is released.
func (d *Daemon) plannedStop() {
	d.log.Info("planned stop started")
	d.operatorsAPI.SetReady(false)
	d.loop.Post(hall.Drain{})
	time.Sleep(d.config.DrainWait)
	d.gateway.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.config.DrainLimit)
	defer cancel()
	if err := d.callersServer.Server.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("drain limit reached with calls in flight")
	}
	deadline := time.Now().Add(releaseTimeout)
	for !d.loop.Status().Released && time.Now().Before(deadline) {
		time.Sleep(releasePollInterval)
	}
}

// newServer opens a port and returns an HTTP server for it. The name of the port stands in the error.
func newServer(name, address string, handler http.Handler) (*supervised.HTTPServer, error) {
	listener, err := supervised.Listen(name, address)
	if err != nil {
		return nil, err
	}
	return &supervised.HTTPServer{Listener: listener, Server: &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
	}}, nil
}

// ------------------------------------------------------------------ hosts

// hostPollInterval is the time between two reads of the host list.
const hostPollInterval = 500 * time.Millisecond

// hostListReader polls the platform's host list and passes it to the peers, the gateway, the control loop and the
// operators' interface. While the platform does not answer, they keep the previous list.
type hostListReader struct{ daemon *Daemon }

// String returns the name that the supervisor logs.
func (h *hostListReader) String() string { return "host list reader" }

// Serve polls the host list until ctx ends.
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

// read reads the host list once. A failure is counted only.
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
	d.loop.Post(hall.HostsListed{Hosts: list})
}
