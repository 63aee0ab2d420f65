// Command crashes plays a job whose runners crash one after the other, through no fault of the job, and checks that the
// job is not shown as failed.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	job     = "5c0e7a21d94b36f8"
	prefix  = "/offers/"
	work    = 6000 * time.Millisecond
	crashAt = 1200 * time.Millisecond
	down    = 4500 * time.Millisecond
	crashes = 5
)

func main() {
	w := kit.NewWorld()
	w.PutManifest(3, kit.Route{Name: "full-offer", Prefix: prefix, Priority: 2, MaxAttempts: 2})
	for i := range 24 {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[i%3], 32000, 128000, "a", fmt.Sprintf("r-%d", i/4))
	}
	w.Behave(func(string, int64) (kit.Behaviour, bool) {
		return kit.Behaviour{Takes: work, How: "done", CPU: 3500, MemMB: 6400, StopTakes: 200 * time.Millisecond}, true
	})
	var hosts []*kit.Host
	for _, zone := range kit.Zones {
		hosts = append(hosts, w.StartHost(zone), w.StartHost(zone))
	}
	w.AwaitReady(prefix)
	body := `{"spec":"offer","steps":[{"count":1,"cpu":3500,"mem-mb":6400,"estimate-ms":6000}]}`
	if status, answer := w.Tell(hosts[0], http.MethodPost, prefix+job, body, 3*time.Second); status/100 != 2 {
		kit.CannotRun("the job was not accepted: " + answer)
	}
	if w.Trouble {
		go crashBusy(w)
	}
	last := ""
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, answer, _ := w.Call(hosts[1], http.MethodGet, prefix+job, "", 3*time.Second)
		state := kit.State(status, answer)
		if state != last {
			w.Logf("client: GET %s: status %d, %s", job, status, answer)
		}
		last = state
		if state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
	}
	failed := 0
	for _, r := range w.Runs(job) {
		if r.How == "failed" {
			failed++
		}
	}
	verdict := fmt.Sprintf("the job is shown as %q; %d of its %d runs have ended failed, max-attempts is 2", last, failed, len(w.Runs(job)))
	w.Finish(last == "failed" && failed < 2, verdict)
}

// crashBusy crashes the runner that is at work, each time after crashAt. At most three of 24 are down at once.
func crashBusy(w *kit.World) {
	for n := 0; n < crashes; time.Sleep(20 * time.Millisecond) {
		for _, r := range w.Runners() {
			for task, age := range r.Runs() {
				if strings.HasPrefix(task, job+".") && age >= crashAt {
					r.Crash(down)
					n++
					time.Sleep(300 * time.Millisecond)
					break
				}
			}
		}
	}
}
