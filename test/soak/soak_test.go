// Package soak_test runs the real daemons as processes against stand-ins of the store, the workers
// and the callers, and injects overlapping faults (faults_test.go and troubles_test.go). A checker
// tests the promises by the observations of workers and callers.
//
//	make soak SEEDS=50           plays days one after the other, from seed 0
//	make soak SEED=17            replays one day and prints its log
//
// With LOGS=folder the logs of each day are stored there.
//
// The same seed samples the same faults. Processes on a machine don't keep exact time, so a replay
// is not identical to the millisecond.
package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/platform/platformtest"
)

var bin string // the folder with the program under test

func TestMain(m *testing.M) {
	var err error
	if bin, err = os.MkdirTemp("", "wrenferry-soak-"); err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", bin+"/", "../../cmd/wrenferryd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(bin)
	os.Exit(code)
}

const (
	// faultPeriod is the time in which jobs arrive and faults start, completionTimeout the time after it in
	// which every accepted job must get a final state. It is generous, since speed is not checked.
	faultPeriod       = 9 * time.Second
	completionTimeout = 60 * time.Second
	// defaultSeeds is the number of seeds played without SEED and SEEDS.
	defaultSeeds = 2
	jobPause     = 60 * time.Millisecond
)

// intFromEnv returns the number in an environment variable and true, or usual and false if it is
// empty.
func intFromEnv(t *testing.T, name string, usual int) (int, bool) {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual, false
	}
	n, err := strconv.Atoi(text)
	must.NoError(t, err)
	return n, true
}

func TestNoPromiseBreaksOnRealProcesses(t *testing.T) {
	t.Parallel()
	if seed, one := intFromEnv(t, "SEED", 0); one {
		t.Log(strings.Join(play(t, uint64(seed)), "\n"))
		return
	}
	n, _ := intFromEnv(t, "SEEDS", defaultSeeds)
	for seed := range n {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, uint64(seed))
		})
	}
}

// play plays one day and returns its log. It reports violations with the log lines of the first
// one's job, and stores the logs of the entry hosts.
func play(t *testing.T, seed uint64) []string {
	t.Helper()
	d := newDay(t, seed)
	defer d.cleanUp()
	var faults sync.WaitGroup
	faults.Go(d.injectFaults)
	d.caller.traffic(rand.New(rand.NewPCG(seed, 2)), faultPeriod, completionTimeout, jobPause)
	faults.Wait()
	d.checker.checkRefused()
	return d.report(seed, "make soak SEED")
}

// report reports the violations of the day, if any, and returns its log. again is the command that plays it again.
func (d *day) report(seed uint64, again string) []string {
	t := d.t
	t.Helper()
	broken, log := d.checker.result()
	t.Log(d.checker.summary())
	if dir := os.Getenv("LOGS"); dir != "" {
		t.Log("logs:", d.storeLogs(dir, log))
	}
	if len(broken) > 0 {
		dir := d.storeLogs("", log)
		t.Errorf("seed %d: %d broken, first: %s\nagain: %s=%d\nlogs: %s\n%s",
			seed, len(broken), broken[0], again, seed, dir, strings.Join(relatedLines(broken[0], log), "\n"))
	}
	return log
}

// storeLogs stores the logs of the entry hosts and of the day in a new folder of dir, and returns its path.
func (d *day) storeLogs(dir string, log []string) string {
	dir, err := os.MkdirTemp(dir, "wrenferry-soak-logs-")
	must.NoError(d.t, err)
	for _, h := range d.hosts {
		_ = exec.Command("cp", h.log.Name(), dir).Run() // a failed copy shows as a missing file
	}
	_ = os.WriteFile(filepath.Join(dir, "story.txt"), []byte(strings.Join(log, "\n")), 0o600)
	return dir
}

// relatedLines returns the log lines about the job of a violation and about faults.
func relatedLines(broken string, log []string) []string {
	job := ""
	for _, word := range strings.FieldsFunc(broken, func(r rune) bool { return strings.ContainsRune(" .,", r) }) {
		if len(word) == 16 && job == "" {
			job = word
		}
	}
	var list []string
	for _, line := range log {
		if (job != "" && strings.Contains(line, job)) || strings.Contains(line, "FAULT") {
			list = append(list, line)
		}
	}
	return list
}

// halls are the halls of each day.
var halls = []string{"hall-a", "hall-b"}

// day is one seeded day: the processes, their stand-ins and proxies, and the checker.
type day struct {
	t             *testing.T
	mu            sync.Mutex // of rand, and of the lists of workers and hosts
	rand          *rand.Rand
	store         *platformtest.Store
	checker       *checker
	inventory     *platformtest.Inventory // nil on days without one
	more          string                  // further settings of the hosts
	retention     string                  // the setting of that name of the hosts
	workers       []*worker
	workerProxies []*proxy
	hosts         []*host
	caller        *caller
	over          chan struct{}
	// quiet is closed when no more is to happen, beat the time between two writes of a worker's row (worker_test.go).
	quiet chan struct{}
	beat  time.Duration
	// inventoryDelay is the usual time until the inventory answers.
	inventoryDelay time.Duration
	// number counts the hosts and workers that came during the day; adding is held while workers are added.
	number int
	adding sync.Mutex
}

func newDay(t *testing.T, seed uint64, options ...func(d *day)) *day {
	t.Helper()
	d := &day{
		t: t, rand: rand.New(rand.NewPCG(seed, 3)), store: platformtest.NewStore(), checker: newChecker(), over: make(chan struct{}),
	}
	for _, o := range options {
		o(d)
	}
	d.store.Put("op", "config", platformtest.Manifest(3))
	if seed/2%2 == 1 {
		d.useInventory() // the workers' incarnations have ids of their own then
	}
	for i := range 6 {
		d.addWorker(i, halls[i%len(halls)])
	}
	if seed%2 == 1 {
		d.more += overloadSettings // the seeds of a usual run have days with these settings and without
	}
	for i := range 5 {
		d.addHost(i)
	}
	d.caller = &caller{hosts: d.presentHosts, checker: d.checker}
	d.ready()
	return d
}

// useInventory starts an inventory, and sets it in the hosts' settings.
func (d *day) useInventory() {
	d.inventory = platformtest.NewInventory()
	d.more += fmt.Sprintf(`, "inventory": %q`, d.inventory.Address())
}

func (d *day) addWorker(i int, hall string) {
	free, err := freeAddresses(2)
	must.NoError(d.t, err)
	d.startWorker(i, hall, free)
}

// startWorker starts a worker that listens at the first address, behind a proxy at the second one.
func (d *day) startWorker(i int, hall string, at []string) {
	w := &worker{
		id: fmt.Sprintf("i-%d", i), hall: hall, address: at[0], front: at[1], checker: d.checker,
		rand: rand.New(rand.NewPCG(d.uint64(), 4)), dayOver: d.over, lapsing: map[string]time.Time{},
		newIDs: d.inventory != nil, inventory: d.inventory, beat: d.beat,
		put:    func(key string, row any) { d.store.Put("servers", key, row) },
		remove: func(key string) { d.store.Remove("servers", key) },
	}
	must.NoError(d.t, w.startIncarnation())
	front, err := newProxy(w.front, w.address)
	must.NoError(d.t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers, d.workerProxies = append(d.workers, w), append(d.workerProxies, front)
	go w.writeRows()
}

func (d *day) addHost(i int) {
	free, err := freeAddresses(4)
	must.NoError(d.t, err)
	d.startHost(i, halls[i%len(halls)], free)
}

// startHost starts a host that serves callers, readiness, other hosts and its figures at the given addresses.
func (d *day) startHost(i int, hall string, at []string) {
	free, err := freeAddresses(1)
	must.NoError(d.t, err)
	dir := d.t.TempDir()
	h := &host{
		name: fmt.Sprintf("host-%d", i), hall: hall, callers: at[0], ready: at[1], control: at[2], figures: at[3],
		file: filepath.Join(dir, "settings.jsonc"), client: newClient(), retention: d.retention,
	}
	h.storeProxy, err = newProxy(free[0], d.store.Address())
	must.NoError(d.t, err)
	h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
	must.NoError(d.t, err)
	must.NoError(d.t, h.settings(`"`+strings.Join(halls, `", "`)+`"`, free[0], d.more))
	must.NoError(d.t, h.start())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = append(d.hosts, h)
}

// ready waits until the first host answers calls. Faults may hit the others before they do.
func (d *day) ready() {
	for range 400 {
		if status, _, err := d.caller.call(d.hosts[0], "GET", "00000000000000ff", ""); err == nil && status == 410 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.t.Fatal("the first host answers no calls")
}

// cleanUp ends the processes, servers and proxies of the day.
func (d *day) cleanUp() {
	close(d.over)
	for _, h := range d.hosts {
		h.signal(syscall.SIGCONT)
		h.kill()
		h.storeProxy.close()
		_ = h.log.Close()
	}
	for i, w := range d.workers {
		w.crash()
		d.workerProxies[i].close()
	}
	d.store.CloseClientConnections()
	d.store.Close()
	if d.inventory != nil {
		d.inventory.CloseClientConnections()
		d.inventory.Close()
	}
}
