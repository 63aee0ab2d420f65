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
	"github.com/wrenferry/wrenferry/pkg/eventlog"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/election"
	"github.com/wrenferry/wrenferry/pkg/process/parts"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

const (
	// storeSilence is how long the table may be silent, straight and through
	// peers, before this host sends callers to others.
	storeSilence = 1500 * time.Millisecond
	// balancerWait is how long a planned stop goes on taking calls: the
	// balancer asks once a second and takes a host out after two misses.
	balancerWait = 2200 * time.Millisecond
	// handoverWait bounds the wait for all seats to be given up.
	handoverWait = 1500 * time.Millisecond
	// stopMargin is kept of the grace for the process's own end.
	stopMargin = 500 * time.Millisecond
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a caller's unused connection is kept: longer than
	// callers keep theirs, so that none is closed under a call just sent.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the headers of a call.
	maxHeader = 16 << 10
	// streamWindow keeps the memory of peers' connections small.
	streamWindow = 64 << 10
	// delaySpread spreads hosts that see the same, so that one takes a seat.
	delaySpread = 150 * time.Millisecond
)

// Outside is what the host's surroundings provide, each through an adapter.
type Outside struct {
	Table  store.Direct
	Caller workers.Caller
	// Advisor is asked for the queues that need advice.
	Advisor workers.Advisor
	Source  Source
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// Callers makes the handler of callers' calls, and what runs beside it.
	Callers func(h *Host) (http.Handler, suture.Service)
}

// Host is one entry host.
type Host struct {
	Config  Config
	Store   *store.Client
	Control *Control
	Hosts   *Hosts
	Metrics metrics.Registry
	Log     *logrus.Entry

	eventLog *eventlog.Log
	peers    *fleetpeer.Clients
	manifest atomic.Pointer[manifest.Manifest]
	leaving  atomic.Bool
	grace    atomic.Int64 // of a planned stop, in ns
	outside  Outside
	self     election.Self

	beside                  suture.Service
	callers, ready, figures *http.Server
	listeners               map[*http.Server]net.Listener
	grpc                    *grpc.Server
	grpcListener            net.Listener
}

// New puts a host together and opens its ports.
func New(config Config, outside Outside, log *eventlog.Log, options ...cell.Option) (*Host, error) {
	now := clock.Now()
	life := uuid.New()
	self := election.Self{
		Life: config.Name + "/" + life.String(), Host: config.Name, Hall: config.Hall, Address: config.Control, Since: now,
		Delay: time.Duration(life[0]) * delaySpread / 256,
	}
	h := &Host{
		Config: config, outside: outside, eventLog: log, Metrics: metrics.NewRegistry(), self: self,
		Log:       log.With(logrus.Fields{"host": config.Name, "hall": config.Hall, "life": life.String()[:8]}),
		peers:     fleetpeer.NewClients(outside.Dial),
		listeners: map[*http.Server]net.Listener{},
	}
	h.grace.Store(int64(config.Grace))
	h.Hosts = &Hosts{Self: self, Peers: h.peers, Processors: config.Processors}
	h.Store = store.New(outside.Table, h.Hosts.ForTable, h.Metrics, now)
	h.Hosts.Store = h.Store
	cells := map[string]string{}
	for _, hall := range config.Halls {
		cells[hall] = hall
	}
	h.Control = NewControl(self, cells, config.Bounds(), h.Store, outside.Caller, outside.Advisor, h.Log, h.Metrics, options...)
	h.Control.yieldTo = h.yieldTo
	h.Control.leads = h.leads
	h.Control.tellThere = h.tellThere
	h.Control.handicap = h.Hosts.Handicap
	return h, h.listen()
}

// Manifest is the newest manifest, or nil while none has been read.
func (h *Host) Manifest() *manifest.Manifest { return h.manifest.Load() }

// To returns the client for a peer's address.
func (h *Host) To(address string) (wire.FleetClient, error) { return h.peers.To(address) }

func (h *Host) listen() error {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET /readyz", h.serveReady)
	figuresMux := http.NewServeMux()
	figuresMux.HandleFunc("GET /metrics", h.serveMetrics)
	figuresMux.HandleFunc("GET /status", h.serveStatus)
	figuresMux.HandleFunc("GET /suspects", h.serveSuspects)
	figuresMux.HandleFunc("DELETE /suspects/{task}", h.clearSuspicion)
	var err error
	handler, beside := h.outside.Callers(h)
	h.beside = beside
	if h.callers, err = h.server("callers", h.Config.Callers, h.lastCalls(handler)); err != nil {
		return err
	}
	if h.ready, err = h.server("ready", h.Config.Ready, readyMux); err != nil {
		return err
	}
	if h.figures, err = h.server("metrics", h.Config.Metrics, figuresMux); err != nil {
		return err
	}
	h.grpc = grpc.NewServer(
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(streamWindow),
		grpc.ReadBufferSize(8<<10), grpc.WriteBufferSize(8<<10),
	)
	wire.RegisterFleetServer(h.grpc, &fleetpeer.Server{Control: h.Control, Table: h.outside.Table})
	h.grpcListener, err = parts.Listen("control", h.Config.Control)
	return err
}

// lastCalls tells callers, once this host is stopping, that each answer is the
// last on its connection. Closing the connections that look unused would cut
// calls that have been sent and not read yet.
func (h *Host) lastCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Host) server(name, address string, handler http.Handler) (*http.Server, error) {
	listener, err := parts.Listen(name, address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: handler, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	h.listeners[s] = listener
	return s, nil
}

// Run runs the host until the context ends, and then stops it as planned.
// What else is given runs beside it.
func (h *Host) Run(ctx context.Context, beside ...suture.Service) error {
	// A panic ends the process: a control state that was left half changed must
	// not go on, and another host takes over.
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
	h.stop()
	cancel()
	<-ended
	h.Log.Info("host-stopped")
	h.eventLog.Flush()
	return nil
}

func (h *Host) parts() []suture.Service {
	list := []suture.Service{
		h.eventLog, h.Control, h.Hosts, h.beside,
		&ManifestFollower{Store: h.Store, Source: h.outside.Source, Log: h.Log, Changed: h.takeManifest},
		&WorkersFollower{
			Store: h.Store, Source: h.outside.Source, Halls: h.Config.Halls, Manifest: h.Manifest, Log: h.Log, Metrics: h.Metrics,
			Leads: func() bool { return len(h.Control.Held()) > 0 },
			Tell:  func(list []workers.Record) { h.Control.tell(workersCame{records: list}) },
		},
		&LeadsFollower{Store: h.Store, Control: h.Control},
		&relief{host: h},
		&waking{outside: h.outside, log: h.Log},
		&parts.GRPC{Server: h.grpc, Listener: h.grpcListener},
	}
	for s, l := range h.listeners {
		list = append(list, &parts.HTTP{Server: s, Listener: l})
	}
	return list
}

// Reconfigure applies the settings that may change while the host runs.
func (h *Host) Reconfigure(c Config) {
	h.grace.Store(int64(c.Grace))
	if level, err := c.Level(); err == nil { // ParseConfig has checked it
		h.eventLog.SetLevel(level)
	}
	h.Control.tell(boundsChanged{bounds: c.Bounds()})
}

func (h *Host) takeManifest(m *manifest.Manifest) {
	h.manifest.Store(m)
	h.Control.tell(manifestCame{manifest: m})
}

// stop is the planned stop: say so, hand the seats over, go on until the
// balancer has noticed, finish what is in flight.
func (h *Host) stop() {
	began := clock.Now()
	h.Log.Info("host-stopping")
	h.leaving.Store(true)
	h.Hosts.Leave()
	h.handOver()
	time.Sleep(balancerWait - clock.Now().Sub(began))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(h.grace.Load())-stopMargin-clock.Now().Sub(began))
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		h.Log.WithField("why", err.Error()).Warn("stop-cut-calls")
	}
}

// handOver gives the seats up and asks hosts of their halls to take them.
func (h *Host) handOver() {
	held := h.Control.Held()
	h.Control.Leave()
	for _, name := range held {
		next := h.Hosts.Successor(h.Control.View().Cells[name].Hall)
		if next == nil {
			continue
		}
		h.Log.WithFields(logrus.Fields{"cell": name, "to": next.GetName()}).Info("cell-handed-over")
		h.askToTakeOver(context.Background(), next, name)
	}
	deadline := clock.Now().Add(handoverWait)
	for len(h.Control.Held()) > 0 && clock.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
}

// peerWord bounds a word to a peer that needs no answer.
const peerWord = 300 * time.Millisecond

// leads asks the process at an address whether it leads a cell, and one incarnation of it what it granted there.
func (h *Host) leads(address, cellName, holder string) (answer predecessorAnswer, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peerWord)
	defer cancel()
	p, err := h.peers.To(address)
	if err != nil {
		return answer, false
	}
	load, err := p.Load(ctx, &wire.CellRef{Cell: cellName, GrantsOf: holder})
	if err != nil {
		return answer, false
	}
	answer = predecessorAnswer{holds: load.GetHolds(), grantsTold: load.GetGrantsTold(), grants: map[string]time.Duration{}, up: time.Duration(load.GetUpMs()) * time.Millisecond}
	for id, ms := range load.GetGrantsMs() {
		answer.grants[id] = time.Duration(ms) * time.Millisecond
	}
	return answer, load.GetCell() == cellName
}

// tellThere tells the process at an address what it is to know of its cell.
func (h *Host) tellThere(ctx context.Context, address string, e cell.NotifyLeader) error {
	p, err := h.peers.To(address)
	if err != nil {
		return err
	}
	switch {
	case e.Lent != nil:
		_, err = p.Accepted(ctx, &wire.AcceptedJob{Spec: e.Lent})
	case e.Returned != nil:
		_, err = p.Returned(ctx, e.Returned)
	default:
		_, err = p.Cancelled(ctx, &wire.JobRef{Cell: e.Cell, Id: e.Cancelled})
	}
	return err
}

// yieldTo asks a leader of another hall for a seat of ours.
func (h *Host) yieldTo(cellName, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerWord)
		defer cancel()
		p, err := h.peers.To(address)
		if err != nil {
			return // its row will name another address
		}
		if _, err := p.Yield(ctx, &wire.CellRef{Cell: cellName}); err != nil {
			h.Log.WithFields(logrus.Fields{"cell": cellName, "why": err.Error()}).Warn("yield-unanswered")
		}
	}()
}

// Ready says whether this host takes calls, and if not, why.
func (h *Host) Ready(now time.Time) (bool, string) {
	switch {
	case h.leaving.Load():
		return false, "stopping"
	case h.manifest.Load() == nil:
		return false, "no manifest yet"
	case h.Store.SinceWorked(now) > storeSilence:
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
