package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	taskCPU = 1500
	// crashingJobOneIn is the number of jobs of which one, on average, has a task that crashes each
	// worker that starts it.
	crashingJobOneIn = 50
	// callTimeout bounds one call of a caller.
	callTimeout = 3 * time.Second
	// statePollInterval is the time between two queries of a caller for a job's state.
	statePollInterval = 150 * time.Millisecond
	// maxSubmitTries bounds the submissions of a job. With the pauses between, they take over a minute.
	maxSubmitTries = 400
)

// caller submits jobs, queries their states and cancels some. It keeps its connections open until
// the entry host's process ends.
type caller struct {
	// hosts returns the entry hosts that are not gone for good.
	hosts   func() []*host
	checker *checker
	// noCrashes means that no job has a task that crashes workers.
	noCrashes bool
}

// newClient returns a client of one entry host.
func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
}

// callAny makes one HTTP call to a random host.
func (c *caller) callAny(rnd *rand.Rand, method, id, body string) (int, string, error) {
	hosts := c.hosts()
	return c.call(hosts[rnd.IntN(len(hosts))], method, id, body)
}

// call makes one HTTP call to a host.
func (c *caller) call(h *host, method, id, body string) (int, string, error) {
	return c.callFor(context.Background(), h, method, id, body)
}

// callFor makes one HTTP call to a host, and breaks it off when the context ends.
func (*caller) callFor(ctx context.Context, h *host, method, id, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+"/jobs/"+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "queue.example"
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// runJob submits a random job and polls it until it has a final state. It reports a job that has none
// at wait after over was closed to the checker.
func (c *caller) runJob(id string, rnd *rand.Rand, over <-chan struct{}, wait time.Duration) {
	j := &sentJob{text: "text of " + id}
	var steps []map[string]any
	for i := range 1 + rnd.IntN(3) {
		count := 1 + rnd.IntN(5)
		step := map[string]any{"count": count, "cpu": taskCPU, "mem-mb": 100, "estimate-ms": 200}
		if i > 0 {
			step["depends-on"] = []int{i - 1}
		}
		j.steps, steps = append(j.steps, count), append(steps, step)
	}
	body, err := json.Marshal(map[string]any{"spec": j.text, "steps": steps})
	if err != nil {
		panic(err) // the job consists of values that JSON can encode
	}
	if !c.noCrashes && rnd.IntN(crashingJobOneIn) == 0 {
		step := rnd.IntN(len(j.steps))
		j.crashingTask = fmt.Sprintf("%s.0.%d.%d", id, step, rnd.IntN(j.steps[step]))
	}
	c.checker.sent(id, j)
	if !c.submit(id, string(body), rnd) {
		return
	}
	if rnd.IntN(8) == 0 {
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
		c.checker.cancelRequested(id)
		c.cancel(id, rnd)
	}
	state := ""
	var until time.Time
	for until.IsZero() || time.Now().Before(until) {
		time.Sleep(statePollInterval)
		select {
		case <-over:
			if until.IsZero() {
				until = time.Now().Add(wait)
			}
		default:
		}
		status, text, err := c.callAny(rnd, http.MethodGet, id, "")
		if err != nil {
			continue
		}
		shown := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &shown) == nil {
			state = shown.State
		}
		c.checker.stateShown(id, status, shown.State)
		if shown.State == "completed" || shown.State == "cancelled" || shown.State == "failed" {
			return
		}
	}
	c.checker.notCompleted(id, state)
}

// submit submits a job until it is accepted, and returns whether it was.
func (c *caller) submit(id, body string, rnd *rand.Rand) bool {
	for range maxSubmitTries {
		status, _, err := c.callAny(rnd, http.MethodPost, id, body)
		c.checker.submitAnswered(id, status, err)
		if err == nil && status/100 == 2 {
			return true
		}
		time.Sleep(time.Duration(100+rnd.IntN(200)) * time.Millisecond)
	}
	return false
}

// cancel cancels a job until that is acknowledged, and returns the status of the last answer.
func (c *caller) cancel(id string, rnd *rand.Rand) (status int) {
	for range maxSubmitTries {
		var err error
		status, _, err = c.callAny(rnd, http.MethodDelete, id, "")
		if err == nil && (status/100 == 2 || status == http.StatusGone) {
			return status
		}
		time.Sleep(statePollInterval)
	}
	return status
}

// traffic submits jobs for span, with pauses of pause on average. It returns when each job has a final
// state, at most about wait after span.
func (c *caller) traffic(rnd *rand.Rand, span, wait time.Duration, pause time.Duration) {
	over := make(chan struct{})
	time.AfterFunc(span, func() { close(over) })
	c.trafficUntil(over, rnd, wait, pause)
}

// trafficUntil is traffic until over is closed.
func (c *caller) trafficUntil(over <-chan struct{}, rnd *rand.Rand, wait, pause time.Duration) {
	var all sync.WaitGroup
	for n := 1; ; n++ {
		select {
		case <-over:
			all.Wait()
			return
		default:
		}
		id, own := fmt.Sprintf("%016x", n), rand.New(rand.NewPCG(rnd.Uint64(), 1))
		all.Go(func() { c.runJob(id, own, over, wait) })
		time.Sleep(time.Duration(rnd.Int64N(int64(2 * pause))))
	}
}
