package kit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"
)

// The bounds of the small site that the stand-in runners keep.
const (
	holdMax   = 10 * time.Second
	heartbeat = 1500 * time.Millisecond
	endsAtOne = 500
)

// Behaviour is how a run of a task goes at a runner.
type Behaviour struct {
	// Takes is how long the run works until it ends. A lasting one works until it is stopped; Takes is then its start.
	Takes time.Duration
	// Lasting means that it goes on until it is stopped.
	Lasting bool
	// How is the end of a run that is not lasting.
	How string
	// CPU and MemMB are its size; CPU is 0 for a task that fills.
	CPU, MemMB int64
	// GPU is the number of accelerators it takes.
	GPU int64
	// StopTakes is how long a stop takes.
	StopTakes time.Duration
	// Tail is the tail of its answers' times in milliseconds, for a task that serves.
	Tail int64
	// Advised means that a start needs a ticket of the advising service.
	Advised bool
	// Gang is the number of members if the task is one of a gang.
	Gang int
	// Saves means that the task saves its progress each half second of work.
	Saves bool
}

// Runner is a stand-in of a machine and its runner. After a crash the next life has another id at the same address.
type Runner struct {
	Machine, Zone string
	Labels        []string
	CPU, MemMB    int64
	GPU           int64
	Address       string

	world *World
	mu    sync.Mutex
	life  *life
	lives int
	state string
	// cutUntil is until when no call reaches the runner, which runs on. lateUntil is until when some orders get no answer and
	// are carried out late.
	cutUntil, lateUntil time.Time
}

type life struct {
	id       string
	start    time.Time
	offset   time.Duration
	fence    int64
	until    time.Duration
	active   map[string]*run
	highest  map[string]int64
	finished [][]any
	number   int64
	changed  chan struct{}
	server   *http.Server
	over     chan struct{}
}

type run struct {
	number    int64
	began     time.Time
	behaviour Behaviour
	stopping  bool
	// done is the work that its checkpoint brought.
	done time.Duration
	unit string
}

// worked is the work that is done by now.
func (r *run) worked() time.Duration {
	if r.began.IsZero() {
		return r.done
	}
	return min(r.behaviour.Takes, r.done+time.Since(r.began))
}

func (r *run) percent() int { return int(100 * r.worked() / max(time.Millisecond, r.behaviour.Takes)) }

// saved is the run's checkpoint: the unit and the work in milliseconds, "" if there is none.
func (r *run) saved(exact bool) string {
	worked := r.worked()
	if !exact {
		worked = worked.Truncate(500 * time.Millisecond)
	}
	if !r.behaviour.Saves || worked <= 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", r.unit, worked.Milliseconds())
}

// UnitOf returns the step of a task: its name without the last number.
func UnitOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func (l *life) clock() time.Duration { return l.offset + time.Since(l.start) }

// AddRunner starts a runner.
func (w *World) AddRunner(machine, zone string, cpu, memMB int64, labels ...string) *Runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	r := &Runner{Machine: machine, Zone: zone, CPU: cpu, MemMB: memMB, Labels: labels, Address: l.Addr().String(), world: w, state: "ready"}
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	r.begin(l)
	return r
}

func (r *Runner) begin(l net.Listener) {
	r.mu.Lock()
	r.lives++
	b := &life{
		id: fmt.Sprintf("%s-%d-%04x", r.Machine, r.lives, rand.IntN(1<<16)), start: time.Now(), offset: time.Duration(rand.IntN(3600)) * time.Second,
		active: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}), over: make(chan struct{}),
	}
	mux := http.NewServeMux()
	for path, do := range map[string]func(*life, order) (int, map[string]any){"/run-start": r.startRun, "/run-stop": r.stopRun, "/pace": r.pace} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, in *http.Request) {
			status, body := r.take(b, in, do)
			Reply(w, status, body)
		})
	}
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, in *http.Request) { r.hold(b, w, in) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	b.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if want := in.Header.Get("Expect-Instance"); want != "" && want != b.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		cut := time.Until(r.cutUntil)
		late := time.Now().Before(r.lateUntil) && in.URL.Path != "/hold" && rand.IntN(5) == 0
		r.mu.Unlock()
		switch {
		case cut > 0:
			time.Sleep(cut)
			panic(http.ErrAbortHandler)
		case late:
			body, _ := io.ReadAll(in.Body)
			time.AfterFunc(2*time.Second+time.Duration(rand.IntN(10000))*time.Millisecond, func() {
				again, _ := http.NewRequest(in.Method, in.URL.Path, bytes.NewReader(body))
				mux.ServeHTTP(httptest.NewRecorder(), again)
			})
			<-in.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, in)
	})}
	r.life = b
	r.mu.Unlock()
	r.world.Logf("runner %s of machine %s begins", b.id, r.Machine)
	go func() { _ = b.server.Serve(l) }()
	go r.ping(b)
	go r.lapse(b)
}

// ping writes the runner's entry, and drops it after three pings of silence.
func (r *Runner) ping(b *life) {
	for sequence := 1; ; sequence++ {
		r.writeEntry(b, sequence)
		select {
		case <-b.over:
			time.Sleep(3 * heartbeat)
			r.world.Store.Remove("servers", b.id)
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *Runner) writeEntry(b *life, sequence int) {
	r.mu.Lock()
	if r.life != b {
		r.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": 8, "state": r.state, "cold-remaining-ms": 0, "sequence": sequence,
		"capacity": map[string]any{"cpu": r.CPU, "mem-mb": r.MemMB, "gpu": r.GPU}, "labels": r.Labels, "machine": r.Machine, "clock-ms": b.clock().Milliseconds(),
	}
	r.mu.Unlock()
	r.world.Store.Put("servers", b.id, entry)
}

// lapse ends all runs when the hold is over.
func (r *Runner) lapse(b *life) {
	for {
		select {
		case <-b.over:
			return
		case <-time.After(20 * time.Millisecond):
		}
		r.mu.Lock()
		if b.clock() > b.until {
			for _, f := range b.finished {
				r.world.lapsed(b.id, f)
			}
			for task := range b.active {
				r.end(b, task, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// Crash ends the runner's life at once. The next life begins after the given time.
func (r *Runner) Crash(down time.Duration) {
	r.mu.Lock()
	b := r.life
	if b == nil {
		r.mu.Unlock()
		return
	}
	r.life = nil
	var lost []string
	for task, each := range b.active {
		r.world.ended(b.id, task, each.number, "lost")
		if each.behaviour.Gang > 0 {
			go r.world.breakGang(task, each.number, "lost")
		}
		lost = append(lost, fmt.Sprintf("%s run %d after %s", task, each.number, time.Since(each.began).Round(time.Millisecond)))
	}
	sort.Strings(lost)
	b.active = map[string]*run{}
	close(b.over)
	r.mu.Unlock()
	r.world.Logf("runner %s of machine %s crashes, with [%s]; back in %s", b.id, r.Machine, strings.Join(lost, ", "), down)
	_ = b.server.Close()
	time.AfterFunc(down, func() {
		for range 100 {
			if l, err := net.Listen("tcp", r.Address); err == nil {
				r.begin(l)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// Cut cuts the runner off for a while. It runs on.
func (r *Runner) Cut(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutUntil = time.Now().Add(span)
	r.world.Logf("runner of machine %s is cut off for %s", r.Machine, span)
}

// Late makes the runner carry out some orders late and not answer them, for a while.
func (r *Runner) Late(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateUntil = time.Now().Add(span)
}

// Runs returns the tasks that run there, with the time since each began.
func (r *Runner) Runs() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[string]time.Duration{}
	if r.life != nil {
		for task, each := range r.life.active {
			list[task] = time.Since(each.began)
		}
	}
	return list
}

// ID returns the id of the present life, "" while there is none.
func (r *Runner) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil {
		return ""
	}
	return r.life.id
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run-id"`
	Spec     string `json:"spec"`
	Saved    string `json:"checkpoint"`
	Ticket   string `json:"ticket"`
	Expires  int64  `json:"expires-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	WaitMs   int64  `json:"wait-ms"`
	Percent  int    `json:"percent"`
}

func (r *Runner) take(b *life, in *http.Request, do func(*life, order) (int, map[string]any)) (int, map[string]any) {
	var o order
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		return http.StatusBadRequest, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := map[string]any{"clock-ms": float64(b.clock().Microseconds()) / 1000}
	if o.Fence < b.fence {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	b.fence = o.Fence
	status, more := do(b, o)
	for k, v := range more {
		answer[k] = v
	}
	return status, answer
}

func (b *life) extend(ms int64) {
	b.until = max(b.until, min(time.Duration(ms)*time.Millisecond, b.clock()+holdMax))
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *Runner) startRun(b *life, o order) (int, map[string]any) {
	if a := b.active[o.Task]; a != nil && a.number == o.Run {
		b.extend(o.Expires)
		return http.StatusOK, nil
	}
	if time.Duration(o.Expires)*time.Millisecond < b.clock() {
		return refuse("late")
	}
	b.extend(o.Expires)
	if b.active[o.Task] != nil || b.highest[o.Task] >= o.Run {
		return refuse("old")
	}
	how, known := r.world.behaviour(o.Task, o.Run)
	if !known {
		how = Behaviour{Takes: time.Second, How: "done"}
	}
	if how.Advised && !r.world.ticketHolds(UnitOf(o.Task), b.id, o.Ticket) {
		r.world.countRefused(o.Task)
		return refuse("ticket")
	}
	cpu, mem, gpu := how.CPU, how.MemMB, how.GPU
	for _, each := range b.active {
		cpu, mem, gpu = cpu+each.behaviour.CPU, mem+each.behaviour.MemMB, gpu+each.behaviour.GPU
	}
	if cpu > r.CPU || mem > r.MemMB || gpu > r.GPU {
		return refuse("room")
	}
	each := &run{number: o.Run, began: time.Now(), behaviour: how, unit: UnitOf(o.Task)}
	if o.Saved != "" {
		var ms int64
		unit, text, _ := strings.Cut(o.Saved, "/")
		_, _ = fmt.Sscan(text, &ms)
		each.done = time.Duration(ms) * time.Millisecond
		if unit != each.unit || !how.Saves {
			r.world.Report("UNASKED: %s run %d is started with the checkpoint %q", o.Task, o.Run, o.Saved)
		}
	}
	b.active[o.Task] = each
	r.world.started(b.id, r.Zone, o.Task, o.Run, o.Spec)
	switch {
	case how.Gang > 0:
		each.began = time.Time{}
		go r.world.join(&member{r, b, o.Task, each, o.Saved})
	case !how.Lasting:
		r.endAfter(b, o.Task, each, how.Takes-each.done, how.How)
	}
	return http.StatusOK, nil
}

// member is a run of a member of a gang.
type member struct {
	runner *Runner
	life   *life
	task   string
	run    *run
	saved  string
}

// gangWait is gang_ms.
const gangWait = 3 * time.Second

// join adds a member to the run of its gang. Once all are there, they begin to work, and end together.
func (w *World) join(m *member) {
	key := fmt.Sprintf("%s/%d", UnitOf(m.task), m.run.number)
	w.mu.Lock()
	if w.gangs == nil {
		w.gangs = map[string][]*member{}
	}
	w.gangs[key] = append(w.gangs[key], m)
	all := append([]*member(nil), w.gangs[key]...)
	w.mu.Unlock()
	if len(all) == 1 {
		time.AfterFunc(gangWait, func() { w.leftAlone(key, m.run.behaviour.Gang) })
	}
	if len(all) < m.run.behaviour.Gang {
		return
	}
	for _, each := range all {
		if each.saved != m.saved {
			w.Report("UNASKED: members of gang %s bring other checkpoints: %q and %q", key, each.saved, m.saved)
		}
		each.runner.mu.Lock()
		each.run.began = time.Now()
		each.runner.mu.Unlock()
	}
	time.AfterFunc(m.run.behaviour.Takes-m.run.done, func() {
		for _, each := range all {
			each.endIfActive(m.run.behaviour.How)
		}
	})
}

func (m *member) endIfActive(how string) {
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	if m.runner.life == m.life && m.life.active[m.task] == m.run {
		m.runner.end(m.life, m.task, how)
	}
}

func (w *World) leftAlone(key string, count int) {
	w.mu.Lock()
	all := append([]*member(nil), w.gangs[key]...)
	w.mu.Unlock()
	if len(all) >= count {
		return
	}
	for _, each := range all {
		each.endIfActive("alone")
	}
}

// breakGang ends the other members of a gang's run after one has ended otherwise than done.
func (w *World) breakGang(task string, number int64, how string) {
	if how == "done" || how == "broken" || how == "alone" {
		return
	}
	w.mu.Lock()
	all := append([]*member(nil), w.gangs[fmt.Sprintf("%s/%d", UnitOf(task), number)]...)
	w.mu.Unlock()
	for _, each := range all {
		each.endIfActive("broken")
	}
}

func (r *Runner) endAfter(b *life, task string, each *run, span time.Duration, how string) {
	time.AfterFunc(span, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life == b && b.active[task] == each {
			r.end(b, task, how)
		}
	})
}

// end is called with the lock held.
func (r *Runner) end(b *life, task, how string) {
	each := b.active[task]
	delete(b.active, task)
	b.highest[task] = max(b.highest[task], each.number)
	b.number++
	saved := ""
	if how != "done" {
		saved = each.saved(how == "stopped")
	}
	b.finished = append(b.finished, []any{b.number, task, each.number, how, saved})
	if each.behaviour.Gang > 0 {
		go r.world.breakGang(task, each.number, how)
	}
	close(b.changed)
	b.changed = make(chan struct{})
	r.world.ended(b.id, task, each.number, how)
}

func (r *Runner) stopRun(b *life, o order) (int, map[string]any) {
	each := b.active[o.Task]
	if each == nil || each.number != o.Run {
		b.highest[o.Task] = max(b.highest[o.Task], 0)
		return refuse("missing")
	}
	if !each.stopping {
		each.stopping = true
		r.world.Logf("runner %s is told to stop %s run %d, at %d%%", b.id, o.Task, o.Run, each.percent())
		r.endAfter(b, o.Task, each, each.behaviour.StopTakes, "stopped")
	}
	return http.StatusOK, nil
}

func (r *Runner) pace(*life, order) (int, map[string]any) { return http.StatusOK, nil }

func (r *Runner) hold(b *life, w http.ResponseWriter, in *http.Request) {
	var wait time.Duration
	var changed chan struct{}
	status, body := r.take(b, in, func(b *life, o order) (int, map[string]any) {
		if o.Expires > 0 {
			b.extend(o.Expires)
		}
		keep := b.finished[:0:0]
		for _, f := range b.finished {
			if n, _ := f[0].(int64); n > o.LastSeen {
				keep = append(keep, f)
			} else {
				r.world.noted(b.id, f)
			}
		}
		b.finished = keep
		if len(keep) == 0 {
			wait, changed = time.Duration(min(o.WaitMs, 2000))*time.Millisecond, b.changed
		}
		return http.StatusOK, nil
	})
	if status == http.StatusOK && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-in.Context().Done():
			return
		}
	}
	if status == http.StatusOK {
		r.mu.Lock()
		active := [][]any{}
		for task, each := range b.active {
			reading := each.behaviour.CPU
			if each.behaviour.Tail > 0 {
				reading = each.behaviour.Tail
			}
			active = append(active, []any{task, each.number, each.saved(false), each.percent(), reading})
		}
		body["clock-ms"] = float64(b.clock().Microseconds()) / 1000
		body["active"], body["finished"] = active, append([][]any{}, b.finished[:min(len(b.finished), endsAtOne)]...)
		r.mu.Unlock()
	}
	Reply(w, status, body)
}
