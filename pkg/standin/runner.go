package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/pkg/connection/runner"
)

// Runner is a stand-in for one backend server of a service. It refuses calls when all
// its slots (8 in the embedded instance) are busy, and serves streams.
type Runner struct {
	faultSwitches
	name   string
	slots  int
	record *record
	mux    *http.ServeMux

	mu   sync.Mutex
	busy int
}

// Call is the JSON body of a call: the work takes MS milliseconds and answers Echo.
type Call struct {
	MS   int64  `json:"ms"`
	Echo string `json:"echo"`
}

// maxCallBytes limits the body of a call.
const maxCallBytes = 64 << 20

// NewRunner returns a runner with the given number of slots. It appends its record to the
// file recordPath, or keeps it in memory if the path is empty.
func NewRunner(name, recordPath string, slots int) (*Runner, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	r := &Runner{name: name, slots: slots, record: rec, mux: http.NewServeMux()}
	r.mux.HandleFunc("POST "+runner.CallPath+"{service}/{kind}", r.serveCall)
	r.mux.HandleFunc("GET "+runner.StreamPath+"{service}/{kind}", r.serveStream)
	r.mux.HandleFunc(FaultPath, r.serveSet)
	r.mux.HandleFunc(RecordPath, rec.serve)
	return r, nil
}

// ServeHTTP serves the runner's interface, the faults and the record.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

// acquireSlot occupies a slot and returns true, or returns false if all are busy.
func (r *Runner) acquireSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy >= r.slots {
		return false
	}
	r.busy++
	return true
}

func (r *Runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

// setHeaders reports the free slots, and that the runner is leaving, in the answer.
func (r *Runner) setHeaders(w http.ResponseWriter) {
	r.mu.Lock()
	free := r.slots - r.busy
	r.mu.Unlock()
	w.Header().Set(runner.FreeHeader, strconv.Itoa(free))
	if r.get().Leaving {
		w.Header().Set(runner.LeavingHeader, "1")
	}
}

func (r *Runner) serveCall(w http.ResponseWriter, req *http.Request) {
	if !r.admit(w, req) {
		return
	}
	f := r.get()
	if f.Leaving {
		r.refuse(w, "leaving")
		return
	}
	if !r.acquireSlot() {
		r.refuse(w, "busy")
		return
	}
	defer r.releaseSlot()
	body, err := io.ReadAll(io.LimitReader(req.Body, maxCallBytes))
	if err != nil {
		http.Error(w, "the body ended early", http.StatusBadRequest)
		return
	}
	r.run(w, req, f, body)
}

func (r *Runner) refuse(w http.ResponseWriter, why string) {
	r.setHeaders(w)
	w.Header().Set(runner.RefusedHeader, why)
	http.Error(w, why, http.StatusServiceUnavailable)
}

// run does the work of a call. It continues after the caller has disconnected, as a real
// backend server does.
func (r *Runner) run(w http.ResponseWriter, req *http.Request, f Faults, body []byte) {
	var call Call
	if len(body) > 0 && json.Unmarshal(body, &call) != nil {
		call.Echo = string(body)
	}
	key := req.Header.Get(runner.KeyHeader)
	r.record.add(Entry{At: time.Now(), What: "run", Host: r.name, Key: key, Detail: req.PathValue("kind")})
	if f.FailAll {
		r.setHeaders(w)
		http.Error(w, "failed as told", http.StatusInternalServerError)
		return
	}
	span := time.Duration(call.MS) * time.Millisecond
	if f.SlowFactor > 0 {
		span = time.Duration(float64(span) * f.SlowFactor)
	}
	time.Sleep(span)
	r.record.add(Entry{At: time.Now(), What: "ran", Host: r.name, Key: key, Detail: req.PathValue("kind")})
	if r.losesAnswer([]string{"run"}) {
		dropConnection(w)
		return
	}
	r.setHeaders(w)
	_ = json.NewEncoder(w).Encode(map[string]string{"echo": call.Echo, "runner": r.name})
}

// streamInterval is the time between two events of a stream. Event N of a stream is the
// same on each runner, so another runner can resume the stream.
const streamInterval = 20 * time.Millisecond

func (r *Runner) serveStream(w http.ResponseWriter, req *http.Request) {
	if !r.admit(w, req) {
		return
	}
	if r.get().Leaving {
		r.refuse(w, "leaving")
		return
	}
	next := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-ID")); err == nil {
		next = last + 1
	}
	r.setHeaders(w)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for ; !r.get().Leaving; next++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", next, next, req.PathValue("kind")); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(streamInterval):
		}
	}
}
