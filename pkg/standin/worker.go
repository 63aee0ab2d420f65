package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/connection/protohttp"
	"github.com/wrenferry/wrenferry/pkg/connection/worker"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Work is the JSON body of a job: how long each task runs, whether it fails, and whether
// it stops without a checkpoint.
type Work struct {
	RunMS        int64 `json:"runMs"`
	Fail         bool  `json:"fail"`
	NoCheckpoint bool  `json:"noCheckpoint"`
}

// NoFences disables single fences of a worker, so that tests can show that each is needed.
type NoFences struct {
	Epoch       bool
	Incarnation bool
	Sequence    bool
	Lease       bool
}

// Worker is a stand-in for a worker: it runs tasks under a lease.
type Worker struct {
	faultSwitches
	name     string
	platform string
	capacity ledger.Size
	services ledger.Size
	noFences NoFences
	record   *record
	mux      *http.ServeMux

	mu            sync.Mutex
	incarnation   string
	boot          time.Time
	epoch         int64
	sequence      int64
	leaseUntil    int64
	runs          map[string]*run
	newestAttempt map[string]int64 // highest attempt of each task started or stopped here
}

// run is one attempt of a task on the worker.
type run struct {
	start    *wire.Start
	work     Work
	state    wire.RunState
	doneMS   int64
	throttle int32
	saved    string
	result   string
	lastWork time.Time
	stopping bool
}

// workTick is the step in which a run progresses and checks its lease.
const workTick = 10 * time.Millisecond

// NewWorker returns a worker that stores checkpoints in the object store of the platform.
// It appends its record to the file recordPath, or keeps it in memory if the path is empty.
func NewWorker(name, platformAddress, recordPath string, capacity, services ledger.Size, noFences NoFences) (*Worker, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		name: name, platform: platformAddress, capacity: capacity, services: services, noFences: noFences,
		record: rec, mux: http.NewServeMux(),
		incarnation: uuid.NewString(), boot: time.Now(),
		runs: map[string]*run{}, newestAttempt: map[string]int64{},
	}
	w.mux.HandleFunc(worker.SyncPath, w.serveSync)
	w.mux.HandleFunc(FaultPath, w.serveSet)
	w.mux.HandleFunc(RecordPath, rec.serve)
	rec.add(Entry{At: time.Now(), What: "boot", Host: name, Detail: w.incarnation})
	return w, nil
}

// ServeHTTP serves the worker's interface, the faults and the record.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// mark returns the worker's own clock: milliseconds since its boot.
func (w *Worker) mark() int64 { return time.Since(w.boot).Milliseconds() }

// --------------------------------------------------------------- messages

func (w *Worker) serveSync(rw http.ResponseWriter, r *http.Request) {
	req := &wire.SyncRequest{}
	if !w.admit(rw, r) || protohttp.Receive(r, req) != nil {
		return
	}
	if len(req.GetStarts()) > 0 {
		w.holdCall()
	}
	reply := w.Sync(req)
	if len(req.GetStarts()) > 0 && w.losesAnswer([]string{"start"}) || len(req.GetStops()) > 0 && w.losesAnswer([]string{"stop"}) {
		dropConnection(rw)
		return
	}
	_ = protohttp.Answer(rw, reply)
}

// Sync processes one message of a leader and returns the reply with all runs. A message
// refused by a fence changes nothing but the known epoch and sequence.
func (w *Worker) Sync(req *wire.SyncRequest) *wire.SyncReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopRunsIfLeaseExpired()
	refused := w.refuses(req)
	if refused {
		w.record.add(Entry{At: time.Now(), What: "refuse", Host: w.name, Detail: fmt.Sprintf(
			"epoch %d of %d, sequence %d of %d, lease until %d at %d", req.GetEpoch(), w.epoch, req.GetSequence(), w.sequence, req.GetLeaseUntilMark(), w.mark())})
	} else {
		w.apply(req)
	}
	return w.reply(refused)
}

// refuses reports whether one of the fences rejects the message: epoch, sequence,
// incarnation or lease. It records a newer epoch or sequence.
func (w *Worker) refuses(req *wire.SyncRequest) bool {
	if !w.noFences.Epoch {
		if req.GetEpoch() < w.epoch {
			return true
		}
	}
	if req.GetEpoch() > w.epoch {
		w.epoch = req.GetEpoch()
		w.sequence = 0
	}
	if !w.noFences.Sequence && req.GetSequence() <= w.sequence {
		return true
	}
	w.sequence = max(w.sequence, req.GetSequence())
	if !w.noFences.Incarnation && req.GetIncarnation() != "" && req.GetIncarnation() != w.incarnation {
		return true
	}
	return !w.noFences.Lease && req.GetLeaseUntilMark() > 0 && req.GetLeaseUntilMark() < w.mark()
}

// apply carries out an accepted message: lease, stops, throttles, starts, and the ended
// runs that the leader has recorded.
func (w *Worker) apply(req *wire.SyncRequest) {
	w.leaseUntil = max(w.leaseUntil, req.GetLeaseUntilMark())
	for _, s := range req.GetStops() {
		w.stop(s)
	}
	for _, t := range req.GetThrottles() {
		if r := w.runs[runName(t.GetTaskId(), t.GetAttempt())]; r != nil {
			r.throttle = t.GetPercent()
		}
	}
	for _, s := range req.GetStarts() {
		w.start(s)
	}
	for _, s := range req.GetRecorded() {
		name := runName(s.GetTaskId(), s.GetAttempt())
		if r := w.runs[name]; r != nil && r.state != wire.RunState_RUN_STATE_RUNNING {
			delete(w.runs, name)
		}
	}
}

func runName(task string, attempt int64) string { return fmt.Sprintf("%s#%d", task, attempt) }

func (w *Worker) reply(refused bool) *wire.SyncReply {
	reply := &wire.SyncReply{
		Incarnation: w.incarnation, Epoch: w.epoch, Mark: w.mark(), Refused: refused,
		LeaseUntilMark: w.leaseUntil, Capacity: w.capacity.Wire(), Services: w.services.Wire(),
	}
	for _, r := range w.runs {
		reply.Runs = append(reply.Runs, &wire.Run{
			TaskId: r.start.GetTaskId(), Attempt: r.start.GetAttempt(), State: r.state, Size: r.start.GetSize(),
			Checkpoint: r.saved, Result: r.result, ThrottlePercent: r.throttle,
		})
	}
	for service, tail := range w.get().Samples {
		reply.Samples = append(reply.Samples, &wire.ServiceSample{Service: service, TailMs: tail, AgeMs: 0})
	}
	return reply
}

// ------------------------------------------------------------------- runs

// start starts an attempt, unless the worker knows this or a later attempt of the task.
func (w *Worker) start(s *wire.Start) {
	if w.newestAttempt[s.GetTaskId()] >= s.GetAttempt() && !w.noFences.Sequence {
		return
	}
	name := runName(s.GetTaskId(), s.GetAttempt())
	if w.runs[name] != nil {
		return
	}
	w.newestAttempt[s.GetTaskId()] = s.GetAttempt()
	r := &run{start: proto.CloneOf(s), state: wire.RunState_RUN_STATE_RUNNING, lastWork: time.Now()}
	if err := json.Unmarshal(s.GetBody(), &r.work); err != nil {
		r.work = Work{RunMS: 1}
	}
	w.runs[name] = r
	w.recordRun("start", r, r.lastWork, "")
	go w.run(r)
}

func (w *Worker) recordRun(what string, r *run, at time.Time, detail string) {
	size := ledger.FromWire(r.start.GetSize())
	w.record.add(Entry{
		At: at, What: what, Host: w.name, Task: r.start.GetTaskId(), Attempt: r.start.GetAttempt(),
		Checkpoint: r.start.GetCheckpoint(), Detail: detail,
		Millicores: size.Millicores, MemoryMB: size.MemoryMB, Devices: size.Accelerators,
	})
}

// run executes an attempt tick by tick. It checks the lease before each tick, so that a
// worker that was frozen past its lease does no work after it wakes.
func (w *Worker) run(r *run) {
	done := w.restore(r.start.GetCheckpoint())
	w.mu.Lock()
	r.doneMS = done
	w.mu.Unlock()
	for {
		time.Sleep(workTick)
		w.mu.Lock()
		w.stopRunsIfLeaseExpired()
		if r.state != wire.RunState_RUN_STATE_RUNNING || r.stopping {
			w.mu.Unlock()
			return
		}
		w.advance(r)
		w.mu.Unlock()
	}
}

// advance does one tick of work, slowed down by the throttle, and ends a completed run.
func (w *Worker) advance(r *run) {
	r.lastWork = time.Now()
	step := workTick.Milliseconds()
	if r.throttle > 0 {
		step = step * int64(r.throttle) / 100
	}
	r.doneMS += step
	if r.doneMS < r.work.RunMS {
		return
	}
	if r.work.Fail || w.get().FailAll {
		w.end(r, wire.RunState_RUN_STATE_FAILED, "failed as told")
		return
	}
	w.end(r, wire.RunState_RUN_STATE_FINISHED, fmt.Sprintf("worked %d ms", r.work.RunMS))
}

func (w *Worker) end(r *run, state wire.RunState, result string) {
	r.state = state
	r.result = result
	w.recordRun("end", r, r.lastWork, state.String())
}

// stop stops an attempt as asked by the leader, with a checkpoint if requested.
func (w *Worker) stop(s *wire.Stop) {
	w.newestAttempt[s.GetTaskId()] = max(w.newestAttempt[s.GetTaskId()], s.GetAttempt())
	r := w.runs[runName(s.GetTaskId(), s.GetAttempt())]
	if r == nil || r.state != wire.RunState_RUN_STATE_RUNNING || r.stopping {
		return
	}
	w.halt(r, s.GetCheckpoint())
}

// halt stops the work at once. The run ends as stopped after its checkpoint is saved.
func (w *Worker) halt(r *run, checkpoint bool) {
	r.stopping = true
	r.lastWork = time.Now()
	if !checkpoint || r.work.NoCheckpoint {
		w.end(r, wire.RunState_RUN_STATE_STOPPED, "")
		return
	}
	go func() {
		name := fmt.Sprintf("checkpoint/%s/%d", r.start.GetTaskId(), r.start.GetAttempt())
		saved := w.save(name, r.doneMS)
		w.mu.Lock()
		defer w.mu.Unlock()
		if saved {
			r.saved = name
		}
		w.end(r, wire.RunState_RUN_STATE_STOPPED, r.saved)
	}()
}

// stopRunsIfLeaseExpired stops all runs, with checkpoints, once the lease has expired.
func (w *Worker) stopRunsIfLeaseExpired() {
	if w.noFences.Lease || w.mark() <= w.leaseUntil {
		return
	}
	for _, r := range w.runs {
		if r.state == wire.RunState_RUN_STATE_RUNNING && !r.stopping {
			last := r.lastWork
			w.halt(r, true)
			r.lastWork = last // the run has done no work since
		}
	}
}

// ------------------------------------------------------------ checkpoints

const objectStoreTimeout = 2 * time.Second

// save stores a checkpoint, the milliseconds of work done, and reports success.
func (w *Worker) save(name string, doneMS int64) bool {
	body, err := json.Marshal(doneMS)
	if err != nil {
		return false
	}
	_, err = w.callObjectStore(http.MethodPut, name, bytes.NewReader(body))
	return err == nil
}

// restore returns the work done according to a checkpoint, in milliseconds, or 0 if it
// can't be read.
func (w *Worker) restore(name string) int64 {
	var doneMS int64
	if name == "" {
		return 0
	}
	body, err := w.callObjectStore(http.MethodGet, name, http.NoBody)
	if err != nil || json.Unmarshal(body, &doneMS) != nil {
		return 0
	}
	return doneMS
}

func (w *Worker) callObjectStore(method, name string, body io.Reader) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), objectStoreTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.platform+"/objects/"+name, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(protohttp.FromHeader, w.name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}
