package promises_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/gateway"
	"github.com/wrenferry/wrenferry/pkg/standin"
)

// Promises about requests: a caller gets the complete answer to its own request, "not run" means
// that the request did not run, and a request that is not repeatable runs at most once.

// callsFleet starts two entry hosts in one hall and one in another, with three runners.
func callsFleet(t testing.TB, options ...option) *fleet {
	t.Helper()
	f := newFleet(t, []string{"a1", "a2", "b1"}, options...)
	for i := range 3 {
		f.startRunner(fmt.Sprintf("r%d", i), "a", "desk")
	}
	f.ready()
	for _, e := range f.entries {
		f.until("servers are known", func() bool {
			return e.request("thumb", "", `{}`).outcome == "done"
		})
	}
	return f
}

// answerLog holds the answers to requests, by key.
type answerLog struct {
	mu      sync.Mutex
	answers map[string]answer
}

// sendRequests sends n requests of a kind, each with its own key, spread over the entry hosts. It
// calls meanwhile shortly after the first requests, and returns when all are answered.
func (f *fleet) sendRequests(n int, kind string, body func(key string) string, meanwhile func()) *answerLog {
	c := &answerLog{answers: map[string]answer{}}
	names := []string{"a1", "a2", "b1"}
	var wait sync.WaitGroup
	slots := make(chan struct{}, 24)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(200 * time.Millisecond)
		meanwhile()
	}()
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			key := fmt.Sprintf("%s-%d", kind, i)
			a := f.entries[names[i%len(names)]].request(kind, key, body(key))
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answers[key] = a
		})
	}
	wait.Wait()
	<-done
	return c
}

// sleepBody returns a function that makes the body of a request: it runs for ms milliseconds and
// its answer echoes the key.
func sleepBody(ms int) func(string) string {
	return func(key string) string { return fmt.Sprintf(`{"ms": %d, "echo": %q}`, ms, key) }
}

// checkAnswers checks the answers to callers by the runners' records, and counts the outcomes.
func (f *fleet) checkAnswers(c *answerLog) (notRun, unknown, done int) {
	f.t.Helper()
	runs := f.runCounts()
	for key, a := range c.answers {
		switch a.outcome {
		case string(gateway.Done):
			done++
			var got struct{ Echo string }
			must.NoError(f.t, json.Unmarshal(a.body, &got), must.Sprintf("answer to %s: %q", key, a.body))
			must.Eq(f.t, key, got.Echo)
		case string(gateway.NotRun):
			notRun++
			must.Eq(f.t, 0, runs[key], must.Sprintf("%s was answered with %q (%s), but it ran", key, a.outcome, a.reason))
		case string(gateway.Unknown):
			unknown++
		}
		if strings.HasPrefix(key, "bill") {
			must.LessEq(f.t, 1, runs[key], must.Sprintf("%s ran %d times", key, runs[key]))
		}
	}
	return notRun, unknown, done
}

func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	f := callsFleet(t)
	f.fault(f.runners["r1"], standin.Faults{SlowFactor: 8})
	large := func(key string) string {
		return fmt.Sprintf(`{"ms": %d, "echo": %q}`, len(key)%7, key+strings.Repeat("x", 100000))
	}
	c := f.sendRequests(300, "thumb", large, func() {
		f.runners["r0"].kill()
		f.fault(f.runners["r2"], standin.Faults{LoseAnswers: 5, LoseKey: "run"})
	})
	done := 0
	for key, a := range c.answers {
		if a.outcome != string(gateway.Done) {
			continue
		}
		done++
		must.NoError(t, a.err)
		must.StrContains(t, string(a.body), `"echo":"`+key+"xxx")
		must.Eq(t, strconv.Itoa(len(a.body)), a.header.Get("Content-Length"))
	}
	must.Greater(t, 200, done)
}

// disturbRunnersDuringCalls kills and freezes runners and loses their answers during calls that must
// not be repeated.
func disturbRunnersDuringCalls(f *fleet) *answerLog {
	return f.sendRequests(300, "bill", sleepBody(20), func() {
		f.fault(f.runners["r2"], standin.Faults{LoseAnswers: 10, LoseKey: "run"})
		f.runners["r0"].kill()
		time.Sleep(300 * time.Millisecond)
		f.runners["r1"].signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		f.runners["r1"].signal(syscall.SIGCONT)
	})
}

func TestNotRunMeansNotRun(t *testing.T) {
	f := callsFleet(t)
	_, unknown, done := f.checkAnswers(disturbRunnersDuringCalls(f))
	must.Positive(t, unknown)
	must.Positive(t, done)
}

func TestNotRunMeansNotRunNeedsTheSentMark(t *testing.T) {
	f := callsFleet(t, without("sent-mark"))
	c := disturbRunnersDuringCalls(f)
	runs, wrong := f.runCounts(), 0
	for key, a := range c.answers {
		if a.outcome == string(gateway.NotRun) && runs[key] > 0 || runs[key] > 1 {
			wrong++
		}
	}
	must.Positive(t, wrong)
}

// retryAfterHostDeath kills an entry host during requests. Callers without a result send marked
// retries to another entry host.
func retryAfterHostDeath(f *fleet) {
	a1, a2 := f.entries["a1"], f.entries["a2"]
	var wait sync.WaitGroup
	for i := range 30 {
		wait.Go(func() {
			key := fmt.Sprintf("bill-%d", i)
			first := a1.request("bill", key, sleepBody(600)(key))
			if first.outcome == string(gateway.Done) {
				return
			}
			for range 3 {
				if a2.request("bill", key, sleepBody(1)(key), gateway.RetryHeader, "1").outcome == string(gateway.Done) {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	a1.kill()
	wait.Wait()
}

func TestNotRepeatableRunsAtMostOnceWhenItsHostDies(t *testing.T) {
	f := callsFleet(t)
	retryAfterHostDeath(f)
	for key, n := range f.runCounts() {
		if strings.HasPrefix(key, "bill") {
			must.LessEq(t, 1, n, must.Sprintf("%s ran %d times", key, n))
		}
	}
}

func TestNotRepeatableRunsAtMostOnceNeedsThePeerQuery(t *testing.T) {
	f := callsFleet(t, without("ask-peers"))
	retryAfterHostDeath(f)
	twice := 0
	for _, n := range f.runCounts() {
		if n > 1 {
			twice++
		}
	}
	must.Positive(t, twice)
}

// Several entry hosts get first tries with the same key at the same time. Each key runs once, unless
// a host got no answer from its peers in time.
func TestOneKeyAtAllHostsAtOnce(t *testing.T) {
	f := callsFleet(t, shortWindow)
	time.Sleep(1500 * time.Millisecond) // the hosts are now older than the window
	f.awaitPeerAnswers()
	var wait sync.WaitGroup
	for i := range 60 {
		for _, e := range f.entries {
			wait.Go(func() { e.request("bill", fmt.Sprintf("bill-%d", i), sleepBody(5)("x")) })
		}
	}
	wait.Wait()
	runs, ran, more := f.runCounts(), 0, 0
	for i := range 60 {
		n := runs[fmt.Sprintf("bill-%d", i)]
		ran += n
		more += max(0, n-1)
	}
	must.Positive(t, ran)
	t.Logf("%d runs more, %d first tries unsure", more, f.sumCounter("requests.first-try-unsure"))
	must.LessEq(t, f.sumCounter("requests.first-try-unsure"), more, must.Sprint("more runs than one per key, though the hosts got answers in time"))
}

// sumCounter returns the sum of a counter over all entry hosts.
func (f *fleet) sumCounter(counter string) int {
	f.t.Helper()
	sum := 0
	for _, e := range f.entries {
		figures := map[string]struct {
			Count int `json:"count"`
		}{}
		must.NoError(f.t, json.Unmarshal([]byte(e.metrics()), &figures))
		sum += figures[counter].Count
	}
	return sum
}

// awaitPeerAnswers waits until every host gets answers from all others. Hosts that can't query each
// other each run a first try with the same key (docs/design/request-binding.md).
func (f *fleet) awaitPeerAnswers() {
	f.t.Helper()
	for name, e := range f.entries {
		n := 0
		f.until(name+" is answered by all others", func() bool {
			n++
			return e.request("bill", fmt.Sprintf("vouch-%s-%d", name, n), sleepBody(5)("x"), gateway.RetryHeader, "1").outcome == "done"
		})
	}
}

// Entry hosts that can't query each other get first tries with one key: each may run it once.
// A test suite with clashing ports had three runs of one key for this reason.
func TestOneKeyAtPartitionedHosts(t *testing.T) {
	f := callsFleet(t, shortWindow)
	time.Sleep(1500 * time.Millisecond) // the hosts are now older than the window
	for _, e := range f.entries {
		e.relay.setCut(true)
	}
	var wait sync.WaitGroup
	for _, e := range f.entries {
		for range 3 {
			wait.Go(func() { e.request("bill", "bill-cut", sleepBody(5)("x")) })
		}
	}
	wait.Wait()
	must.Between(t, 1, f.runCounts()["bill-cut"], len(f.entries))
	for _, e := range f.entries {
		a := e.request("bill", "bill-marked", sleepBody(5)("x"), gateway.RetryHeader, "1")
		must.Eq(t, "unknown", a.outcome)
	}
	must.Eq(t, 0, f.runCounts()["bill-marked"])
}

// A retry at the same host gets the first answer and does not run again.
func TestRetryAtTheSameHostGetsTheFirstAnswer(t *testing.T) {
	f := callsFleet(t)
	first := f.entries["a1"].request("bill", "bill-x", sleepBody(50)("one"))
	again := f.entries["a1"].request("bill", "bill-x", sleepBody(50)("two"), gateway.RetryHeader, "1")
	must.Eq(t, string(first.body), string(again.body))
	must.Eq(t, 1, f.runCounts()["bill-x"])
}

// A host that can't reach a peer can't vouch for a key: it answers a retry with "unknown" and runs a
// first try.
func TestRetryAtAPartitionedHost(t *testing.T) {
	f := callsFleet(t)
	time.Sleep(11 * time.Second) // past the key window of the hosts' own start
	must.Eq(t, "done", f.entries["a1"].request("bill", "bill-1", sleepBody(5)("x")).outcome)
	f.entries["a1"].relay.setCut(true)
	a := f.entries["b1"].request("bill", "bill-1", sleepBody(5)("x"), gateway.RetryHeader, "1")
	must.Eq(t, "unknown", a.outcome)
	must.Eq(t, "done", f.entries["b1"].request("bill", "bill-2", sleepBody(5)("x")).outcome)
	f.entries["a1"].relay.setCut(false)
	f.until("the hosts can vouch again", func() bool {
		return f.entries["b1"].request("bill", "bill-3", sleepBody(5)("x"), gateway.RetryHeader, "1").outcome == "done"
	})
	must.Eq(t, 1, f.runCounts()["bill-1"])
}

// Invalid input gets the HTTP status of its cause, and nothing runs.
func TestBadInput(t *testing.T) {
	f := callsFleet(t)
	e := f.entries["a1"]
	for _, c := range []struct {
		name, kind, body string
		header           []string
		status           int
	}{
		{"unknown kind", "thumbnail", `{}`, nil, http.StatusNotFound},
		{"wrong type", "ingest", `{}`, nil, http.StatusBadRequest},
		{"oversize body", "thumb", strings.Repeat("x", 1<<20+1), nil, http.StatusRequestEntityTooLarge},
		{"bad deadline", "thumb", `{}`, []string{gateway.DeadlineHeader, "soon"}, http.StatusBadRequest},
		{"oversize header", "thumb", `{}`, []string{"X-Large", strings.Repeat("x", 200<<10)}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		a := e.request(c.kind, "bad-"+c.name, c.body, c.header...)
		must.Eq(t, c.status, a.status, must.Sprint(c.name))
	}
	for key := range f.runCounts() {
		must.False(t, strings.HasPrefix(key, "bad-"))
	}
}

// Entry hosts serve requests during a platform outage. A job submitted then is answered with
// "unknown".
func TestRequestsGoOnWithoutThePlatform(t *testing.T) {
	f := callsFleet(t)
	f.fault(f.platform, standin.Faults{Outage: true})
	time.Sleep(2 * time.Second)
	for _, e := range f.entries {
		must.Eq(t, "done", e.request("thumb", "", `{}`).outcome)
		must.Eq(t, "done", e.request("bill", "bill-"+e.name, `{}`).outcome)
	}
	a := call(http.MethodPost, "http://"+f.entries["a1"].callers+"/v1/jobs/desk/ingest", map[string]string{gateway.KeyHeader: "j"}, `{}`)
	must.Eq(t, string(gateway.Unknown), a.outcome)
}
