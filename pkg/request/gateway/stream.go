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

// Streams are server-sent events. The entry host passes on whole events only and keeps the id
// of the last one. When a server leaves or fails, the stream continues at another server, which
// receives that id, so the caller gets no gap and no duplicate. When the entry host itself stops,
// it ends the stream between two events, and the caller reconnects with Last-Event-ID.

// maxStreamOutage is the time without any event after which a stream that finds no server is ended.
const maxStreamOutage = 30 * time.Second

// reopenDelay is the delay before the next round of servers, when none could be leased.
const reopenDelay = 100 * time.Millisecond

// maxEventLineBytes limits the size of one line of an event.
const maxEventLineBytes = 1 << 20

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

// stream is one caller's stream, across the servers that serve it in turn.
type stream struct {
	gateway     *Gateway
	kind        settings.Kind
	service     *service
	out         http.ResponseWriter
	control     *http.ResponseController
	lastEventID string // the id of the last event passed on
	headerSent  bool   // the response has been started, so it can only be ended
}

// run relays from one server after another, until the caller disconnects, the host stops, or no server is found
// for maxStreamOutage.
func (s *stream) run(ctx context.Context, version int64) {
	tried := map[string]bool{}
	silentSince := s.gateway.now()
	for ctx.Err() == nil {
		lease := s.service.pool.AcquireStream(s.gateway.now(), s.gateway.client.MaxStreams(), tried)
		if lease == nil {
			if !s.headerSent || s.gateway.now().Sub(silentSince) > maxStreamOutage {
				s.refuseUnlessStarted(version)
				return
			}
			tried = map[string]bool{} // servers that failed may be back
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

// sleep waits for a span, or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// refuseUnlessStarted refuses a stream for which there is no server. A stream whose header was sent
// can only be ended.
func (s *stream) refuseUnlessStarted(version int64) {
	if s.headerSent {
		return
	}
	refusedAnswer(admit.Refusal{Reason: admit.NoServer, RetryAfter: time.Second},
		"no server takes this stream; come back later").write(s.out, version)
}

// relay passes on the events of one server. passed means that there were any, stopped that the stream
// must end.
func (s *stream) relay(ctx context.Context, lease *runner.Lease) (passed, stopped bool) {
	verdict := runner.Failed
	defer func() { lease.Release(s.gateway.now(), runner.Report{Verdict: verdict, Free: -1}) }()
	resp, err := s.gateway.client.Stream(ctx, lease.Address, s.kind.Service, s.kind.Name, s.lastEventID)
	if err != nil {
		return false, ctx.Err() != nil
	}
	verdict = runner.Abandoned // a stream's end shows nothing about how the server answers calls
	defer resp.Body.Close()
	if !s.sendHeader() {
		return false, true
	}
	return s.relayEvents(ctx, resp.Body)
}

// sendHeader starts the response if it has not been started. It returns false if the caller is gone.
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

// event is one whole event, or the end of a server's stream if err is set.
type event struct {
	text []byte
	id   string
	err  error
}

// relayEvents passes on the events of a body until it ends, the caller disconnects or the host drains.
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

// writeEvent writes one whole event to the caller. It returns false if the caller is gone.
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

// readEvents splits a body into whole events. An incomplete event at the end is dropped: the next
// server sends it again.
func readEvents(ctx context.Context, body io.Reader, out chan<- event) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventLineBytes)
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

// emit sends an event to out. It returns false if the context ended.
func emit(ctx context.Context, out chan<- event, e event) bool {
	select {
	case out <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
