// Package promises_test tests the nine promises with real processes: entry hosts, a platform,
// workers and runners. Tests kill, freeze or partition them. The checks read the stand-ins' records
// of the tasks and requests that they ran.
package promises_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/wrenferry/wrenferry/pkg/standin"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// waitTimeout bounds every wait for a condition. It is generous, since the tests don't check speed.
const waitTimeout = 60 * time.Second

var bin string // the folder with the programs under test

func TestMain(m *testing.M) {
	var err error
	if bin, err = os.MkdirTemp("", "wrenferry-test-"); err != nil {
		panic(err)
	}
	args := []string{"build", "-o", bin + "/"}
	if os.Getenv("WRENFERRY_TEST_RACE") != "" { // build the programs with the race detector, too
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../../cmd/wrenferryd", "../../standins")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(bin)
	os.Exit(code)
}

// process is a program that a test started.
type process struct {
	name    string
	address string
	command *exec.Cmd
	log     *os.File
	killed  time.Time
	done    chan struct{}
	err     error
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
	p.killed = time.Now()
}

// fleet holds the processes of one test.
type fleet struct {
	t              testing.TB
	dir            string
	halls          []string
	platform       *process
	entries        map[string]*entry
	workers        map[string]*process
	runners        map[string]*process
	hosts          []*wire.Host
	disabledFences []string
	settingsText   string
	all            []*process
	capacity       wire.Size
	mu             sync.Mutex
	killTimes      map[string][]time.Time
}

// entry is one entry host with its addresses. Peers reach its control port through the relay, which
// a test can cut.
type entry struct {
	*process
	callers   string
	operators string
	control   string
	relay     *relay
	hall      string
}

// nextPort is the counter behind freeAddress. Its ports are below the system's ephemeral range, so
// that no outgoing connection of another test can occupy one.
var nextPort atomic.Int32

const (
	firstPort = 12000
	lastPort  = 30000
)

// spawnMu is held while a process is started and while freeAddress probes a port. Between fork and
// exec, a new process holds copies of all open sockets: a port probed and closed meanwhile still
// accepts connections, and the program that gets the port can't listen on it.
var spawnMu sync.Mutex

// spawn starts a command while it holds spawnMu.
func spawn(c *exec.Cmd) error {
	spawnMu.Lock()
	defer spawnMu.Unlock()
	return c.Start()
}

// freeAddress returns a loopback address on which a listener can be opened.
func freeAddress(t testing.TB) string {
	spawnMu.Lock()
	defer spawnMu.Unlock()
	for range lastPort - firstPort {
		offset := (nextPort.Add(1) + int32(os.Getpid()*131)) % (lastPort - firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

func (f *fleet) start(name, program string, args ...string) *process {
	log, err := os.Create(filepath.Join(f.dir, name+fmt.Sprintf(".%d.log", len(f.all))))
	must.NoError(f.t, err)
	p := &process{name: name, command: exec.Command(filepath.Join(bin, program), args...), log: log, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	must.NoError(f.t, spawn(p.command))
	f.all = append(f.all, p)
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	return p
}

// option changes a fleet before it starts.
type option func(*fleet)

// without disables fences of the entry hosts, to show that a promise depends on them.
func without(fences ...string) option { return func(f *fleet) { f.disabledFences = fences } }

// longLease is for tests in which leases must outlast a failure.
func longLease(f *fleet) {
	f.settingsText = strings.Replace(f.settingsText, `"lease": "1500ms"`, `"lease": "8s"`, 1)
	f.settingsText = strings.Replace(f.settingsText, `"tenure": "5s"`, `"tenure": "10s"`, 1)
}

// shortWindow is for tests in which hosts must run for longer than the key window, since only then
// they vouch for keys.
func shortWindow(f *fleet) {
	f.settingsText = strings.Replace(f.settingsText, `"keyWindow": "10s"`, `"keyWindow": "1s"`, 1)
}

// newFleet starts a platform and one entry host for each name. A name such as "a1" means the first
// entry host of hall a.
func newFleet(t testing.TB, entries []string, options ...option) *fleet {
	t.Helper()
	if p, ok := t.(*testing.T); ok {
		p.Parallel()
	}
	f := &fleet{
		settingsText: settings, t: t, dir: t.TempDir(), entries: map[string]*entry{}, workers: map[string]*process{}, runners: map[string]*process{},
		capacity: wire.Size{Millicores: 4000, MemoryMb: 4000}, killTimes: map[string][]time.Time{},
	}
	for _, o := range options {
		o(f)
	}
	t.Cleanup(f.stop)
	address := freeAddress(t)
	f.platform = f.start("platform", "standins", "platform", "--listen", address)
	f.platform.address = address
	f.awaitPort(address)
	seen := map[string]bool{}
	for _, name := range entries {
		if hall := name[:1]; !seen[hall] {
			seen[hall] = true
			f.halls = append(f.halls, hall)
		}
	}
	for _, name := range entries {
		f.startEntry(name)
	}
	return f
}

func (f *fleet) stop() {
	f.checkRaces()
	if f.t.Failed() {
		f.dumpRecords()
		f.dumpLogs()
	}
	for _, p := range f.all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		_ = p.log.Close()
	}
	for _, e := range f.entries {
		e.relay.close()
	}
}

// checkRaces fails the test if the race detector reported a race in a process.
func (f *fleet) checkRaces() {
	for _, p := range f.all {
		text, err := os.ReadFile(p.log.Name())
		if at := bytes.Index(text, []byte("DATA RACE")); err == nil && at >= 0 {
			f.t.Errorf("%s: %s", p.name, text[at:min(at+3000, len(text))])
		}
	}
}

// dumpLogs logs the metrics and the last log lines of the entry hosts of a failed test.
func (f *fleet) dumpLogs() {
	for name, e := range f.entries {
		f.t.Logf("metrics of %s:\n%s", name, e.metrics())
	}
	for _, p := range f.all {
		text, err := os.ReadFile(p.log.Name())
		if err != nil || !strings.HasPrefix(p.name, "entry") {
			continue
		}
		lines := strings.Split(string(text), "\n")
		f.t.Logf("log of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-60):], "\n"))
	}
}

// metrics returns an entry host's metrics, or the text of the error.
func (e *entry) metrics() string {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + e.operators + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (f *fleet) awaitPort(address string) {
	f.until("port "+address, func() bool {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

// until waits for a condition and fails the test after waitTimeout.
func (f *fleet) until(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startEntry starts an entry host, or restarts a dead one at the same addresses.
func (f *fleet) startEntry(name string) *entry {
	e := f.entries[name]
	if e == nil {
		e = &entry{callers: freeAddress(f.t), operators: freeAddress(f.t), control: freeAddress(f.t), hall: name[:1]}
		e.relay = newRelay(f.t, e.control)
		f.entries[name] = e
		f.hosts = append(f.hosts, &wire.Host{Name: "entry-" + name, Role: "entry", Hall: e.hall, Control: e.relay.address()})
	}
	halls, err := json.Marshal(f.halls)
	must.NoError(f.t, err)
	config := fmt.Sprintf(`{"name": "entry-%s", "hall": %q, "halls": %s, "callers": %q, "operators": %q, "control": %q,
		"platform": %q, "drainWait": "300ms", "drainLimit": "30s", "logLevel": "debug", "entryHosts": 3}`,
		name, e.hall, halls, e.callers, e.operators, e.control, f.platform.address)
	path := filepath.Join(f.dir, "entry-"+name+".jsonc")
	must.NoError(f.t, os.WriteFile(path, []byte(config), 0o600))
	args := []string{"--config", path}
	if len(f.disabledFences) > 0 {
		args = append(args, "--unsafe-without", strings.Join(f.disabledFences, ","))
	}
	e.process = f.start("entry-"+name, "wrenferryd", args...)
	f.publish()
	f.awaitPort(e.operators)
	return e
}

// publish sends the host list to the platform.
func (f *fleet) publish() {
	body, err := proto.Marshal(&wire.HostList{Hosts: f.hosts})
	must.NoError(f.t, err)
	resp, err := http.Post("http://"+f.platform.address+standin.SetHostsPath, "", bytes.NewReader(body))
	must.NoError(f.t, err)
	_ = resp.Body.Close()
}

func (f *fleet) record(name string) string { return filepath.Join(f.dir, name+".record") }

// startWorker starts a worker in a hall. After a kill it starts a new incarnation at the same
// address.
func (f *fleet) startWorker(name, hall string, args ...string) *process {
	address := ""
	if old := f.workers[name]; old != nil {
		address = old.address
	} else {
		address = freeAddress(f.t)
		f.hosts = append(f.hosts, &wire.Host{
			Name: name, Role: "worker", Hall: hall, Rack: "rack-" + hall, Address: address,
			Capacity: &wire.Size{Millicores: f.capacity.GetMillicores(), MemoryMb: f.capacity.GetMemoryMb()},
		})
	}
	args = append([]string{
		"worker", "--name", name, "--listen", address, "--platform", f.platform.address, "--record", f.record(name),
		"--millicores", fmt.Sprint(f.capacity.GetMillicores()), "--memory-mb", fmt.Sprint(f.capacity.GetMemoryMb()),
	}, args...)
	p := f.start(name, "standins", args...)
	p.address = address
	f.workers[name] = p
	f.awaitPort(address)
	f.publish()
	return p
}

// killWorker kills a worker and stores the time, since the worker's record has no end for its tasks.
func (f *fleet) killWorker(name string) {
	f.workers[name].kill()
	f.killTimes[name] = append(f.killTimes[name], f.workers[name].killed)
}

func (f *fleet) startRunner(name, hall, service string) *process {
	address := freeAddress(f.t)
	p := f.start(name, "standins", "runner", "--name", name, "--listen", address, "--record", f.record(name))
	p.address = address
	f.runners[name] = p
	f.hosts = append(f.hosts, &wire.Host{Name: name, Role: "runner", Hall: hall, Address: address, Service: service})
	f.awaitPort(address)
	f.publish()
	return p
}

// fault replaces the injected faults of a stand-in.
func (f *fleet) fault(p *process, faults standin.Faults) {
	body, err := json.Marshal(faults)
	must.NoError(f.t, err)
	resp, err := http.Post("http://"+p.address+standin.FaultPath, "application/json", bytes.NewReader(body))
	must.NoError(f.t, err)
	_ = resp.Body.Close()
}
