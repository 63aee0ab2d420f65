// Package tryout implements "wrenferryd try": it starts an embedded instance,
// calls it as callers and operators do, and prints the results.
package tryout

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/examples"
	"github.com/wrenferry/wrenferry/pkg/embedded"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/daemon"
	"github.com/wrenferry/wrenferry/pkg/process/operators"
	"github.com/wrenferry/wrenferry/pkg/request/gateway"
)

// Hall is the name of the only hall of the embedded instance.
const Hall = "hall-1"

// Services are the services in examples/try.jsonc.
var Services = []string{"quotes"}

const (
	// tryTimeout is the time limit of the whole try-out.
	tryTimeout = 50 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 50 * time.Millisecond
	// streamEventCount is the number of events that are read from the stream.
	streamEventCount = 3
)

// Config returns the process settings of an embedded instance. callers and operators are
// the addresses to listen on.
func Config(s *embedded.Standins, callers, operators string) daemon.Config {
	return daemon.Config{
		Name: "entry-1", Hall: Hall, Halls: []string{Hall}, EntryHosts: 1,
		Callers: callers, Operators: operators, Control: "127.0.0.1:0", Platform: s.Platform,
		DrainWait: 100 * time.Millisecond, DrainLimit: 10 * time.Second, LogLevel: "info",
	}
}

// tryout is one run; callers and operators are base URLs.
type tryout struct {
	out       io.Writer
	callers   string
	operators string
}

// Run runs the try-out and prints its results to out.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	fmt.Fprintln(out, "Embedded stand-ins for the platform, 3 workers and 4 runners: nothing is kept.")
	standins, err := embedded.Start(Hall, Services)
	if err != nil {
		return err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
	d, err := daemon.New(Config(standins, "127.0.0.1:0", "127.0.0.1:0"), logger)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- d.Run(running) }()
	t := &tryout{out: out, callers: "http://" + d.CallersAddress(), operators: "http://" + d.OperatorsAddress()}
	err = t.steps(ctx)
	stop()
	if stopErr := <-ended; err == nil {
		err = stopErr
	}
	return err
}

// step is one titled action of the try-out.
type step struct {
	title string
	run   func(context.Context) error
}

func (t *tryout) steps(ctx context.Context) error {
	for _, s := range []step{
		{"An operator creates the settings tree (examples/try.jsonc)", t.createSettings},
		{"A caller sends quick requests", t.sendRequests},
		{"A caller submits a batch job of three tasks and reads its result", t.runJob},
		{"A caller watches a stream", t.watchStream},
		{"An operator edits the settings: a second version is in force", t.editSettings},
		{"Bad input is refused, and nothing ran", t.badInput},
		{"What happened to the job, and why", t.explainJob},
		{"Who changed what", t.showAudit},
	} {
		fmt.Fprintf(t.out, "\n== %s\n", s.title)
		if err := s.run(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintln(t.out, "\nAll done.")
	return nil
}

// ------------------------------------------------------------------ steps

func (t *tryout) createSettings(ctx context.Context) error {
	return t.putSettings(ctx, examples.Read("try.jsonc"), 0)
}

func (t *tryout) editSettings(ctx context.Context) error {
	text := strings.Replace(examples.Read("try.jsonc"), `"800ms"`, `"900ms"`, 1)
	return t.putSettings(ctx, text, 1)
}

func (t *tryout) putSettings(ctx context.Context, text string, base int64) error {
	body, err := json.Marshal(operators.EditBody{Text: text, Base: base})
	if err != nil {
		return fault.New(fault.Internal, "tryout", "the edit can't be encoded", "").WithCause(err)
	}
	answer, err := t.call(ctx, http.MethodPut, t.operators+"/v1/settings", "", body)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s %s", answer.status, answer.body)
	return nil
}

func (t *tryout) sendRequests(ctx context.Context) error {
	err := t.waitFor(ctx, func() (bool, error) {
		answer, err := t.call(ctx, http.MethodPost, t.callers+"/v1/requests/quotes/quick", "warm-up", []byte("{}"))
		return err == nil && answer.code == http.StatusOK, err
	})
	if err != nil {
		return err
	}
	for i := range 5 {
		body := fmt.Appendf(nil, `{"ms": %d, "echo": "oven %d"}`, 5*i, i)
		answer, err := t.call(ctx, http.MethodPost, t.callers+"/v1/requests/quotes/quick", fmt.Sprintf("quote-%d", i), body)
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "%s (%s) %s", answer.status, answer.outcome, answer.body)
	}
	return nil
}

func (t *tryout) runJob(ctx context.Context) error {
	answer, err := t.call(ctx, http.MethodPost, t.callers+"/v1/jobs/quotes/offer?tasks=3", "offer-1", []byte(`{"runMs": 300}`))
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s %s", answer.status, answer.body)
	return t.waitFor(ctx, func() (bool, error) {
		answer, err := t.call(ctx, http.MethodGet, t.callers+"/v1/jobs/offer-1", "", nil)
		if err != nil || !bytes.Contains(answer.body, []byte(`"state":"done"`)) {
			return false, err
		}
		fmt.Fprintf(t.out, "%s %s", answer.status, answer.body)
		return true, nil
	})
}

func (t *tryout) watchStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.callers+"/v1/streams/quotes/rates", http.NoBody)
	if err != nil {
		return fault.New(fault.Internal, "tryout", "no request", "").WithCause(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.New(fault.Unavailable, "tryout", "the stream could not be opened", "").WithCause(err)
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for seen := 0; seen < streamEventCount && scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "data:") {
			fmt.Fprintln(t.out, scanner.Text())
			seen++
		}
	}
	return nil
}

func (t *tryout) badInput(ctx context.Context) error {
	for _, path := range []string{"/v1/requests/quotes/quikc", "/v1/jobs/quotes/offer?tasks=9000"} {
		answer, err := t.call(ctx, http.MethodPost, t.callers+path, "key-1", []byte("{}"))
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "%s (%s) %s", answer.status, answer.outcome, answer.body)
	}
	return nil
}

func (t *tryout) explainJob(ctx context.Context) error {
	var facts []operators.FactView
	if err := t.getView(ctx, "/v1/explain/offer-1", &facts); err != nil {
		return err
	}
	for _, f := range facts {
		fmt.Fprintf(t.out, "%-16s %-26s %s\n", f.Object, f.Reason, f.Detail)
	}
	return nil
}

func (t *tryout) showAudit(ctx context.Context) error {
	var entries []operators.AuditView
	if err := t.getView(ctx, "/v1/audit", &entries); err != nil {
		return err
	}
	for _, a := range entries {
		fmt.Fprintf(t.out, "%s: %s %s, %s\n", a.Actor, a.Verb, a.Object, a.Detail)
	}
	return nil
}

// ------------------------------------------------------------------ calls

// reply is an HTTP response as the try-out prints it.
type reply struct {
	code    int
	status  string
	outcome string
	body    []byte
}

// call sends one request as the actor "tryout". A non-empty key is sent as the key header.
func (t *tryout) call(ctx context.Context, method, url, key string, body []byte) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, fault.New(fault.Internal, url, "no request", "").WithCause(err)
	}
	req.Header.Set(operators.ActorHeader, "tryout")
	if key != "" {
		req.Header.Set(gateway.KeyHeader, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, fault.New(fault.Unavailable, url, "no answer", "").WithCause(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, fault.New(fault.Unavailable, url, "the answer broke off", "").WithCause(err)
	}
	return reply{resp.StatusCode, resp.Status, resp.Header.Get(gateway.OutcomeHeader), text}, nil
}

// getView decodes the operators' view at path into the value into.
func (t *tryout) getView(ctx context.Context, path string, into any) error {
	answer, err := t.call(ctx, http.MethodGet, t.operators+path, "", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return fault.New(fault.Internal, path, string(answer.body), "").WithCause(err)
	}
	return nil
}

// waitFor polls done until it returns true or an error. It returns an Unavailable fault
// if the context ends first.
func (t *tryout) waitFor(ctx context.Context, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "tryout", "the awaited state was not reached before the time limit", "").WithCause(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
