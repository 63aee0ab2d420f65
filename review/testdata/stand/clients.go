package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	serviceName = "devis"
	queueHost   = "quotes.example"
	queuePath   = "/jobs/"
	deadline    = 3 * time.Second
)

// step and job are what a client sends. takes is how long a task of the step works.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	MemMB       int64  `json:"mem-mb,omitempty"`
	EstimateMs  int64  `json:"estimate-ms,omitempty"`
	DependsOn   []int  `json:"depends-on,omitempty"`
	Saves       bool   `json:"checkpointing,omitempty"`
	Speculative bool   `json:"speculative,omitempty"`
	Lasting     bool   `json:"long-running,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Spread      int    `json:"anti-affinity,omitempty"`
	Image       string `json:"image,omitempty"`
	Needs       string `json:"requirements,omitempty"`

	takes time.Duration
}

type job struct {
	id       string
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int    `json:"repeat-count,omitempty"`
	StartAt  int64  `json:"start-at-ms,omitempty"`
	Interval int64  `json:"interval-ms,omitempty"`

	mu         sync.Mutex
	accepted   time.Time
	refused    int
	unanswered int
	// cancelAsked is when its cancel was first sent, cancelled when that was acknowledged.
	cancelAsked, cancelled time.Time
}

func (j *job) isAccepted() bool { j.mu.Lock(); defer j.mu.Unlock(); return !j.accepted.IsZero() }

func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "quick-quote", "host": queueHost, "path-prefix": queuePath, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 250, "priority": 0, "service": serviceName, "max-attempts": 4, "extension": 1.5,
		}},
		"services": []map[string]any{{"name": serviceName, "health-path": "/healthz", "rejects-overload": true}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
	}
}

// clients are the system's clients, which meet any of the hosts.
type clients struct {
	rec   *record
	load  *workload
	hosts []*host
	http  *http.Client
}

func newClients(rec *record, load *workload, hosts []*host) *clients {
	return &clients{rec: rec, load: load, hosts: hosts, http: &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}}
}

func (c *clients) call(h *host, method, id string, body []byte) (int, string, error) {
	return c.callFor(context.Background(), h, method, id, body)
}

// callFor makes a call that ends early if the client leaves.
func (c *clients) callFor(ctx context.Context, h *host, method, id string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.frontend+queuePath+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = queueHost
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func (c *clients) any() *host { return c.hosts[rand.IntN(len(c.hosts))] }

// submit hands a job in, and again under the same id at another host after no answer, a 502, 503, 504 or 429.
func (c *clients) submit(j *job, tries int) bool {
	if j.id == "" {
		j.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	body, err := json.Marshal(j)
	if err != nil {
		cantRun("%v", err)
	}
	c.load.mu.Lock()
	c.load.jobs[j.id] = j
	c.load.mu.Unlock()
	for range tries {
		h := c.any()
		status, text, err := c.call(h, "POST", j.id, body)
		c.rec.line("client: POST %s at %s: %d %v %.80q", j.id, h.name, status, err, text)
		j.mu.Lock()
		switch {
		case err == nil && status/100 == 2:
			j.accepted = time.Now()
			j.mu.Unlock()
			return true
		case err == nil && (status == 503 || status == 429):
			j.refused++
		default:
			j.unanswered++
		}
		j.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// sendAgain hands a job in once more, as clients may seconds after its 2xx.
func (c *clients) sendAgain(j *job) {
	body, err := json.Marshal(j)
	if err != nil {
		cantRun("%v", err)
	}
	h := c.any()
	status, text, err := c.call(h, "POST", j.id, body)
	c.rec.line("client: POST %s again at %s: %d %v %.80q", j.id, h.name, status, err, text)
}

// submitOnce hands a job in once, and returns whether it was accepted before the client left.
func (c *clients) submitOnce(ctx context.Context, j *job) bool {
	j.id = fmt.Sprintf("%016x", rand.Uint64())
	body, err := json.Marshal(j)
	if err != nil {
		cantRun("%v", err)
	}
	c.load.mu.Lock()
	c.load.jobs[j.id] = j
	c.load.mu.Unlock()
	h := c.any()
	status, _, err := c.callFor(ctx, h, "POST", j.id, body)
	c.rec.line("client: POST %s at %s: %d %v", j.id, h.name, status, err)
	return err == nil && status/100 == 2
}

// cancelOnce cancels a job and returns the status, or 0 without an answer.
func (c *clients) cancelOnce(j *job) int {
	h := c.any()
	status, _, err := c.call(h, "DELETE", j.id, nil)
	c.rec.line("client: DELETE %s at %s: %d %v", j.id, h.name, status, err)
	return status
}

// state asks for a job's state.
func (c *clients) state(j *job, tries int) string {
	for range tries {
		h := c.any()
		status, text, err := c.call(h, "GET", j.id, nil)
		if err == nil && status == http.StatusGone {
			c.rec.line("client: GET %s at %s: 410", j.id, h.name)
			return "gone"
		}
		var a struct{ State string }
		if err == nil && status == 200 && json.Unmarshal([]byte(text), &a) == nil {
			c.rec.line("client: GET %s at %s: %s", j.id, h.name, a.State)
			return a.State
		}
		c.rec.line("client: GET %s at %s: %d %v", j.id, h.name, status, err)
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// cancel cancels a job.
func (c *clients) cancel(j *job, tries int) bool {
	for range tries {
		h := c.any()
		status, _, err := c.call(h, "DELETE", j.id, nil)
		c.rec.line("client: DELETE %s at %s: %d %v", j.id, h.name, status, err)
		if err == nil && (status/100 == 2 || status == 410) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
