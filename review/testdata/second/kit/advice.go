package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Advice is the advice of a queue, in milliseconds.
type Advice struct {
	Decide float64 `json:"decide_ms"`
	Each   float64 `json:"each_ms"`
	Valid  float64 `json:"valid_ms"`
}

type advisor struct {
	advice  Advice
	mu      sync.Mutex
	tickets map[string]time.Time
	refused map[string]int
}

// Advise starts the service that gives out tickets: for each runner that it is asked about. Call it before hosts are started.
func (w *World) Advise(a Advice) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	w.advice = l.Addr().String()
	w.advisor = &advisor{advice: a, tickets: map[string]time.Time{}, refused: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", w.advisor.serve)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l) }()
}

func ticketOf(step, runner string) string { return "t-" + step + "-" + runner }

func (a *advisor) serve(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil || len(m.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((a.advice.Decide + a.advice.Each*float64(len(m.Workers))) * float64(time.Millisecond)))
	good := [][]string{}
	a.mu.Lock()
	for _, id := range m.Workers {
		ticket := ticketOf(m.Step, id)
		if _, given := a.tickets[ticket]; !given || time.Until(a.tickets[ticket]) < 0 {
			a.tickets[ticket] = time.Now().Add(time.Duration(a.advice.Valid * float64(time.Millisecond)))
		}
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	Reply(w, http.StatusOK, map[string]any{"good": good})
}

// ticketHolds returns whether a ticket lets a step start at a runner now.
func (w *World) ticketHolds(step, runner, ticket string) bool {
	a := w.advisor
	a.mu.Lock()
	defer a.mu.Unlock()
	until, given := a.tickets[ticket]
	return given && ticket == ticketOf(step, runner) && time.Now().Before(until)
}

// countRefused counts the starts that were turned away for want of a ticket.
func (w *World) countRefused(task string) {
	w.advisor.mu.Lock()
	w.advisor.refused[task]++
	n := w.advisor.refused[task]
	w.advisor.mu.Unlock()
	if n == 1 || n%20 == 0 {
		go w.Logf("start %d of %s is turned away for want of a ticket", n, task)
	}
}

// Refused returns how many starts of a task were turned away for want of a ticket.
func (w *World) Refused(task string) int {
	w.advisor.mu.Lock()
	defer w.advisor.mu.Unlock()
	return w.advisor.refused[task]
}
