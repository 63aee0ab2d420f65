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

// serveMetrics tells counters and timers as text, a line each.
func (h *Host) serveMetrics(w http.ResponseWriter, r *http.Request) {
	lines := []string{fmt.Sprintf("log.dropped %d", h.eventLog.Dropped())}
	h.Metrics.Each(func(name string, value any) { lines = append(lines, metricLines(name, value)...) })
	for name, c := range h.Control.Summary(r.Context()) {
		lines = append(lines,
			fmt.Sprintf("cell.%s.jobs %d", name, c.Jobs), fmt.Sprintf("cell.%s.waiting %d", name, c.Waiting),
			fmt.Sprintf("cell.%s.running %d", name, c.Running), fmt.Sprintf("cell.%s.workers %d", name, c.Workers),
			fmt.Sprintf("cell.%s.usable %d", name, c.Usable), fmt.Sprintf("cell.%s.aside %d", name, c.Aside),
			fmt.Sprintf("cell.%s.suspects %d", name, c.Suspects))
	}
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain")
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return // who asked has left
		}
	}
}

func metricLines(name string, value any) []string {
	switch m := value.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
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

// Status is what an operator asks first of a host.
type Status struct {
	Host, Hall string
	// Ready says whether it takes calls, Why what keeps it from that.
	Ready bool
	Why   string `json:",omitempty"`
	// Manifest is the version in force, 0 for none.
	Manifest int64
	// StoreAgeMs is how long ago the table last answered.
	StoreAgeMs int64
	// Cells are all cells as this host sees them, Led sums up those that it leads.
	Cells map[string]intake.CellView
	Led   map[string]cell.Counts
	// Hosts are the other entry hosts that it knows of.
	Hosts []string
}

func (h *Host) serveStatus(w http.ResponseWriter, r *http.Request) {
	now := clock.Now()
	s := Status{Host: h.Config.Name, Hall: h.Config.Hall, StoreAgeMs: h.Store.SinceWorked(now).Milliseconds(), Cells: h.Control.View().Cells, Led: h.Control.Summary(r.Context())}
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

// serveSuspects lists the tasks under which workers crashed, of the cells that this host leads.
func (h *Host) serveSuspects(w http.ResponseWriter, r *http.Request) {
	h.sendJSON(w, h.Control.Suspects(r.Context()))
}

// clearSuspicion takes back what is held against a task; 404: this host has nothing to take back.
func (h *Host) clearSuspicion(w http.ResponseWriter, r *http.Request) {
	if !h.Control.ClearSuspicion(r.Context(), r.PathValue("task")) {
		w.WriteHeader(http.StatusNotFound)
	}
}
