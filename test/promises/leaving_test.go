package promises_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/standin"
)

// Promises about leaving: servers that leave, planned stops, streams that move.

// leaveUnderLoad makes a runner leave under load, and returns how many calls began
// there more than three seconds after it said so.
func leaveUnderLoad(f *fleet, say func()) int {
	var said time.Time
	f.sendRequests(1500, "thumb", sleepBody(60), func() {
		said = time.Now()
		say()
		time.Sleep(4 * time.Second)
	})
	late := 0
	for _, e := range f.entriesOf("r1") {
		if e.What == "run" && e.At.After(said.Add(3*time.Second)) {
			late++
		}
	}
	return late
}

func (f *fleet) markLeavingInHostList() {
	for _, h := range f.hosts {
		if h.GetName() == "r1" {
			h.Leaving = true
		}
	}
	f.publish()
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	f := callsFleet(t)
	must.Eq(t, 0, leaveUnderLoad(f, f.markLeavingInHostList))
}

func TestLeavingServerGetsNothingNewNeedsTheMark(t *testing.T) {
	f := callsFleet(t, without("leaving"))
	must.Positive(t, leaveUnderLoad(f, f.markLeavingInHostList))
}

// A server that says so itself is known to all entry hosts at once, though the
// list does not have it and only one host heard it.
func TestLeavingIsSpreadAmongEntryHosts(t *testing.T) {
	f := callsFleet(t)
	f.fault(f.runners["r1"], standin.Faults{Leaving: true})
	f.until("one host hears of it", func() bool {
		f.entries["a1"].request("thumb", "", `{}`)
		return f.entries["a1"].openServers() == 2
	})
	f.until("all know", func() bool { return f.entries["a2"].openServers() == 2 && f.entries["b1"].openServers() == 2 })
}

// openServers is how many servers take new work, as an entry host sees it.
func (e *entry) openServers() int {
	for _, s := range e.status().Services {
		if s.Service == "desk" {
			return s.Open
		}
	}
	return -1
}

// plannedStop stops an entry host under load, with a stream open, and returns
// how many calls were cut off and the events of the stream before and after.
func plannedStop(f *fleet) (cut int, events []int) {
	e := f.entries["a1"]
	var wait sync.WaitGroup
	first := make(chan []int, 1)
	go func() { first <- f.watchStream(e, "") }()
	var mu sync.Mutex
	for i := range 40 {
		wait.Go(func() {
			a := e.request("thumb", fmt.Sprintf("k%d", i), sleepBody(1500)("x"))
			mu.Lock()
			defer mu.Unlock()
			if a.outcome != "done" {
				cut++
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	e.signal(syscall.SIGTERM)
	wait.Wait()
	<-e.done
	events = <-first
	last := 0
	if len(events) > 0 {
		last = events[len(events)-1]
	}
	return cut, append(events, f.watchEvents(f.entries["a2"], strconv.Itoa(last), 10)...)
}

// watchStream reads a stream to its end.
func (f *fleet) watchStream(e *entry, last string) []int { return f.watchEvents(e, last, -1) }

func (f *fleet) watchEvents(e *entry, last string, most int) []int {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/v1/streams/desk/feed", http.NoBody)
	must.NoError(f.t, err)
	req.Header.Set("Last-Event-ID", last)
	resp, err := (&http.Client{}).Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var ids []int
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() && len(ids) != most {
		if text, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			n, err := strconv.Atoi(text)
			must.NoError(f.t, err)
			ids = append(ids, n)
		}
	}
	return ids
}

func checkGapless(t *testing.T, events []int) {
	t.Helper()
	for i, id := range events {
		must.Eq(t, i+1, id)
	}
}

func TestPlannedStopCutsNothingOff(t *testing.T) {
	f := callsFleet(t)
	cut, events := plannedStop(f)
	must.Eq(t, 0, cut)
	must.Greater(t, 12, len(events))
	checkGapless(t, events)
	must.NoError(t, f.entries["a1"].err) // it exited 0
}

func TestPlannedStopCutsNothingOffNeedsTheDrain(t *testing.T) {
	f := callsFleet(t, without("drain"))
	cut, _ := plannedStop(f)
	must.Positive(t, cut)
}

// A stream moves from a server that leaves, and from one that dies, with no
// event lost or doubled.
func TestStreamMoves(t *testing.T) {
	f := callsFleet(t)
	got := make(chan []int, 1)
	go func() { got <- f.watchEvents(f.entries["a1"], "", 150) }()
	time.Sleep(500 * time.Millisecond)
	f.fault(f.runners["r0"], standin.Faults{Leaving: true})
	time.Sleep(500 * time.Millisecond)
	f.runners["r1"].kill()
	time.Sleep(500 * time.Millisecond)
	f.startRunner("r9", "a", "desk")
	f.runners["r2"].kill()
	events := <-got
	must.Len(t, 150, events)
	checkGapless(t, events)
}
