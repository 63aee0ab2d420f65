// Command stand plays one case of the review: it starts the project's entry hosts as processes, and stands in for the
// platform's store, the runners and the clients. It exits with 1 if a rule was broken, 0 if it held, 2 if the case could
// not run.
//
//	stand -case NAME -out FILE [-trouble=false]
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cantRun("%v", err)
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}
}

// line writes a line to the record alone.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// add writes a line to the record and to the terminal.
func (r *record) add(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func cantRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

var (
	running   []*host
	runningMu sync.Mutex
)

func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, h := range running {
		h.kill()
	}
}

// site is a small deployment.
type site struct {
	rec     *record
	store   *store
	load    *workload
	judge   *judge
	runners []*runner
	hosts   []*host
	clients *clients
	advisor *advisor
	dir     string
	trouble bool

	mu     sync.Mutex
	lives  int
	former []*runner
}

func (s *site) runnerAt(k int) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[k]
}

// reborn starts the next life of a machine's runner, under a new id, and takes the entry of the last one away.
func (s *site) reborn(k int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.runners[k]
	if !old.unanswered() {
		return
	}
	s.lives++
	r := newRunner(fmt.Sprintf("%s-%d", old.id, s.lives), old.zone, old.capacity, s.load, s.rec, s.judge)
	r.machine, r.label, r.unguarded = old.machine, old.label, old.unguarded
	s.store.remove("servers", old.id)
	s.store.put("servers", r.id, r.entry())
	s.runners[k], s.former = r, append(s.former, old)
	s.rec.add("%s begins", r.id)
}

// newSite starts a store, runners and entry hosts, in turn over the zones.
func newSite(rec *record, dir string, runnersPerZone, hostsPerZone int, capacity size, trouble bool) *site {
	s := &site{rec: rec, store: newStore(rec), load: &workload{jobs: map[string]*job{}}, judge: newJudge(rec), dir: dir, trouble: trouble}
	s.store.put("op", "config", manifest(3))
	s.advisor = newAdvisor(rec)
	for n := range runnersPerZone {
		for _, z := range zones {
			r := newRunner(fmt.Sprintf("i-%s-%d", z, n), z, capacity, s.load, rec, s.judge)
			s.runners = append(s.runners, r)
			s.store.put("servers", r.id, r.entry())
		}
	}
	for n := range hostsPerZone {
		for _, z := range zones {
			h := newHost(dir, n, z, s.store.address, s.advisor.address, rec)
			s.hosts = append(s.hosts, h)
		}
	}
	runningMu.Lock()
	running = s.hosts
	runningMu.Unlock()
	for _, h := range s.hosts {
		h.start()
	}
	s.clients = newClients(rec, s.load, s.hosts)
	return s
}

// ready waits until a first small job in each host's hands has been done.
func (s *site) ready() {
	time.Sleep(4 * time.Second)
	for range 3 {
		j := &job{Spec: "first", Steps: []step{{Count: 2, CPU: 100, MemMB: 64, EstimateMs: 100, takes: 100 * time.Millisecond}}}
		if !s.clients.submit(j, 20) {
			cantRun("no host accepts a job")
		}
		if got := s.await(j, 15*time.Second); got != "completed" {
			cantRun("the first jobs are not done: %s", got)
		}
	}
	s.rec.add("ready")
}

// await asks for a job's state until it is a last one.
func (s *site) await(j *job, limit time.Duration) string {
	end := time.Now().Add(limit)
	for {
		state := s.clients.state(j, 3)
		if state == "completed" || state == "failed" || state == "cancelled" || state == "gone" || time.Now().After(end) {
			return state
		}
		time.Sleep(250 * time.Millisecond)
	}
}

var cases = map[string]func(*site) []string{}

// sizes are the sizes of the deployments by case: runners and hosts a zone, and a runner's capacity.
type layout struct {
	runners, hosts int
	capacity       size
}

var layouts = map[string]layout{}

func main() {
	name := flag.String("case", "", "the case to play")
	out := flag.String("out", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	keep := flag.String("logs", "", "a folder that keeps the hosts' logs")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		cantRun("no case %q", *name)
	}
	dir, err := os.MkdirTemp("", "wrenferry-review-")
	if err != nil {
		cantRun("%v", err)
	}
	rec := newRecord(*out)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() { <-ended; rec.close(); cantRun("ended by a signal") }()
	time.AfterFunc(115*time.Second, func() { rec.add("takes too long"); rec.close(); cantRun("over 115 s") })
	l := layouts[*name]
	s := newSite(rec, dir, l.runners, l.hosts, l.capacity, *trouble)
	s.ready()
	broken := play(s)
	stopAll()
	rec.add("runs: %v", s.judge.counts())
	sort.Strings(broken)
	for i, b := range broken {
		if i < 10 {
			rec.add("BROKEN %s", b)
		} else {
			rec.line("BROKEN %s", b)
		}
	}
	rec.add("%d broken, with the disruption: %v", len(broken), *trouble)
	rec.close()
	if *keep != "" {
		for _, h := range s.hosts {
			b, _ := os.ReadFile(h.log.Name())
			_ = os.WriteFile(*keep+"/"+strings.TrimSuffix(h.name, "/")+".log", b, 0o600)
		}
	}
	_ = os.RemoveAll(dir)
	if len(broken) > 0 {
		os.Exit(1)
	}
}
