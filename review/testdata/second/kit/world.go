package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the stand-in deployment. It has the three zones of the small site.
const (
	Service = "devis"
	// QueueHost is the host of all routes.
	QueueHost = "quotes.example"
)

// Zones are the zones of the deployment.
var Zones = []string{"mtl-a", "mtl-b", "lvl-c"}

// Run is one run of a task as its runner saw it.
type Run struct {
	Runner, Zone, Task, Spec string
	Number                   int64
	Began, Ended             time.Time
	How                      string
	// Noted is when the system took note of its end. Lapsed means that the runner's hold was over between the two.
	Noted  time.Time
	Lapsed bool
}

// World is a deployment and the record of what happened in it.
type World struct {
	Store *Store
	// Trouble is false if TROUBLE=0 asks for the same without the disruption.
	Trouble bool
	Began   time.Time

	dir       string
	root      string
	machines  *http.Server
	inventory string
	advice    string
	advisor   *advisor

	mu         sync.Mutex
	record     *os.File
	runners    []*Runner
	hosts      []*Host
	runs       []*Run
	behaviours func(task string, run int64) (Behaviour, bool)
	gangs      map[string][]*member
	reports    []string
	over       sync.Once
}

var current *World

// NewWorld begins a case. The first argument of the program is the folder of the case, where it writes record.txt.
func NewWorld() *World {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(2)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	root, err := os.Getwd()
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", Began: time.Now(), root: root, record: record}
	current = w
	Must(err)
	w.dir, err = os.MkdirTemp("", "review-2-")
	Must(err)
	w.Store = NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	w.inventory = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", w.listMachines)
	w.machines = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.machines.Serve(l) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { <-stop; CannotRun("it was told to end") }()
	time.AfterFunc(118*time.Second, func() { CannotRun("it took too long") })
	w.Logf("trouble: %v", w.Trouble)
	return w
}

// Logf writes a line to the record.
func (w *World) Logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.Began).Seconds(), fmt.Sprintf(format, args...))
}

// Behave sets how runs of tasks go.
func (w *World) Behave(b func(task string, run int64) (Behaviour, bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behaviours = b
}

func (w *World) behaviour(task string, number int64) (Behaviour, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.behaviours == nil {
		return Behaviour{}, false
	}
	return w.behaviours(task, number)
}

func (w *World) started(runner, zone, task string, number int64, spec string) {
	w.mu.Lock()
	w.runs = append(w.runs, &Run{Runner: runner, Zone: zone, Task: task, Number: number, Spec: spec, Began: time.Now()})
	w.mu.Unlock()
	w.Logf("runner %s starts %s run %d", runner, task, number)
}

func (w *World) ended(runner, task string, number int64, how string) {
	w.mu.Lock()
	for _, r := range w.runs {
		if r.Runner == runner && r.Task == task && r.Number == number {
			r.Ended, r.How = time.Now(), how
		}
	}
	w.mu.Unlock()
	go w.Logf("runner %s: %s run %d ends %s", runner, task, number, how)
}

// noted records that the system has taken note of an end.
func (w *World) noted(runner string, end []any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.Runner == runner && r.Task == end[1] && r.Number == end[2] && !r.Lapsed {
			r.Noted = time.Now()
		}
	}
}

// lapsed records that a runner's hold was over before the system took note of an end.
func (w *World) lapsed(runner string, end []any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.Runner == runner && r.Task == end[1] && r.Number == end[2] && r.Noted.IsZero() {
			r.Lapsed = true
		}
	}
}

// Report records that a stand-in has seen a rule broken.
func (w *World) Report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.reports = append(w.reports, text)
	w.mu.Unlock()
	go w.Logf("seen: %s", text)
}

// Reports returns what Report has recorded.
func (w *World) Reports() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.reports...)
}

// Runs returns the runs of a job's tasks, in the order of their starts.
func (w *World) Runs(job string) []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []Run
	for _, r := range w.runs {
		if strings.HasPrefix(r.Task, job+".") {
			list = append(list, *r)
		}
	}
	return list
}

// Runners returns all runners.
func (w *World) Runners() []*Runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Runner(nil), w.runners...)
}

func (w *World) listMachines(out http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	for _, r := range w.Runners() {
		m := map[string]any{
			"machine": r.Machine, "pool": Service, "state": "down", "zone": r.Zone, "labels": r.Labels,
			"capacity": map[string]any{"cpu": r.CPU, "mem-mb": r.MemMB, "gpu": 0},
		}
		if id := r.ID(); id != "" {
			m["state"], m["id"] = "up", id
		}
		list = append(list, m)
	}
	Reply(out, http.StatusOK, map[string]any{"machines": list})
}

// Route is a route of the manifest.
type Route struct {
	Name, Prefix          string
	Priority, MaxAttempts int
	// Advice is the queue's advice, nil for none.
	Advice *Advice
}

// PutManifest writes a manifest, as the operator does. Its return is the store's ack.
func (w *World) PutManifest(version int, routes ...Route) {
	var list []map[string]any
	var names []string
	for _, r := range routes {
		route := map[string]any{
			"name": r.Name, "host": QueueHost, "path-prefix": r.Prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 1000,
			"priority": r.Priority, "service": Service, "max-attempts": r.MaxAttempts, "extension": 2.0,
		}
		if r.Advice != nil {
			route["advice"] = r.Advice
		}
		list = append(list, route)
		names = append(names, fmt.Sprintf("%s (%s, max-attempts %d)", r.Name, r.Prefix, r.MaxAttempts))
	}
	w.Store.Put("op", "config", map[string]any{
		"version": version, "routes": list, "services": []map[string]any{{"name": Service, "health-path": "/healthz", "rejects-overload": true}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
	})
	w.Logf("operator: manifest %d is acknowledged, routes: %s", version, strings.Join(names, ", "))
}

// Host is a real entry host.
type Host struct {
	Name, Zone, Callers, Ready string
	// Table is the proxy between the host and the store.
	Table   *Proxy
	process *exec.Cmd
	ended   chan struct{}
}

var section = regexp.MustCompile(`\{\{#zones\}\}.*?\{\{/zones\}\}`)

// freePorts returns addresses with free ports below those that the kernel gives to outgoing channels, which could take one
// before the host listens there.
func freePorts(n int) []string {
	var list []string
	for len(list) < n {
		address := fmt.Sprintf("127.0.0.1:%d", 18000+rand.IntN(14000))
		l, err := net.Listen("tcp", address)
		if err != nil || slices.Contains(list, address) {
			continue
		}
		_ = l.Close()
		list = append(list, address)
	}
	return list
}

// StartHost starts an entry host as deploy/system.toml does, with the settings template filled in for the small site.
func (w *World) StartHost(zone string) *Host {
	w.mu.Lock()
	h := &Host{Name: fmt.Sprintf("edge-%s-%d", zone, len(w.hosts)+1), Zone: zone}
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	h.Table = w.NewProxy(w.Store.Address)
	w.begin(h)
	return h
}

// begin starts the process of a host on free ports.
func (w *World) begin(h *Host) {
	at := freePorts(4)
	h.Callers, h.Ready = at[0], at[1]
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "settings.jsonc.template"))
	Must(err)
	_, controlPort, _ := net.SplitHostPort(at[2])
	_, metricsPort, _ := net.SplitHostPort(at[3])
	filled := section.ReplaceAllString(string(text), `"`+strings.Join(Zones, `", "`)+`"`)
	for gap, value := range map[string]string{
		"node-name": h.Name, "zone": h.Zone, "bind-addresses.frontend": h.Callers, "bind-addresses.ready": h.Ready, "ip": "127.0.0.1",
		"port-range.0": controlPort, "port-range.1": metricsPort, "platform.address": h.Table.Address, "advice": w.advice, "cloud-api.address": w.inventory,
		"bounds.hold-max-ms": "10000", "bounds.status_s": "120", "bounds.grace-s": "6", "limits.memory-mb": "284", "limits.cpu-share": "0.4",
	} {
		filled = strings.ReplaceAll(filled, "{{"+gap+"}}", value)
	}
	if strings.Contains(filled, "{{") {
		CannotRun("the settings template has gaps that this program does not fill")
	}
	file := filepath.Join(w.dir, h.Name+".jsonc")
	Must(os.WriteFile(file, []byte(filled), 0o600))
	log, err := os.OpenFile(w.logOf(h), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	Must(err)
	c := exec.Command(filepath.Join(w.root, "target", "wrenferryd"), "fleet", "--config", file)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(c.Start())
	ended := make(chan struct{})
	w.mu.Lock()
	h.process, h.ended = c, ended
	w.mu.Unlock()
	go func() { _ = c.Wait(); close(ended); w.Logf("entry host %s has ended", h.Name) }()
}

func (w *World) logOf(h *Host) string { return filepath.Join(w.dir, h.Name+".log") }

// hasEnded returns whether the process of a host has ended.
func (h *Host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// Kill kills the entry host for good.
func (h *Host) Kill() { _ = h.process.Process.Kill() }

// AwaitReady waits until all hosts are ready and take calls on a path, and then for a moment of calm.
func (w *World) AwaitReady(prefix string) {
	for _, h := range w.hosts {
		for n := 0; ; n++ {
			resp, err := http.Get("http://" + h.Ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				if status, _, _ := w.Call(h, http.MethodGet, prefix, "", 3*time.Second); status == http.StatusOK {
					break
				}
			}
			if h.hasEnded() && n < 200 {
				w.Logf("entry host %s starts again: another program has taken one of its ports", h.Name)
				w.begin(h)
			}
			if n > 400 {
				last, _ := exec.Command("tail", "-n", "3", w.logOf(h)).Output()
				CannotRun("entry host " + h.Name + " does not get ready: " + string(last))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	w.Logf("all entry hosts are ready")
}

// Call makes a client's call at an entry host, with a channel of its own. The status is 0 without a complete answer.
func (w *World) Call(h *Host, method, path, body string, deadline time.Duration) (status int, answer string, took time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.Callers+path, bytes.NewBufferString(body))
	Must(err)
	req.Host = QueueHost
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), time.Since(began)
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), time.Since(began)
	}
	return resp.StatusCode, strings.TrimSpace(string(read)), time.Since(began)
}

// Tell makes a client's call and records it with its answer.
func (w *World) Tell(h *Host, method, path, body string, deadline time.Duration) (int, string) {
	w.Logf("client: %s %s at %s", method, path, h.Name)
	status, answer, took := w.Call(h, method, path, body, deadline)
	w.Logf("client: %s %s at %s: status %d after %s, %s", method, path, h.Name, status, took.Round(time.Millisecond), answer)
	return status, answer
}

// State returns a job's state as an answer tells it, "" if it tells none.
func State(status int, answer string) string {
	var m struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &m) != nil {
		return ""
	}
	return m.State
}

func (w *World) cleanUp() {
	w.over.Do(func() {
		for _, h := range w.hosts {
			_ = h.process.Process.Signal(syscall.SIGCONT)
			_ = h.process.Process.Kill()
		}
		for _, h := range w.hosts {
			select {
			case <-h.ended:
			case <-time.After(5 * time.Second):
			}
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = exec.Command("cp", "-r", w.dir, keep).Run()
		}
		_ = os.RemoveAll(w.dir)
	})
}

// Finish ends the case: with 1 if the rule was broken, else with 0.
func (w *World) Finish(broken bool, verdict string) {
	if broken {
		w.Logf("BROKEN: %s", verdict)
	} else {
		w.Logf("held: %s", verdict)
	}
	w.cleanUp()
	fmt.Println(map[bool]string{true: "BROKEN: ", false: "held: "}[broken] + verdict)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// CannotRun ends the program with 2.
func CannotRun(why string) {
	if current != nil {
		current.Logf("the case could not run: %s", why)
		current.cleanUp()
	}
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	os.Exit(2)
}
