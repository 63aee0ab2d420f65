package promises_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wrenferry/wrenferry/pkg/request/gateway"
	"github.com/wrenferry/wrenferry/pkg/request/route"
	"github.com/wrenferry/wrenferry/pkg/standin"
)

// Benchmarks with real processes over loopback. Absolute times vary on a shared machine, so only
// ratios within one run are meaningful.

// usage returns a process's CPU time in seconds and its resident memory in MB, or zeros if it has
// ended.
func (p *process) usage() (cpu, memory float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / 100, pages * float64(os.Getpagesize()) / (1 << 20)
}

// BenchmarkEntryHost reports the CPU and memory that an entry host uses, as the leader and as a
// follower, by the number of workers. All workers are full of tasks.
func BenchmarkEntryHost(b *testing.B) {
	for _, workers := range []int{10, 20, 40, 80} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFleet(b, []string{"a1", "a2"})
			f.settingsText = strings.Replace(f.settingsText, `"lease": "1500ms", "takeover": "600ms", "tenure": "5s", `, "", 1)
			for i := range workers {
				f.startWorker(fmt.Sprintf("w%02d", i), "a")
			}
			f.ready()
			leader := f.leader("a")
			for i := range workers / 10 {
				f.submit(f.entries[leader], "ingest", fmt.Sprintf("j%d", i), `{"runMs": 600000}`, 40)
			}
			f.until("all run", func() bool { return f.entries[leader].status().Counts.Running >= workers*4 })
			measureUsage(b, f.entries[leader], "leader")
			measureUsage(b, f.entries[otherEntry(leader)], "follower")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureUsage reports the CPU use over 5 seconds and the memory of an entry host.
func measureUsage(b *testing.B, e *entry, role string) {
	const span = 5 * time.Second
	before, _ := e.usage()
	time.Sleep(span)
	after, memory := e.usage()
	b.ReportMetric((after-before)/span.Seconds()*100, role+"-core-%")
	b.ReportMetric(memory, role+"-MB")
}

// openLoop is an open-loop load: calls start at their scheduled times, also while earlier ones are
// pending. Latencies count from the scheduled time.
type openLoop struct {
	rate     float64 // calls per second
	span     time.Duration
	kind     string
	ms       int // run time of a call
	entries  []*entry
	deadline int // milliseconds
}

// result counts the calls of a load by outcome, with the latencies of those that are done.
type result struct {
	mu      sync.Mutex
	times   *hdrhistogram.Histogram // microseconds
	done    int
	refused int
	unknown int
	all     int
}

func (l openLoop) run() *result {
	r := &result{times: hdrhistogram.New(1, 60_000_000, 3)}
	var wait sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	begin := time.Now()
	for at := time.Duration(0); at < l.span; at += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)) {
		time.Sleep(time.Until(begin.Add(at)))
		e := l.entries[random.IntN(len(l.entries))]
		due := begin.Add(at)
		wait.Go(func() {
			a := e.request(l.kind, "", fmt.Sprintf(`{"ms": %d}`, l.ms), gateway.DeadlineHeader, strconv.Itoa(l.deadline))
			r.add(a, time.Since(due))
		})
	}
	wait.Wait()
	return r
}

func (r *result) add(a answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all++
	switch a.outcome {
	case "done":
		r.done++
		_ = r.times.RecordValue(took.Microseconds())
	case "not run":
		r.refused++
	default:
		r.unknown++
	}
}

// ms returns a percentile of the latencies in milliseconds.
func (r *result) ms(q float64) float64 { return float64(r.times.ValueAtQuantile(q)) / 1000 }

const (
	benchRunners = 12
	benchSlots   = 8
	serviceMS    = 40
)

// benchFleet starts the named entry hosts and a dozen runners in three halls. As many runners as
// slow says take five times as long.
func benchFleet(b *testing.B, names []string, policy string, slow int) *fleet {
	f := newFleet(b, names)
	f.settingsText = strings.Replace(f.settingsText, `"deadline": "5s",`, fmt.Sprintf(`"deadline": "5s", "routePolicy": %q,`, policy), 1)
	for i := range benchRunners {
		f.startRunner(fmt.Sprintf("r%d", i), string("abc"[i%3]), "desk")
	}
	f.ready()
	for _, e := range f.entries {
		f.until("servers are known", func() bool { return e.openServers() == benchRunners })
	}
	for i := range slow {
		f.fault(f.runners[fmt.Sprintf("r%d", i*5)], standin.Faults{SlowFactor: 5})
	}
	return f
}

func (f *fleet) entryList() []*entry {
	var list []*entry
	for _, e := range f.entries {
		list = append(list, e)
	}
	return list
}

// callCapacity returns the calls per second that all slots serve, given the number of slow
// runners.
func callCapacity(slow int) float64 {
	full := float64(benchSlots) * 1000 / serviceMS
	return full*float64(benchRunners-slow) + full/5*float64(slow)
}

// BenchmarkRouting compares the routing policies at 85 % of the slots' capacity with one of the
// twelve runners five times as slow. The last case has a single entry host, which knows all calls.
func BenchmarkRouting(b *testing.B) {
	six := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	for _, p := range route.Policies {
		b.Run(p.Name, func(b *testing.B) { routing(b, six, p.Name) })
	}
	b.Run("two-choices-one-host", func(b *testing.B) { routing(b, []string{"a1"}, "two-choices") })
}

func routing(b *testing.B, names []string, policy string) {
	const slow = 1
	f := benchFleet(b, names, policy, slow)
	l := openLoop{rate: 0.85 * callCapacity(slow), span: 8 * time.Second, kind: "thumb", ms: serviceMS, entries: f.entryList(), deadline: 3000}
	openLoop{rate: l.rate / 2, span: 2 * time.Second, kind: "thumb", ms: serviceMS, entries: l.entries, deadline: 3000}.run()
	r := l.run()
	b.ReportMetric(r.ms(50), "p50-ms")
	b.ReportMetric(r.ms(99), "p99-ms")
	b.ReportMetric(r.ms(99.9), "p99.9-ms")
	b.ReportMetric(100*float64(r.refused)/float64(r.all), "refused-%")
	b.ReportMetric(100*float64(r.unknown)/float64(r.all), "unknown-%")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOverload offers half, all and twice the calls that the slots serve.
func BenchmarkOverload(b *testing.B) {
	for _, share := range []float64{0.5, 1, 2} {
		b.Run(fmt.Sprintf("offered=%.1f", share), func(b *testing.B) {
			f := benchFleet(b, []string{"a1", "a2", "b1", "b2", "c1", "c2"}, "two-choices", 0)
			l := openLoop{rate: share * callCapacity(0), span: 6 * time.Second, kind: "thumb", ms: serviceMS, entries: f.entryList(), deadline: 400}
			r := l.run()
			b.ReportMetric(float64(r.done)/l.span.Seconds()/callCapacity(0), "goodput-share")
			b.ReportMetric(r.ms(50), "p50-ms")
			b.ReportMetric(r.ms(99), "p99-ms")
			b.ReportMetric(100*float64(r.refused)/float64(r.all), "refused-%")
			b.ReportMetric(100*float64(r.unknown)/float64(r.all), "unknown-%")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRetries reports the sends per request when the runners fail all calls.
func BenchmarkRetries(b *testing.B) {
	f := benchFleet(b, []string{"a1", "a2", "b1"}, "two-choices", 0)
	for _, p := range f.runners {
		f.fault(p, standin.Faults{FailAll: true})
	}
	sent := func() int {
		n := 0
		for key, k := range f.runCounts() {
			if key == "" {
				n += k
			}
		}
		return n
	}
	before := sent()
	r := openLoop{rate: 400, span: 5 * time.Second, kind: "thumb", ms: 5, entries: f.entryList(), deadline: 3000}.run()
	b.ReportMetric(float64(sent()-before)/float64(r.all), "sends/request")
	b.ReportMetric(0, "ns/op")
}
