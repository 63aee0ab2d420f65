// Command fillers plays a job of tasks that fill, whose runner is lost for good while no other runner of its zone has memory for
// them, and checks that they start in another zone, where there is room for all of them several times over.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	fills   = "1c0e7a21d94b36f8"
	prefix  = "/offers/"
	lasts   = "/watches/"
	tasks   = 3
	watched = 60 * time.Second
	bound   = 3 * time.Second
)

func main() {
	w := kit.NewWorld()
	w.PutManifest(3, kit.Route{Name: "full-offer", Prefix: prefix, Priority: 2, MaxAttempts: 2}, kit.Route{Name: "rate-watch", Prefix: lasts, Priority: 0, MaxAttempts: 3})
	for i, n := range []int{4, 3, 3} {
		for k := range n {
			w.AddRunner(fmt.Sprintf("m-%d%d", i, k), kit.Zones[i], 32000, 128000, "a", "r-"+kit.Zones[i])
		}
	}
	w.Behave(func(task string, _ int64) (kit.Behaviour, bool) {
		switch task[0] {
		case '2': // takes the memory of a runner
			return kit.Behaviour{Takes: 300 * time.Millisecond, Lasting: true, CPU: 2000, MemMB: 120000, StopTakes: 200 * time.Millisecond, Tail: 25}, true
		case '3', '4': // serves
			return kit.Behaviour{Takes: 300 * time.Millisecond, Lasting: true, CPU: 20000, MemMB: 8000, StopTakes: 200 * time.Millisecond, Tail: 25}, true
		}
		return kit.Behaviour{Takes: 4 * time.Second, How: "done", MemMB: 16000, StopTakes: 200 * time.Millisecond}, true
	})
	var hosts []*kit.Host
	for _, zone := range kit.Zones {
		hosts = append(hosts, w.StartHost(zone), w.StartHost(zone))
	}
	w.AwaitReady(prefix)
	post := func(h *kit.Host, path, steps string) {
		if status, answer := w.Tell(h, http.MethodPost, path, `{"spec":"s","steps":[`+steps+`]}`, 3*time.Second); status/100 != 2 {
			kit.CannotRun("a job was not accepted: " + answer)
		}
	}
	const serving = `{"count":%d,"cpu":%d,"mem-mb":%d,"estimate-ms":300,"long-running":true,"anti-affinity":1,"requirements":"r-%s","image":"%s","target_ms":150}`
	post(hosts[0], lasts+"2c0e7a21d94b36f8", fmt.Sprintf(serving, 3, 2000, 120000, kit.Zones[0], "s0"))
	post(hosts[2], lasts+"3c0e7a21d94b36f8", fmt.Sprintf(serving, 3, 20000, 8000, kit.Zones[1], "s1"))
	post(hosts[4], lasts+"4c0e7a21d94b36f8", fmt.Sprintf(serving, 3, 20000, 8000, kit.Zones[2], "s2"))
	time.Sleep(5 * time.Second)
	post(hosts[0], prefix+fills, fmt.Sprintf(`{"count":%d,"cpu":4000,"mem-mb":16000,"estimate-ms":4000,"fills":true,"image":"f1"}`, tasks))
	time.Sleep(time.Second)
	at := map[string]int{}
	for _, r := range w.Runs(fills) {
		at[r.Runner]++
	}
	w.Logf("the tasks that fill run at %v", at)
	if len(w.Runs(fills)) != tasks {
		kit.CannotRun("the tasks that fill do not run")
	}
	var lost *kit.Runner
	for _, r := range w.Runners() {
		if n := at[r.ID()]; n > 0 {
			if n < tasks {
				kit.CannotRun("the tasks that fill run at several runners")
			}
			lost = r
		}
	}
	if w.Trouble {
		lost.Crash(time.Hour)
	}
	lostAt := time.Now()
	state := ""
	for time.Since(lostAt) < watched && state != "completed" {
		time.Sleep(200 * time.Millisecond)
		status, answer, _ := w.Call(hosts[2], http.MethodGet, prefix+fills, "", 3*time.Second)
		state = kit.State(status, answer)
	}
	started := map[string]bool{}
	first := time.Time{}
	for _, r := range w.Runs(fills) {
		if r.Began.After(lostAt) {
			started[r.Task] = true
			if first.IsZero() {
				first = r.Began
			}
		}
	}
	waited := time.Since(lostAt)
	switch {
	case !first.IsZero():
		waited = first.Sub(lostAt)
	case state == "completed": // nothing was lost
		waited = 0
	}
	w.Finish(waited > bound, fmt.Sprintf("nothing of the job ran for %s after its runner was lost; %d of %d tasks were started again; it is shown as %s", waited.Round(100*time.Millisecond), len(started), tasks, strings.ToUpper(state)))
}
