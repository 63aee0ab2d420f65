// Package traffic counts a process's calls, their bytes and their time by purpose, so that the log shows what fills a
// host's link.
package traffic

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// HTTPOverhead is the size in bytes of the headers of a call, and about that of its answer's: they are not counted
// one by one.
const HTTPOverhead = 200

// Usage is what the calls of one purpose amount to.
type Usage struct {
	Calls, Sent, Received int64
	// Took is the sum of the times until the answers were read.
	Took time.Duration
}

// Meter counts calls by purpose. It is safe for concurrent use, and a nil Meter counts nothing.
type Meter struct {
	mu    sync.Mutex
	usage map[string]Usage
}

// NewMeter returns a Meter without counts.
func NewMeter() *Meter { return &Meter{usage: map[string]Usage{}} }

// Add counts one call with the bytes that it sent and received.
func (m *Meter) Add(purpose string, sent, received int, took time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.usage[purpose]
	u.Calls++
	u.Sent += int64(sent)
	u.Received += int64(received)
	u.Took += took
	m.usage[purpose] = u
}

// Take returns the counts since the last Take, and begins anew.
func (m *Meter) Take() map[string]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.usage
	m.usage = map[string]Usage{}
	return taken
}

// Reporter logs the counts of a Meter at intervals, as the event "traffic".
type Reporter struct {
	Meter *Meter
	Log   *logrus.Entry
}

const (
	// reportInterval is the time between two reports.
	reportInterval = 10 * time.Second
	// maxReported is the most purposes that a report lists: those with the most bytes.
	maxReported = 16
)

// String returns the name that the supervisor logs.
func (r *Reporter) String() string { return "traffic reporter" }

// Serve reports until the context ends.
func (r *Reporter) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if text := Summary(r.Meter.Take()); text != "" {
				r.Log.WithField("detail", text).Info("traffic")
			}
		}
	}
}

// Summary returns a text of the purposes with the most bytes: of each its calls, the bytes sent and received, and the
// mean time of a call.
func Summary(usage map[string]Usage) string {
	purposes := make([]string, 0, len(usage))
	for purpose := range usage {
		purposes = append(purposes, purpose)
	}
	slices.SortFunc(purposes, func(a, b string) int {
		return cmp.Or(cmp.Compare(usage[b].Sent+usage[b].Received, usage[a].Sent+usage[a].Received), cmp.Compare(a, b))
	})
	var parts []string
	for _, purpose := range purposes[:min(len(purposes), maxReported)] {
		u := usage[purpose]
		mean := (u.Took / time.Duration(max(1, u.Calls))).Round(time.Millisecond)
		parts = append(parts, fmt.Sprintf("%s %d calls %d B out %d B in %s", purpose, u.Calls, u.Sent, u.Received, mean))
	}
	return strings.Join(parts, "; ")
}
