package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/platform/platformtest"
)

const (
	howDone     = "done"
	workerCPU   = 8000
	workerMemMB = 32000
	// maxHold is the maximum time that a worker keeps its runs without a renewal of its lease.
	maxHold   = 10 * time.Second
	stopDelay = 100 * time.Millisecond
	// failureOneIn is the number of runs of which one, on average, fails.
	failureOneIn = 60
	// rowInterval is the time between two writes of a worker's row. rowTTL is the time that a row
	// remains after the worker's end.
	rowInterval = 400 * time.Millisecond
	rowTTL      = 1200 * time.Millisecond
	// endsPerAnswer is how many ends a worker lists at once, the oldest first.
	endsPerAnswer = 500
)

// worker is a stand-in worker. It runs one incarnation at a time, at one address and, without newIDs, under one id.
type worker struct {
	id, hall string
	// newIDs means that each incarnation after the first has an id of its own.
	newIDs bool
	// beat is the time between two writes of an unchanged row; 0: the row is written every rowInterval.
	beat time.Duration
	// inventory lists the worker's machine, unless it is nil.
	inventory *platformtest.Inventory
	// address is where its incarnations listen, front the address in its row: that of its proxy.
	address, front string
	checker        *checker
	put            func(key string, row any)
	remove         func(key string)

	mu          sync.Mutex
	rand        *rand.Rand
	incarnation *incarnation
	// incarnations is the number of incarnations so far. Until delayingUntil, some orders are executed
	// late and not answered; until invalidRowUntil, the row is invalid; until leavingUntil, its state is
	// draining.
	incarnations                                 int
	delayingUntil, invalidRowUntil, leavingUntil time.Time
	// Until smallUntil, the capacity is a single task's; until noRoomUntil, it is 0.
	smallUntil, noCapacityUntil time.Time
	dayOver                     chan struct{}
	// lapsing has the ids of incarnations that have ended with a row, and since when.
	lapsing map[string]time.Time
	// gone means that no incarnation follows.
	gone bool
}

// incarnation stands for one process of a worker.
type incarnation struct {
	name, id    string
	startedAt   time.Time
	clockOffset time.Duration
	fence       int64
	leaseUntil  time.Duration
	runs        map[string]*run
	highestRun  map[string]int64
	ended       []runEnd
	number      int64
	changed     chan struct{}
	server      *http.Server
	leaseTimer  *time.Timer
}

type run struct {
	number int64
	since  time.Time
	takes  time.Duration
	cpu    int64
	// lasting means that it is at work after takes, and goes on until it is stopped.
	lasting bool
}

type runEnd struct {
	number int64
	task   string
	run    int64
	how    string
	at     time.Time
	// lapsed means that the lease expired after the end.
	lapsed bool
}

// order has the fields of all messages to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run-id"`
	Spec     string `json:"spec"`
	Expires  int64  `json:"expires-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	WaitMs   int64  `json:"wait-ms"`
}

func (l *incarnation) clock() time.Duration { return l.clockOffset + time.Since(l.startedAt) }

// startIncarnation starts the next incarnation, unless one runs.
func (w *worker) startIncarnation() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != nil || w.gone {
		return nil // another fault has started one already
	}
	listener, err := listen(w.address)
	if err != nil {
		return err
	}
	w.incarnations++
	l := &incarnation{
		name: fmt.Sprintf("%s/%d", w.id, w.incarnations), id: w.incarnationID(), startedAt: time.Now(), clockOffset: time.Duration(w.rand.IntN(3600)) * time.Second,
		runs: map[string]*run{}, highestRun: map[string]int64{}, changed: make(chan struct{}),
	}
	l.server = &http.Server{Handler: w.handler(l), ReadHeaderTimeout: time.Minute}
	w.incarnation = l
	delete(w.lapsing, l.id)
	w.list(l)
	w.checker.logf("%s begins", l.name)
	go func() { _ = l.server.Serve(listener) }() // until it is closed
	return nil
}

// crash ends the incarnation with all its runs at once.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.incarnation
	if l == nil {
		w.mu.Unlock()
		return
	}
	w.incarnation = nil
	w.lapsing[l.id] = time.Now()
	w.unlist()
	w.checker.logf("%s crashes", l.name)
	for task, r := range l.runs {
		w.checker.ended(l.name, task, r.number, "crashed")
	}
	l.runs = map[string]*run{}
	w.mu.Unlock()
	_ = l.server.Close()
}

// writeRows writes the worker's row every rowInterval, or every beat, until the day is over, and removes it after its
// incarnation has been down for rowTTL, or for three beats.
func (w *worker) writeRows() {
	var written *incarnation
	var writtenAt time.Time
	writtenState := ""
	for sequence := 1; ; sequence++ {
		select {
		case <-w.dayOver:
			return
		case <-time.After(rowInterval):
		}
		w.removeLapsedRows()
		w.mu.Lock()
		l, now := w.incarnation, time.Now()
		state := "ready"
		if now.Before(w.leavingUntil) {
			state = "draining"
		}
		if l == nil || (l == written && state == writtenState && now.Sub(writtenAt) < w.beat) {
			w.mu.Unlock()
			continue
		}
		written, writtenAt, writtenState = l, now, state
		odd, cpu := now.Before(w.invalidRowUntil), w.availableCPU()
		w.mu.Unlock()
		switch {
		case odd:
			w.put(l.id, map[string]any{"service": 7, "address": "nowhere"})
			w.put("odd-"+w.id, oddRow(sequence))
		default:
			w.put(l.id, map[string]any{
				"service": "pool", "address": w.front, "zone": w.hall, "version": "v1", "slots": 8, "state": state, "sequence": sequence,
				"capacity": map[string]any{"cpu": cpu, "mem-mb": workerMemMB, "gpu": 0}, "labels": []string{"a", "r1"},
				"machine": w.machine(), "born": l.startedAt.UnixMilli(), "clock-ms": l.clock().Milliseconds(), "remaining-ms": 3000,
			})
		}
	}
}

// oddRow returns a row of another writer, which has another size and content at each sequence number.
func oddRow(sequence int) map[string]any {
	nested := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	return map[string]any{
		"service": "pool", "address": "10.0.0.1:70000", "zone": fmt.Sprint("hall-", sequence), "version": "v1", "slots": json.Number("99999999999999999999999"),
		"state": strings.Repeat("\x01", 1+sequence%2*7000), "capacity": map[string]any{"cpu": json.Number("1e400")}, "odd": json.RawMessage(nested),
	}
}

func (w *worker) handler(l *incarnation) http.Handler {
	mux := http.NewServeMux()
	for path, do := range map[string]func(*incarnation, order) (int, map[string]any){
		"POST /run-start": w.start, "POST /run-stop": w.stop, "POST /pace": w.pace,
	} {
		mux.HandleFunc(path, func(out http.ResponseWriter, in *http.Request) {
			o, ok := read(out, in)
			if !ok {
				return
			}
			if w.delaysOrder() {
				time.AfterFunc(time.Second+time.Duration(o.Run%4)*time.Second, func() { w.execute(l, o, do) })
				<-in.Context().Done() // a delayed order gets no answer
				return
			}
			status, answer := w.execute(l, o, do)
			reply(out, status, answer)
		})
	}
	mux.HandleFunc("POST /hold", func(out http.ResponseWriter, in *http.Request) {
		o, ok := read(out, in)
		if !ok {
			return
		}
		status, answer := w.execute(l, o, w.hold)
		if ended, _ := answer["finished"].([][]any); status == http.StatusOK && len(ended) == 0 && o.WaitMs > 0 {
			w.await(in, l, time.Duration(o.WaitMs)*time.Millisecond)
			status, answer = w.execute(l, o, w.hold)
		}
		reply(out, status, answer)
	})
	return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		if want := in.Header.Get("Expect-Instance"); want != "" && want != l.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(out, in)
	})
}

func read(out http.ResponseWriter, in *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func reply(out http.ResponseWriter, status int, answer map[string]any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer) // fails only if the caller has closed the connection
}

func (w *worker) delaysOrder() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.delayingUntil) && w.rand.IntN(3) == 0
}

func (w *worker) await(in *http.Request, l *incarnation, span time.Duration) {
	w.mu.Lock()
	changed := l.changed
	w.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(span):
	case <-in.Context().Done():
	}
}

// execute executes an order, unless its incarnation has ended or its fencing token is older than one
// received before.
func (w *worker) execute(l *incarnation, o order, do func(*incarnation, order) (int, map[string]any)) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != l {
		return http.StatusServiceUnavailable, nil
	}
	w.expireLease(l)
	answer := map[string]any{"clock-ms": l.clock().Milliseconds(), "born": l.startedAt.UnixMilli()}
	if o.Fence < l.fence {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	l.fence = o.Fence
	status, more := do(l, o)
	for k, v := range more {
		answer[k] = v
	}
	return status, answer
}

// extend extends the lease to a time of the worker's clock in milliseconds, at most maxHold from now.
func (w *worker) extend(l *incarnation, ms int64) {
	for i := range l.ended {
		l.ended[i].lapsed = l.ended[i].lapsed || l.clock() > l.leaseUntil
	}
	l.leaseUntil = max(l.leaseUntil, min(time.Duration(ms)*time.Millisecond, l.clock()+maxHold))
	if l.leaseTimer != nil {
		l.leaseTimer.Stop()
	}
	l.leaseTimer = time.AfterFunc(l.leaseUntil-l.clock()+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == l {
			w.expireLease(l)
		}
	})
}

// expireLease ends all runs if the lease has expired.
func (w *worker) expireLease(l *incarnation) {
	if l.clock() <= l.leaseUntil {
		return
	}
	for task := range l.runs {
		w.end(l, task, "lapsed")
	}
}

func (w *worker) end(l *incarnation, task, how string) {
	r := l.runs[task]
	delete(l.runs, task)
	l.highestRun[task] = max(l.highestRun[task], r.number)
	l.number++
	l.ended = append(l.ended, runEnd{number: l.number, task: task, run: r.number, how: how, at: time.Now()})
	w.checker.ended(l.name, task, r.number, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (w *worker) hold(l *incarnation, o order) (int, map[string]any) {
	if o.Expires > 0 {
		w.extend(l, o.Expires)
	}
	keep := l.ended[:0:0]
	for _, e := range l.ended {
		if e.number > o.LastSeen {
			keep = append(keep, e)
			continue
		}
		w.checker.acknowledged(l.name, e)
	}
	l.ended = keep
	active, finished := [][]any{}, [][]any{}
	for task, r := range l.runs {
		active = append(active, []any{task, r.number, "", r.percent(), r.cpu})
	}
	for _, e := range keep[:min(len(keep), endsPerAnswer)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"active": active, "finished": finished}
}

func (w *worker) start(l *incarnation, o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, nil
	}
	if time.Duration(o.Expires)*time.Millisecond < l.clock() {
		return refuse("late")
	}
	w.extend(l, o.Expires)
	if l.runs[o.Task] != nil || l.highestRun[o.Task] >= o.Run {
		return refuse("old")
	}
	taken := int64(0)
	for _, r := range l.runs {
		taken += r.cpu
	}
	if taken+taskCPU > w.availableCPU() {
		return refuse("room")
	}
	r := &run{number: o.Run, since: time.Now(), takes: time.Duration(30+w.rand.IntN(500)) * time.Millisecond, cpu: taskCPU}
	l.runs[o.Task] = r
	w.checker.started(l.name, o.Task, o.Run, o.Spec)
	w.checker.checkEvacuation(w.hall, o.Task)
	if w.checker.crashesWorkers(o.Task) {
		time.AfterFunc(crashAfter, func() { w.crashDuring(l, o.Task) })
	}
	if w.checker.isLasting(o.Task) {
		w.startLasting(l, o.Task, r)
		return http.StatusOK, nil
	}
	how := howDone
	if w.rand.IntN(failureOneIn) == 0 {
		how = "failed"
	}
	w.endAfter(l, o.Task, r, r.takes, how)
	return http.StatusOK, nil
}

func (w *worker) endAfter(l *incarnation, task string, r *run, span time.Duration, how string) {
	time.AfterFunc(span, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation != l {
			return
		}
		w.expireLease(l)
		if l.runs[task] == r {
			w.end(l, task, how)
		}
	})
}

func (w *worker) stop(l *incarnation, o order) (int, map[string]any) {
	r := l.runs[o.Task]
	if r == nil || r.number != o.Run {
		return http.StatusConflict, map[string]any{"reason": "missing"}
	}
	w.endAfter(l, o.Task, r, stopDelay, "stopped")
	return http.StatusOK, nil
}

func (w *worker) pace(*incarnation, order) (int, map[string]any) { return http.StatusOK, nil }
