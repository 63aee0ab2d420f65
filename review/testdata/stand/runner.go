package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// The bounds of sites/bcb-quotes.toml that concern runners.
const (
	holdMax    = 10 * time.Second
	stopTime   = 300 * time.Millisecond // stop_ms is 900 at most
	gangWait   = 3 * time.Second
	saveEvery  = 500 * time.Millisecond
	restore    = 250 * time.Millisecond
	endsAtOnce = 500
)

// task is what a client handed in, as the runner sees it in its own tables.
type task struct {
	step  step
	spec  string
	takes time.Duration
}

// workload is what clients have handed in, by job. Runners and the judge look tasks up in it.
type workload struct {
	mu    sync.Mutex
	jobs  map[string]*job
	gangs map[string]*gangRun
}

func (w *workload) task(name string) (task, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return task{}, false
	}
	j := w.jobs[parts[0]]
	var k, s, i int
	if _, err := fmt.Sscanf(parts[1]+" "+parts[2]+" "+parts[3], "%d %d %d", &k, &s, &i); err != nil || j == nil || s >= len(j.Steps) || i >= j.Steps[s].Count || k >= max(1, j.Repeat) {
		return task{}, false
	}
	return task{step: j.Steps[s], spec: j.Spec, takes: j.Steps[s].takes}, true
}

type activeRun struct {
	task    string
	number  int64
	t       task
	began   time.Time
	worked  time.Duration // work that a checkpoint brought
	stopped bool
	waits   bool // a member of a gang that is not complete
	fails   bool
}

type endedRun struct {
	n     int64
	task  string
	run   int64
	how   string
	saved string
	at    time.Time
}

// runner stands in for one life of a runner.
type runner struct {
	id, zone, address, machine string
	service                    string
	capacity                   size
	load                       *workload
	rec                        *record
	judge                      *judge

	mu       sync.Mutex
	start    time.Time
	fence    int64
	until    time.Duration
	runs     map[string]*activeRun
	highest  map[string]int64
	ended    []endedRun
	number   int64
	changed  chan struct{}
	clockOff time.Duration
	timer    *time.Timer
	lapsedAt time.Duration
	// dead says that this life is over, cut that it is reached by nobody and runs on. draining is what its entry says.
	dead, cut bool
	draining  bool
	// lateShare is the share of orders that get no answer and are carried out 2 to 12 s late.
	lateShare float64
	failShare float64
	slowClock float64
	server    *http.Server
	channels  *silentListener
	// label is one that few machines have; "" for none.
	label string
	// tickets says that a start needs the ticket of its step.
	tickets bool
	// unguarded says that it starts whatever it is told.
	unguarded bool
}

type size struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem-mb"`
	GPU   int64 `json:"gpu"`
}

func newRunner(id, zone string, capacity size, load *workload, rec *record, j *judge) *runner {
	r := &runner{
		id: id, zone: zone, machine: "m-" + id, service: serviceName, capacity: capacity, load: load, rec: rec, judge: j, start: time.Now(),
		runs: map[string]*activeRun{}, highest: map[string]int64{}, changed: make(chan struct{}), clockOff: 400 * time.Second,
	}
	mux := http.NewServeMux()
	for path, do := range map[string]func(order) (int, map[string]any){"POST /run-start": r.startRun, "POST /run-stop": r.stopRun, "POST /pace": r.pace} {
		mux.HandleFunc(path, func(w http.ResponseWriter, in *http.Request) {
			var o order
			if json.NewDecoder(in.Body).Decode(&o) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if span := r.later(); span > 0 {
				rec.line("%s: order %s for %s run %d is carried out %d ms late", r.id, path, o.Task, o.Run, span.Milliseconds())
				time.AfterFunc(span, func() {
					if !r.unanswered() {
						r.execute(o, do)
					}
				})
				<-in.Context().Done()
				return
			}
			status, answer := r.execute(o, do)
			if r.unanswered() {
				<-in.Context().Done()
				return
			}
			writeJSON(w, status, answer)
		})
	}
	mux.HandleFunc("POST /hold", r.serveHold)
	l := listen()
	r.address = l.Addr().String()
	r.server, r.channels = serve(l, http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if r.unanswered() {
			_, _ = io.Copy(io.Discard, in.Body)
			<-in.Context().Done()
			return
		}
		if want := in.Header.Get("Expect-Instance"); want != "" && want != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, in)
	}))
	return r
}

// entry is the runner's own row under servers/.
func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": map[bool]string{false: "ready", true: "draining"}[r.draining], "cold-remaining-ms": 0,
		"sequence": 1, "machine": r.machine, "capacity": r.capacity, "labels": r.labels(), "clock-ms": r.clock().Milliseconds(), "remaining-ms": 4000,
	}
}

// labels returns the kind and the rack, and the machine's own label.
func (r *runner) labels() []string {
	list := []string{"a", "r-" + r.zone}
	if r.label != "" {
		list = append(list, r.label)
	}
	return list
}

func (r *runner) clock() time.Duration {
	return r.clockOff + time.Duration(float64(time.Since(r.start))*(1-r.slowClock))
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run-id"`
	Spec       string `json:"spec"`
	Expires    int64  `json:"expires-ms"`
	Fence      int64  `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

// unanswered says whether the life answers nobody.
func (r *runner) unanswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead || r.cut
}

// later returns by how much an order is carried out late, or 0.
func (r *runner) later() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateShare == 0 || rand.Float64() >= r.lateShare {
		return 0
	}
	return 2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second)))
}

// crash ends this life with all its runs.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	for _, a := range r.sortedRuns() {
		delete(r.runs, a.task)
		r.judge.died(r.id, a.task, a.number)
	}
	r.rec.add("%s crashes", r.id)
}

// crashWithReset ends this life as the end of a process does: its connections are reset, and new ones are refused.
func (r *runner) crashWithReset() {
	r.crash()
	_ = r.server.Close()
}

func (r *runner) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// execute carries out an order unless the runner has seen a higher fencing token.
func (r *runner) execute(o order, do func(order) (int, map[string]any)) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapse()
	answer := map[string]any{"clock-ms": r.clock().Milliseconds()}
	if o.Fence < r.fence {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	r.fence = o.Fence
	status, more := do(o)
	for k, v := range more {
		answer[k] = v
	}
	return status, answer
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend moves the end of the lease. It never shortens it.
func (r *runner) extend(ms int64) {
	r.until = max(r.until, min(time.Duration(ms)*time.Millisecond, r.clock()+holdMax))
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(r.until-r.clock()+time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lapse()
	})
}

// lapse kills all that runs once the lease is over.
func (r *runner) lapse() {
	if r.until == 0 || r.clock() <= r.until {
		return
	}
	if r.lapsedAt != r.until {
		r.lapsedAt = r.until
		r.judge.lapsed(r.id)
		if len(r.runs) > 0 {
			r.rec.add("%s: lease over, %d runs killed", r.id, len(r.runs))
		}
	}
	for _, a := range r.sortedRuns() {
		r.end(a, "lapsed")
	}
}

func (r *runner) sortedRuns() []*activeRun {
	list := make([]*activeRun, 0, len(r.runs))
	for _, a := range r.runs {
		list = append(list, a)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].task < list[k].task })
	return list
}

// progress returns how much of a run's work is done.
func (a *activeRun) progress() time.Duration {
	if a.waits {
		return a.worked
	}
	return min(a.t.takes, a.worked+time.Since(a.began))
}

func (a *activeRun) percent() int {
	if a.t.step.Lasting {
		return 100
	}
	return min(99, int(100*a.progress()/max(1, a.t.takes)))
}

// saved returns the run's newest checkpoint, in the form of the example in PROTOCOL.md.
func (a *activeRun) saved() string {
	if !a.t.step.Saves {
		return ""
	}
	whole := a.progress() / saveEvery * saveEvery
	if whole == 0 {
		return ""
	}
	return checkpointOf(a.task, whole)
}

func checkpointOf(task string, work time.Duration) string {
	return fmt.Sprintf("%08x%08x", work.Milliseconds(), hash(task))
}

func hash(text string) uint32 {
	h := uint32(2166136261)
	for i := range len(text) {
		h = (h ^ uint32(text[i])) * 16777619
	}
	return h
}

func (r *runner) end(a *activeRun, how string) {
	if r.runs[a.task] != a {
		return
	}
	delete(r.runs, a.task)
	if a.t.step.Gang {
		go r.load.memberEnded(a.task, a.number, how, r)
	}
	r.highest[a.task] = max(r.highest[a.task], a.number)
	r.number++
	e := endedRun{n: r.number, task: a.task, run: a.number, how: how, at: time.Now()}
	if how != "done" {
		e.saved = a.saved()
	}
	r.ended = append(r.ended, e)
	r.judge.ended(r.id, e)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) startRun(o order) (int, map[string]any) {
	if a := r.runs[o.Task]; a != nil && a.number == o.Run {
		return http.StatusOK, nil
	}
	if time.Duration(o.Expires)*time.Millisecond <= r.clock() {
		return refuse("late")
	}
	r.extend(o.Expires)
	if r.runs[o.Task] != nil || r.highest[o.Task] >= o.Run {
		return refuse("old")
	}
	if step := o.Task[:strings.LastIndex(o.Task, ".")]; r.tickets && o.Ticket != ticketFor(step, r.id) {
		return refuse("ticket")
	}
	t, known := r.load.task(o.Task)
	var taken size
	for _, a := range r.runs {
		taken.CPU += a.t.step.CPU
		taken.MemMB += a.t.step.MemMB
	}
	if taken.CPU+t.step.CPU > r.capacity.CPU || taken.MemMB+t.step.MemMB > r.capacity.MemMB {
		if !r.unguarded {
			return refuse("room")
		}
		r.judge.overCapacity(r.id, o.Task)
	}
	a := &activeRun{task: o.Task, number: o.Run, t: t, began: time.Now()}
	r.runs[o.Task] = a
	r.judge.started(r.id, o, t, known)
	left := t.takes
	if o.Checkpoint != "" {
		var ms int64
		var h uint32
		if _, err := fmt.Sscanf(o.Checkpoint, "%08x%08x", &ms, &h); err == nil && h == hash(o.Task) {
			a.worked = time.Duration(ms)*time.Millisecond - restore
			left = max(0, t.takes-a.worked)
		}
	}
	a.fails = r.failShare > 0 && rand.Float64() < r.failShare
	switch {
	case t.step.Gang:
		a.waits = true
		go r.load.memberHere(a, r, left)
	case !t.step.Lasting || a.fails:
		if a.fails {
			left /= 2
		}
		r.endIn(a, left)
	}
	return http.StatusOK, nil
}

// endIn ends a run once it has done its work.
func (r *runner) endIn(a *activeRun, left time.Duration) {
	time.AfterFunc(left, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.dead {
			return
		}
		r.lapse()
		if a.fails {
			r.end(a, "failed")
			return
		}
		r.end(a, "done")
	})
}

func (r *runner) stopRun(o order) (int, map[string]any) {
	a := r.runs[o.Task]
	if a == nil || a.number != o.Run {
		r.highest[o.Task] = max(r.highest[o.Task], o.Run) // a run that was stopped does not start any more
		return http.StatusOK, nil
	}
	if !a.stopped {
		a.stopped = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(a, "stopped")
		})
	}
	return http.StatusOK, nil
}

func (r *runner) pace(order) (int, map[string]any) { return http.StatusOK, nil }

func (r *runner) serveHold(w http.ResponseWriter, in *http.Request) {
	var o order
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := r.execute(o, r.hold)
	if ends, _ := answer["finished"].([][]any); status == http.StatusOK && len(ends) == 0 && o.WaitMs > 0 {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-in.Context().Done():
			return
		}
		o.Expires = 0
		status, answer = r.execute(o, r.hold)
	}
	if r.unanswered() {
		<-in.Context().Done()
		return
	}
	writeJSON(w, status, answer)
}

// hold forgets the ends up to last-seen, and lists the others, endsAtOnce at most.
func (r *runner) hold(o order) (int, map[string]any) {
	if o.Expires > 0 {
		r.extend(o.Expires)
	}
	keep := r.ended[:0:0]
	for _, e := range r.ended {
		if e.n > o.LastSeen {
			keep = append(keep, e)
			continue
		}
		r.judge.noted(r.id, e)
	}
	r.ended = keep
	active, finished := [][]any{}, [][]any{}
	for _, a := range r.sortedRuns() {
		active = append(active, []any{a.task, a.number, a.saved(), a.percent(), a.t.step.CPU})
	}
	for _, e := range keep[:min(len(keep), endsAtOnce)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
		r.judge.listed(r.id, e)
	}
	return http.StatusOK, map[string]any{"active": active, "finished": finished}
}
