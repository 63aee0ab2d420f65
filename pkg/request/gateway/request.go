package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wrenferry/wrenferry/pkg/connection/runner"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/request/admit"
	"github.com/wrenferry/wrenferry/pkg/request/binding"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
)

// call is one request being served.
type call struct {
	kind        settings.Kind
	key         string
	markedRetry bool // the caller set RetryHeader
	header      http.Header
	body        []byte
	deadline    time.Time
	service     *service
}

// serveRequest serves a request, counts its outcome and writes the answer.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	tree := g.settings.Current()
	begin := g.now()
	answer := g.answerRequest(w, r, tree, begin)
	g.count("requests." + string(answer.Outcome))
	if answer.Reason != "" {
		g.count("requests.reason." + answer.Reason)
	}
	metrics.GetOrRegisterTimer("requests.time", g.metrics).UpdateSince(begin)
	answer.write(w, tree.Version())
}

// answerRequest checks a request, runs it, and returns the answer.
func (g *Gateway) answerRequest(w http.ResponseWriter, r *http.Request, tree *settings.Tree, now time.Time) Answer {
	kind, err := tree.Kind(r.PathValue("service"), r.PathValue("kind"))
	if err != nil {
		return faultAnswer(err)
	}
	if kind.Type != settings.TypeRequest {
		return faultAnswer(wrongTypeError(kind))
	}
	c, err := g.parse(w, r, kind, now)
	if err != nil {
		return faultAnswer(err)
	}
	if state := g.settings.ServiceState(kind.Service); state == Draining || state == Stopped {
		return refusedAnswer(admit.Refusal{Reason: admit.NotStarted, RetryAfter: 30 * time.Second},
			fmt.Sprintf("service %s is %s; an operator must start it", kind.Service, state))
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if kind.Repeatable || c.key == "" {
		return g.runWithRetries(ctx, c)
	}
	return g.runOnce(ctx, c)
}

// wrongTypeError returns the error for a call to a path of another type than the kind's.
func wrongTypeError(kind settings.Kind) error {
	return fault.New(fault.BadInput, kind.Service+"/"+kind.Name, "this kind is a "+kind.Type,
		"use /v1/"+kind.Type+"s/ for it")
}

// parse reads the whole request, within the limits of its kind.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request, kind settings.Kind, now time.Time) (*call, error) {
	body, err := readBody(w, r, kind.MaxBody)
	if err != nil {
		return nil, err
	}
	deadline := kind.Deadline
	if text := r.Header.Get(DeadlineHeader); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			return nil, fault.New(fault.BadInput, DeadlineHeader, fmt.Sprintf("%q is not a number of milliseconds", text), "send a whole number above 0")
		}
		deadline = min(deadline, time.Duration(n)*time.Millisecond)
	}
	return &call{
		kind:        kind,
		key:         r.Header.Get(KeyHeader),
		markedRetry: r.Header.Get(RetryHeader) != "",
		header:      forwarded(r.Header),
		body:        body,
		deadline:    now.Add(deadline),
		service:     g.service(kind.Service),
	}, nil
}

// readBody reads the whole body, of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "body", fmt.Sprintf("larger than %d bytes", limit), "send less, or raise maxBody in the settings")
	}
	if err != nil {
		return nil, fault.New(fault.BadInput, "body", "it broke off", "send it whole").WithCause(err)
	}
	return body, nil
}

// ------------------------------------------------------------------- keys

// runOnce runs work that must run at most once under its key.
func (g *Gateway) runOnce(ctx context.Context, c *call) Answer {
	key := binding.Key{Service: c.kind.Service, Kind: c.kind.Name, Key: c.key}
	begun := g.keys.Begin(g.now(), key, c.kind.KeyWindow)
	if !begun.Fresh {
		return g.answerOfEarlierTry(ctx, begun.Earlier)
	}
	answer := g.runUnderKey(ctx, c, key, begun.MustAsk || c.markedRetry)
	g.keys.End(g.now(), key, answer.Outcome != NotRun, cacheableAnswer(answer))
	return answer
}

// maxCachedBody is the largest body, in bytes, that is kept for a caller that retries at the same
// entry host. It bounds the memory that the keys of one window take.
const maxCachedBody = 8 << 10

// cacheableAnswer returns the answer to keep for a retry, or nil if its body is too large.
func cacheableAnswer(answer Answer) any {
	if len(answer.Body) > maxCachedBody {
		return nil
	}
	return answer
}

// runUnderKey asks the other entry hosts about the key if needed, and then runs the work. retry
// marks work that another host may have run already. An unsure answer stops a retry, but not a first
// try, which no other host can have run.
func (g *Gateway) runUnderKey(ctx context.Context, c *call, key binding.Key, retry bool) Answer {
	if !g.unsafe.NoAsk && (retry || c.kind.AskPeers == settings.AskPeersAlways) {
		asked := g.peers.Ask(ctx, key.Question(c.kind.KeyWindow))
		if asked.MaybeRan {
			return unknownAnswer(string(admit.SeenElsewhere), "another entry host has had this key; look whether the work was done")
		}
		young := g.keys.Age(g.now()) < c.kind.KeyWindow
		if retry && (asked.Incomplete || young) {
			return unknownAnswer("no-entry-host-can-vouch", "an entry host is away or too young to vouch for this key; look whether the work was done, or ask again later")
		}
		if asked.Incomplete {
			g.count("requests.first-try-unsure")
		}
	}
	if !g.keys.Run(g.now(), key) {
		return refusedAnswer(admit.Refusal{Reason: admit.SeenElsewhere, RetryAfter: time.Second},
			"another entry host took this key up at the same moment; ask again")
	}
	return g.runWithRetries(ctx, c)
}

// answerOfEarlierTry waits for the end of the first try under a key, and returns its answer to a caller
// that retries at the same entry host.
func (g *Gateway) answerOfEarlierTry(ctx context.Context, e *binding.Entry) Answer {
	if done := g.keys.Done(e); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return unknownAnswer("first-try-still-runs", "the first try under this key is still running; ask again")
		}
	}
	if answer, ok := g.keys.AnswerOf(e).(Answer); ok {
		return answer
	}
	return unknownAnswer("first-try-left-no-answer", "the first try under this key left no answer")
}

// ------------------------------------------------------------------ tries

// maxFreeRetries is the number of retries after a full server that don't count against the retry
// budget. Asking a full server costs little, and this host could not know that the requests of
// other entry hosts had filled it.
const maxFreeRetries = 4

// runWithRetries sends the request to one server after another, until the outcome admits no further
// try, the deadline passes or the retry budget is spent.
func (g *Gateway) runWithRetries(ctx context.Context, c *call) Answer {
	c.service.budget.RecordFirstTry(c.kind.RetryBudget)
	tried := map[string]bool{}
	for freeRetries := 0; ; {
		lease, refusal := g.acquire(ctx, c, tried)
		if refusal != nil {
			return refusedAnswer(*refusal, "no server could take the request in time; come back later")
		}
		tried[lease.Name] = true
		answer, mayRetry := g.sendOnce(ctx, c, lease)
		if !mayRetry || ctx.Err() != nil {
			return answer
		}
		if answer.Reason == string(admit.ServerFull) && freeRetries < maxFreeRetries {
			freeRetries++
			g.count("requests.server-full")
			continue
		}
		if !c.service.budget.AllowRetry() {
			g.count("requests.budget-spent")
			return answer
		}
		g.count("requests.retried")
	}
}

// headPollInterval is the period at which the first waiter tries again to acquire a server. A slot may become free by
// the end of another entry host's request, of which this host is not notified.
const headPollInterval = 10 * time.Millisecond

// acquire returns a lease on a server. It queues the request if none has a free slot, or others are queued.
func (g *Gateway) acquire(ctx context.Context, c *call, tried map[string]bool) (*runner.Lease, *admit.Refusal) {
	s := c.service
	if s.gate.Len() == 0 {
		if lease := s.pool.Acquire(g.now(), c.kind.RoutePolicy, tried); lease != nil {
			return lease, nil
		}
	}
	if _, open := s.pool.Counts(); open == 0 {
		return nil, &admit.Refusal{Reason: admit.NoServer, RetryAfter: time.Second}
	}
	now := g.now()
	slots, latency := s.pool.ShareOfCapacity(now)
	waiter, refusal := s.gate.Join(c.kind.Priority, c.kind.QueueLimit, c.deadline.Sub(now), admit.Load{Slots: slots, Latency: latency})
	if refusal != nil {
		return nil, refusal
	}
	defer s.gate.Leave(waiter)
	return g.waitForServer(ctx, c, waiter, tried)
}

// waitForServer waits until the waiter is first and a server has a free slot.
func (g *Gateway) waitForServer(ctx context.Context, c *call, waiter *admit.Waiter, tried map[string]bool) (*runner.Lease, *admit.Refusal) {
	s := c.service
	late := &admit.Refusal{Reason: admit.WaitedTooLong, RetryAfter: time.Second}
	select {
	case <-waiter.Turn:
	case <-waiter.Displaced:
		return nil, &admit.Refusal{Reason: admit.PushedOut, RetryAfter: time.Second}
	case <-ctx.Done():
		return nil, late
	}
	for {
		freed := s.pool.Freed()
		if s.gate.IsFirst(waiter) {
			if lease := s.pool.Acquire(g.now(), c.kind.RoutePolicy, tried); lease != nil {
				return lease, nil
			}
		}
		select {
		case <-freed:
		case <-time.After(headPollInterval):
		case <-waiter.Displaced:
			return nil, &admit.Refusal{Reason: admit.PushedOut, RetryAfter: time.Second}
		case <-ctx.Done():
			return nil, late
		}
	}
}

// sendOnce sends the request once. It returns whether another try may be made: always if this
// one certainly did not run, otherwise only for repeatable work.
func (g *Gateway) sendOnce(ctx context.Context, c *call, lease *runner.Lease) (Answer, bool) {
	g.count("requests.sent")
	got, err := g.client.Call(ctx, lease.Address, c.kind.Service, c.kind.Name, c.key, c.header, c.body)
	if err != nil {
		return g.handleSendError(ctx, c, lease, err)
	}
	got.Report.Leaving = got.Report.Leaving && !g.unsafe.NoLeaving
	g.finishLease(c, lease, got.Report)
	if got.Refused {
		return refusedAnswer(admit.Refusal{Reason: admit.ServerFull, RetryAfter: time.Second},
			"every server that was asked refused; come back later"), true
	}
	answer := Answer{Outcome: Done, Status: got.Status, Header: got.Header, Body: got.Body}
	return answer, got.Report.Verdict == runner.Failed && c.kind.Repeatable
}

// handleSendError ends the lease after a call without a whole answer. The work did not run if the call was never sent.
func (g *Gateway) handleSendError(ctx context.Context, c *call, lease *runner.Lease, err error) (Answer, bool) {
	verdict := runner.Failed
	if errors.Is(ctx.Err(), context.Canceled) {
		verdict = runner.Abandoned
	}
	g.finishLease(c, lease, runner.Report{Verdict: verdict, Free: -1})
	if fault.CodeOf(err) == fault.NotRun || g.unsafe.NoSentMark {
		return refusedAnswer(admit.Refusal{Reason: admit.NotSent, RetryAfter: time.Second}, err.Error()), true
	}
	return unknownAnswer("no-whole-answer", err.Error()), c.kind.Repeatable
}

// finishLease ends a lease. It notifies the other entry hosts if the server reported first now that it is leaving.
func (g *Gateway) finishLease(c *call, lease *runner.Lease, report runner.Report) {
	if lease.Release(g.now(), report) {
		g.count("servers.leaving")
		g.peers.AnnounceLeaving(c.kind.Service, lease.Name)
	}
}
