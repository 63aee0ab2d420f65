package fleet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/connection/fleetpeer"
	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/connection/traffic"
	"github.com/wrenferry/wrenferry/pkg/container"
	"github.com/wrenferry/wrenferry/pkg/eventlog"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/inventory"
	"github.com/wrenferry/wrenferry/pkg/process/relay"
	"github.com/wrenferry/wrenferry/pkg/process/supervised"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/evacuation"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// maxStoreSilence is how long the table may fail to answer, directly and through peers, before this
	// host reports itself not ready, so that the balancer sends callers to other hosts.
	maxStoreSilence = 1500 * time.Millisecond
	// balancerNoticeTime is how long a stopping host continues to accept calls: the balancer probes once a
	// second and removes a host after two failed probes.
	balancerNoticeTime = 2200 * time.Millisecond
	// handoverTimeout is the longest time that a stopping host waits until it leads no cell.
	handoverTimeout = 1500 * time.Millisecond
	// handoverCheckInterval is the pause between two checks during that wait.
	handoverCheckInterval = 10 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the exit of the process.
	stopMargin = 500 * time.Millisecond
	// headerTimeout is the longest time that a caller may take to send its headers.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long an idle caller connection is kept. It is longer than callers keep theirs,
	// so that this host closes no connection on which a call was just sent.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of a call's headers, in bytes.
	maxHeaderBytes = 16 << 10
	// streamWindow is the gRPC flow-control window in bytes; it is small to limit the memory of peer connections.
	streamWindow = 64 << 10
	// streamBuffer is the size of a peer connection's read and write buffers, in bytes.
	streamBuffer = 8 << 10
	// claimDelaySpread is the range of the hosts' random claim delays. Hosts that read the same free leadership row
	// claim it at different times, so that one of them wins.
	claimDelaySpread = 150 * time.Millisecond
)

// Adapters holds the adapters through which a host reaches the platform.
type Adapters struct {
	// Meter counts the calls of the process; nil counts none.
	Meter  *traffic.Meter
	Table  store.Direct
	Caller workers.Caller
	// Advisor is called for tasks of the queues that need advice.
	Advisor workers.Advisor
	// Inventory is the platform's list of the workers that run; nil: there is none.
	Inventory inventory.Reader
	Source    Source
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	// CallerAPI returns the HTTP handler of the caller API, and a service that runs with the host.
	CallerAPI func(h *Host) (http.Handler, suture.Service)
}

// Host is one entry host.
type Host struct {
	Config  Config
	Store   *store.Client
	Control *Control
	Hosts   *Hosts
	Relays  *Relays
	Metrics metrics.Registry
	Log     *logrus.Entry

	eventLog *eventlog.Log
	peers    *fleetpeer.Clients
	manifest atomic.Pointer[manifest.Manifest]
	// operatorsPassed holds the operators' rows that a relay has passed on.
	operatorsPassed *container.Mailbox[relay.Reading]
	workers         *WorkersFollower
	leaving         atomic.Bool
	grace           atomic.Int64 // grace period of a planned stop, in ns
	outside         Adapters
	self            election.Self
	// refuseLate is the treatment of jobs that would be too late, which may change while the host runs.
	refuseLate atomic.Pointer[string]

	callerService                            suture.Service
	callerServer, readyServer, metricsServer *http.Server
	listeners                                map[*http.Server]net.Listener
	grpc                                     *grpc.Server
	grpcListener                             net.Listener
}

// New returns a host with its ports open. Run starts it.
func New(config Config, outside Adapters, log *eventlog.Log, options ...cell.Option) (*Host, error) {
	now := clock.Now()
	incarnation := uuid.New()
	self := election.Self{
		Incarnation: config.Name + "/" + incarnation.String(), Host: config.Name, Hall: config.Hall, Address: config.Control, Since: now,
		Delay: time.Duration(incarnation[0]) * claimDelaySpread / 256,
	}
	h := &Host{
		Config: config, outside: outside, eventLog: log, Metrics: metrics.NewRegistry(), self: self,
		Log:             log.With(logrus.Fields{"host": config.Name, "hall": config.Hall, "life": incarnation.String()[:8]}),
		peers:           fleetpeer.NewClients(outside.Dial, outside.Meter),
		operatorsPassed: container.NewMailbox[relay.Reading](),
		listeners:       map[*http.Server]net.Listener{},
	}
	h.grace.Store(int64(config.Grace))
	h.refuseLate.Store(&config.RefuseLate)
	h.Hosts = &Hosts{Self: self, Peers: h.peers, Processors: config.Processors, Log: h.Log}
	h.Store = store.New(outside.Table, h.Hosts.TablePeers, h.Metrics, now)
	h.Hosts.Store = h.Store
	cells := map[string]string{}
	for _, hall := range config.Halls {
		cells[hall] = hall
	}
	h.Control = NewControl(self, cells, config.Bounds(), h.Store, outside.Caller, outside.Advisor, h.Log, h.Metrics, options...)
	if outside.Inventory != nil {
		h.Control.inventory = outside.Inventory
	}
	h.Control.askForRelease = h.askForRelease
	h.Control.askLeadership = h.askLeadership
	h.Control.notifyPeer = h.notifyPeer
	h.Control.notifySuccessor = h.notifySuccessor
	h.Control.handicap = h.Hosts.Handicap
	h.shareReadings()
	return h, h.listen()
}

// Manifest returns the newest manifest, or nil before one has been read.
func (h *Host) Manifest() *manifest.Manifest { return h.manifest.Load() }

// PeerClient returns the gRPC client for a peer's address.
func (h *Host) PeerClient(address string) (wire.FleetClient, error) {
	return h.peers.PeerClient(address)
}

// listen opens the ports of the caller API, the readiness check, the metrics and the peers' calls.
func (h *Host) listen() error {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET /readyz", h.serveReady)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", h.serveMetrics)
	metricsMux.HandleFunc("GET /status", h.serveStatus)
	metricsMux.HandleFunc("GET /suspects", h.serveSuspects)
	metricsMux.HandleFunc("DELETE /suspects/{task}", h.serveClearSuspicion)
	var err error
	handler, service := h.outside.CallerAPI(h)
	h.callerService = service
	if h.callerServer, err = h.openServer("callers", h.Config.Callers, h.closeWhenLeaving(handler)); err != nil {
		return err
	}
	if h.readyServer, err = h.openServer("ready", h.Config.Ready, readyMux); err != nil {
		return err
	}
	if h.metricsServer, err = h.openServer("metrics", h.Config.Metrics, metricsMux); err != nil {
		return err
	}
	h.grpc = grpc.NewServer(
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(streamWindow),
		grpc.ReadBufferSize(streamBuffer), grpc.WriteBufferSize(streamBuffer),
		grpc.StatsHandler(traffic.RPCHandler{Meter: h.outside.Meter, Prefix: "served "}),
	)
	wire.RegisterFleetServer(h.grpc, &fleetpeer.Server{Control: h.Control, Table: h.outside.Table, Relay: h.Relays, Workers: h.workers})
	h.grpcListener, err = supervised.Listen("control", h.Config.Control)
	return err
}

// closeWhenLeaving adds "Connection: close" to each response while this host is stopping. Closing the
// connections that look idle would abort calls that were sent and are not read yet.
func (h *Host) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// openServer opens a port and returns the HTTP server for it; Run serves it.
func (h *Host) openServer(name, address string, handler http.Handler) (*http.Server, error) {
	listener, err := supervised.Listen(name, address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	h.listeners[s] = listener
	return s, nil
}

// Run runs the host and the given services until the context ends, and then performs a planned stop.
func (h *Host) Run(ctx context.Context, beside ...suture.Service) error {
	// A panic ends the process: scheduling state that is only partly updated must not be used any
	// more, and another host takes over.
	supervisor := suture.New("wrenferryd", suture.Spec{PassThroughPanics: true, EventHook: func(e suture.Event) {
		h.Log.WithField("detail", e.String()).Warn("part-ended")
	}})
	for _, part := range append(h.parts(), beside...) {
		supervisor.Add(part)
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	h.Log.WithField("callers", h.Config.Callers).Info("host-started")
	ended := supervisor.ServeBackground(running)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	h.plannedStop()
	cancel()
	<-ended
	h.Log.Info("host-stopped")
	h.eventLog.Flush()
	return nil
}

// parts returns the services that the supervisor runs.
func (h *Host) parts() []suture.Service {
	list := []suture.Service{
		h.eventLog, h.Control, h.Hosts, h.Relays, h.callerService,
		&OperatorFollower{
			Store: h.Store, Source: h.outside.Source, Halls: h.Config.Halls, Log: h.Log, Metrics: h.Metrics,
			Manifest:    h.acceptManifest,
			Evacuations: func(o evacuation.Orders) { h.Control.send(evacuationsChanged{orders: o}) },
			Direct:      h.Relays.ReadsOperators,
			Passed:      h.operatorsPassed, Read: h.Relays.OperatorsRead, Lost: h.Relays.OperatorsLost,
		},
		h.workers,
		&LeadershipFollower{
			Store: h.Store, Control: h.Control, Read: h.Relays.LeadershipsRead, Direct: h.Relays.ReadsLeaderships,
		},
		&strongerHostHandover{host: h},
		&suspensionWatch{outside: h.outside, log: h.Log},
		&supervised.GRPCServer{Server: h.grpc, Listener: h.grpcListener},
	}
	if h.outside.Meter != nil {
		list = append(list, &traffic.Reporter{Meter: h.outside.Meter, Log: h.Log})
	}
	for s, l := range h.listeners {
		list = append(list, &supervised.HTTPServer{Server: s, Listener: l})
	}
	return list
}

// RefuseLate returns the present treatment of jobs that would surely be too late.
func (h *Host) RefuseLate() string { return *h.refuseLate.Load() }

// Reconfigure applies the settings that may change while the host runs.
func (h *Host) Reconfigure(c Config) {
	h.grace.Store(int64(c.Grace))
	h.refuseLate.Store(&c.RefuseLate)
	if level, err := c.Level(); err == nil { // ParseConfig has checked it
		h.eventLog.SetLevel(level)
	}
	h.Control.send(boundsChanged{bounds: c.Bounds()})
}

// acceptManifest makes a manifest the one in force on this host.
func (h *Host) acceptManifest(m *manifest.Manifest) {
	h.manifest.Store(m)
	h.Control.send(manifestChanged{manifest: m})
}

// plannedStop performs the planned stop: it marks the host as leaving, hands its cells over, accepts calls
// until the balancer has removed the host, and waits for the calls in flight.
func (h *Host) plannedStop() {
	began := clock.Now()
	h.Log.Info("host-stopping")
	h.leaving.Store(true)
	h.Hosts.MarkLeaving()
	if h.Config.ConfirmedHandover {
		h.handOverConfirmed(began)
	} else {
		h.handOver()
	}
	time.Sleep(balancerNoticeTime - clock.Now().Sub(began))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(h.grace.Load())-stopMargin-clock.Now().Sub(began))
	defer cancel()
	if err := h.callerServer.Shutdown(ctx); err != nil {
		h.Log.WithField("why", err.Error()).Warn("stop-cut-calls")
	}
}

// handOver releases all cells that this process leads and asks a host of each cell's hall to take over.
func (h *Host) handOver() {
	led := h.Control.LedCells()
	h.Control.BeginStop()
	for _, name := range led {
		next := h.Hosts.Successor(h.Control.View().Cells[name].Hall)
		if next == nil {
			continue
		}
		h.Log.WithFields(logrus.Fields{"cell": name, "to": next.GetName()}).Info("cell-handed-over")
		h.askToTakeOver(context.Background(), next, name)
	}
	deadline := clock.Now().Add(handoverTimeout)
	for len(h.Control.LedCells()) > 0 && clock.Now().Before(deadline) {
		time.Sleep(handoverCheckInterval)
	}
}

// peerCallTimeout is the timeout of the short control calls to a peer, such as TakeOver, Yield and Load.
const peerCallTimeout = 300 * time.Millisecond

// askLeadership asks the process at an address whether it leads a cell. If that process is the incarnation named
// by holder, the answer includes the leases that it granted. ok is false without an answer.
func (h *Host) askLeadership(address, cellName, holder string) (answer predecessorAnswer, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	p, err := h.peers.PeerClient(address)
	if err != nil {
		return answer, false
	}
	load, err := p.Load(ctx, &wire.CellRef{Cell: cellName, GrantsOf: holder})
	if err != nil {
		return answer, false
	}
	answer = predecessorAnswer{holdsLeadership: load.GetHolds(), grantsKnown: load.GetGrantsTold(), grants: map[string]time.Duration{}, uptime: time.Duration(load.GetUpMs()) * time.Millisecond}
	for id, ms := range load.GetGrantsMs() {
		answer.grants[id] = time.Duration(ms) * time.Millisecond
	}
	return answer, load.GetCell() == cellName
}

// notifyPeer notifies the process at an address of a change to the cell that it leads.
func (h *Host) notifyPeer(ctx context.Context, address string, e cell.NotifyLeader) error {
	p, err := h.peers.PeerClient(address)
	if err != nil {
		return err
	}
	switch {
	case e.Delegated != nil:
		_, err = p.Accepted(ctx, &wire.AcceptedJob{Spec: e.Delegated})
	case e.Returned != nil:
		_, err = p.Returned(ctx, e.Returned)
	default:
		_, err = p.Cancelled(ctx, &wire.JobRef{Cell: e.Cell, Id: e.Cancelled})
	}
	return err
}

// askForRelease asks the process at an address, a leader from another hall, to release a cell. It does not wait.
func (h *Host) askForRelease(cellName, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		p, err := h.peers.PeerClient(address)
		if err != nil {
			return // a later leadership row names another address
		}
		if _, err := p.Yield(ctx, &wire.CellRef{Cell: cellName}); err != nil {
			h.Log.WithFields(logrus.Fields{"cell": cellName, "why": err.Error()}).Warn("yield-unanswered")
		}
	}()
}

// Ready reports whether this host accepts calls, and the reason if it does not.
func (h *Host) Ready(now time.Time) (bool, string) {
	switch {
	case h.leaving.Load():
		return false, "stopping"
	case h.manifest.Load() == nil:
		return false, "no manifest yet"
	case h.Store.SinceLastAnswer(now) > maxStoreSilence:
		return false, "the table does not answer"
	}
	return true, ""
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, why := h.Ready(clock.Now()); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
