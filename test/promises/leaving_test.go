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

// Promises about leaving servers, planned stops, and streams that move to another server.

// leaveUnderLoad announces under load that runner r1 leaves, by calling say. It returns the number
// of calls that started on r1 more than three seconds later.
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

// A server announces in an answer to one entry host that it leaves. All entry hosts must learn it,
// although the host list does not mark the server.
func TestLeavingIsSpreadAmongEntryHosts(t *testing.T) {
	f := callsFleet(t)
	f.fault(f.runners["r1"], standin.Faults{Leaving: true})
	f.until("a1 knows that r1 leaves", func() bool {
		f.entries["a1"].request("thumb", "", `{}`)
		return f.entries["a1"].openServers() == 2
	})
	f.until("all entry hosts know that r1 leaves", func() bool { return f.entries["a2"].openServers() == 2 && f.entries["b1"].openServers() == 2 })
}

// openServers returns how many servers accept new work by an entry host's status, or -1.
func (e *entry) openServers() int {
	for _, s := range e.status().Services {
		if s.Service == "desk" {
			return s.Open
		}
	}
	return -1
}

// plannedStop stops an entry host under load, with a stream open. It returns the number of
// interrupted calls and the stream's events, which a client continues at another entry host.
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

// watchStream reads a stream to its end and returns the event ids.
func (f *fleet) watchStream(e *entry, last string) []int { return f.watchEvents(e, last, -1) }

// watchEvents reads a stream after the event last and returns up to most event ids.
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

// A stream moves away from a leaving server and from a dead one without lost or duplicate events.
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
