package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/request/intake"
)

// serveMetrics writes counters, timers and the counts of the led cells as text, one value a line.
func (h *Host) serveMetrics(w http.ResponseWriter, r *http.Request) {
	lines := []string{fmt.Sprintf("log.dropped %d", h.eventLog.Dropped())}
	h.Metrics.Each(func(name string, value any) { lines = append(lines, metricLines(name, value)...) })
	for name, c := range h.Control.Summary(r.Context()) {
		lines = append(lines,
			fmt.Sprintf("cell.%s.jobs %d", name, c.Jobs), fmt.Sprintf("cell.%s.waiting %d", name, c.Waiting),
			fmt.Sprintf("cell.%s.running %d", name, c.Running), fmt.Sprintf("cell.%s.workers %d", name, c.Workers),
			fmt.Sprintf("cell.%s.usable %d", name, c.Usable), fmt.Sprintf("cell.%s.aside %d", name, c.Aside),
			fmt.Sprintf("cell.%s.suspects %d", name, c.Suspects))
		if r := c.Reserve; r != nil {
			lines = append(lines,
				fmt.Sprintf("cell.%s.reserve.wanted %d", name, r.Wanted), fmt.Sprintf("cell.%s.reserve.free %d", name, r.Free),
				fmt.Sprintf("cell.%s.reserve.stopped %d", name, r.Stopped))
		}
		for _, f := range c.Forecasts {
			of := f.GetQueue()
			if f.GetLargest() {
				of += ".largest"
			}
			lines = append(lines,
				fmt.Sprintf("cell.%s.forecast.%s.wait_ms %d", name, of, f.GetWaitMs()),
				fmt.Sprintf("cell.%s.forecast.%s.worthless %d", name, of, f.GetWorthless()))
		}
	}
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain")
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return // the client has closed the connection
		}
	}
}

// metricLines returns the lines of a counter, a gauge or a timer, and none for any other metric.
func metricLines(name string, value any) []string {
	switch m := value.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Timer:
		p := m.Percentiles([]float64{0.5, 0.95, 0.99})
		ms := float64(time.Millisecond)
		return []string{
			fmt.Sprintf("%s.count %d", name, m.Count()), fmt.Sprintf("%s.p50_ms %.1f", name, p[0]/ms),
			fmt.Sprintf("%s.p95_ms %.1f", name, p[1]/ms), fmt.Sprintf("%s.p99_ms %.1f", name, p[2]/ms),
		}
	}
	return nil
}

// Status is the JSON answer of GET /status: an overview of one entry host.
type Status struct {
	Host, Hall string
	// Ready reports whether the host accepts calls; Why is the reason if it does not.
	Ready bool
	Why   string `json:",omitempty"`
	// Manifest is the version of the manifest in force, 0 for none.
	Manifest int64
	// StoreAgeMs is the time since the table last answered.
	StoreAgeMs int64
	// Cells holds all cells as this host last read them, Led the counts of those that it leads.
	Cells map[string]intake.CellView
	Led   map[string]cell.Counts
	// Hosts are the names of the other entry hosts that this host knows: the relays of all halls.
	Hosts []string
}

func (h *Host) serveStatus(w http.ResponseWriter, r *http.Request) {
	now := clock.Now()
	s := Status{Host: h.Config.Name, Hall: h.Config.Hall, StoreAgeMs: h.Store.SinceLastAnswer(now).Milliseconds(), Cells: h.Control.View().Cells, Led: h.Control.Summary(r.Context())}
	s.Ready, s.Why = h.Ready(now)
	if m := h.Manifest(); m != nil {
		s.Manifest = m.Version()
	}
	for _, other := range h.Hosts.List() {
		s.Hosts = append(s.Hosts, other.GetName())
	}
	h.sendJSON(w, s)
}

func (h *Host) sendJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		h.Log.WithField("why", err.Error()).Warn("status-not-sent")
	}
}

// serveSuspects writes the tasks with crash evidence of the cells that this host leads.
func (h *Host) serveSuspects(w http.ResponseWriter, r *http.Request) {
	h.sendJSON(w, h.Control.Suspects(r.Context()))
}

// serveClearSuspicion removes the crash evidence of a task. It answers 404 if no cell that this host leads has any.
func (h *Host) serveClearSuspicion(w http.ResponseWriter, r *http.Request) {
	if !h.Control.ClearSuspicion(r.Context(), r.PathValue("task")) {
		w.WriteHeader(http.StatusNotFound)
	}
}
