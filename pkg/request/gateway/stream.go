package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/runner"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/admit"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
)

// Streams are server-sent events. The entry host passes on whole events only
// and remembers the id of the last one. When a server leaves or breaks, the
// stream goes on at another one, which is told that id, so the caller sees
// neither a gap nor a double. When the entry host itself stops, it ends the
// stream between two events; the caller comes back with Last-Event-ID.

// maxStreamOutage is how long a stream may find no server before it is ended.
const maxStreamOutage = 30 * time.Second

// reopenDelay is the pause between two tries to open a stream.
const reopenDelay = 100 * time.Millisecond

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

func (g *Gateway) serveStream(w http.ResponseWriter, r *http.Request) {
	tree := g.settings.Current()
	kind, err := tree.Kind(r.PathValue("service"), r.PathValue("kind"))
	if err != nil {
		faultAnswer(err).write(w, tree.Version())
		return
	}
	if kind.Type != settings.TypeStream {
		faultAnswer(wrongTypeError(kind)).write(w, tree.Version())
		return
	}
	s := &stream{
		gateway: g, kind: kind, service: g.service(kind.Service),
		out: w, control: http.NewResponseController(w), lastEventID: r.Header.Get("Last-Event-ID"),
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g.count("streams.opened")
	s.run(ctx, tree.Version())
	g.count("streams.ended")
}

// stream is one caller's standing stream.
type stream struct {
	gateway     *Gateway
	kind        settings.Kind
	service     *service
	out         http.ResponseWriter
	control     *http.ResponseController
	lastEventID string // the id of the last event passed on
	headerSent  bool
}

// run goes from server to server until the caller leaves or the host stops.
func (s *stream) run(ctx context.Context, version int64) {
	tried := map[string]bool{}
	silentSince := s.gateway.now()
	for ctx.Err() == nil {
		lease := s.service.pool.AcquireStream(s.gateway.now(), s.gateway.client.MostStreams(), tried)
		if lease == nil {
			if !s.headerSent || s.gateway.now().Sub(silentSince) > maxStreamOutage {
				s.refuseUnlessStarted(version)
				return
			}
			tried = map[string]bool{} // those that broke may be back
			sleep(ctx, reopenDelay)
			continue
		}
		passed, stopped := s.relay(ctx, lease)
		if stopped {
			return
		}
		if passed {
			tried = map[string]bool{}
			silentSince = s.gateway.now()
		}
		tried[lease.Name] = true
		s.gateway.count("streams.moved")
	}
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// refuseUnlessStarted answers a stream for which there is no server. One that has begun can
// only be ended.
func (s *stream) refuseUnlessStarted(version int64) {
	if s.headerSent {
		return
	}
	refusedAnswer(admit.Refusal{Reason: admit.NoServer, RetryAfter: time.Second},
		"no server takes this stream; come back later").write(s.out, version)
}

// relay passes on the events of one server. It says whether there were any,
// and whether the stream is over for good.
func (s *stream) relay(ctx context.Context, lease *runner.Lease) (passed, stopped bool) {
	verdict := runner.Failed
	defer func() { lease.Done(s.gateway.now(), runner.Report{Verdict: verdict, Free: -1}) }()
	resp, err := s.gateway.client.Stream(ctx, lease.Address, s.kind.Service, s.kind.Name, s.lastEventID)
	if err != nil {
		return false, ctx.Err() != nil
	}
	verdict = runner.Abandoned // it says nothing of how the server answers calls
	defer resp.Body.Close()
	if !s.sendHeader() {
		return false, true
	}
	return s.relayEvents(ctx, resp.Body)
}

func (s *stream) sendHeader() bool {
	if s.headerSent {
		return true
	}
	s.headerSent = true
	s.out.Header().Set("Content-Type", "text/event-stream")
	s.out.Header().Set("Cache-Control", "no-store")
	s.out.Header().Set(OutcomeHeader, string(Done))
	s.out.WriteHeader(http.StatusOK)
	return s.control.Flush() == nil
}

// event is one whole event, or the end of what a server sent.
type event struct {
	text []byte
	id   string
	err  error
}

func (s *stream) relayEvents(ctx context.Context, body io.Reader) (passed, stopped bool) {
	events := make(chan event)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go readEvents(ctx, body, events)
	for {
		select {
		case <-s.gateway.draining:
			return passed, true
		case <-ctx.Done():
			return passed, true
		case e := <-events:
			if e.err != nil {
				return passed, false
			}
			if !s.writeEvent(e) {
				return passed, true
			}
			passed = true
		}
	}
}

// writeEvent writes one whole event to the caller.
func (s *stream) writeEvent(e event) bool {
	if _, err := s.out.Write(e.text); err != nil {
		return false
	}
	if s.control.Flush() != nil {
		return false
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	s.gateway.count("streams.events")
	return true
}

// readEvents cuts a body into whole events. A part of an event at the end is
// dropped: the next server sends it again.
func readEvents(ctx context.Context, body io.Reader, out chan<- event) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var e event
	for scanner.Scan() {
		line := scanner.Bytes()
		e.text = append(append(e.text, line...), '\n')
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(line) > 0 {
			continue
		}
		if !emit(ctx, out, e) {
			return
		}
		e = event{}
	}
	err := scanner.Err()
	if err == nil {
		err = io.EOF
	}
	emit(ctx, out, event{err: fault.New(fault.Unavailable, "stream", "it broke off", "").WithCause(err)})
}

func emit(ctx context.Context, out chan<- event, e event) bool {
	select {
	case out <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
