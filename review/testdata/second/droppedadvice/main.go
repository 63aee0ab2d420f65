// Command droppedadvice plays a job of a queue with advice whose route the manifest drops while the job runs, and checks that
// the job's next step still starts.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	job     = "5c0e7a21d94b36f8"
	prefix  = "/offers/"
	work    = 2 * time.Second
	watched = 40 * time.Second
	bound   = 3 * time.Second
)

func main() {
	w := kit.NewWorld()
	advice := kit.Advice{Decide: 20, Each: 2, Valid: 10000}
	w.Advise(advice)
	kept := kit.Route{Name: "quick-quote", Prefix: "/quotes/", Priority: 0, MaxAttempts: 4}
	w.PutManifest(3, kept, kit.Route{Name: "full-offer", Prefix: prefix, Priority: 2, MaxAttempts: 2, Advice: &advice})
	for i := range 12 {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[i%3], 32000, 128000, "a", fmt.Sprintf("r-%d", i/4))
	}
	w.Behave(func(string, int64) (kit.Behaviour, bool) {
		return kit.Behaviour{Takes: work, How: "done", CPU: 3500, MemMB: 6400, StopTakes: 200 * time.Millisecond, Advised: true}, true
	})
	var hosts []*kit.Host
	for _, zone := range kit.Zones {
		hosts = append(hosts, w.StartHost(zone), w.StartHost(zone))
	}
	w.AwaitReady(prefix)
	body := `{"spec":"offer","steps":[{"count":1,"cpu":3500,"mem-mb":6400,"estimate-ms":2000},{"count":1,"cpu":3500,"mem-mb":6400,"estimate-ms":2000,"depends-on":[0]}]}`
	if status, answer := w.Tell(hosts[0], http.MethodPost, prefix+job, body, 3*time.Second); status/100 != 2 {
		kit.CannotRun("the job was not accepted: " + answer)
	}
	time.Sleep(500 * time.Millisecond)
	if len(w.Runs(job)) != 1 {
		kit.CannotRun("the first step does not run")
	}
	if w.Trouble {
		w.PutManifest(5, kept)
	}
	time.Sleep(work)
	due := time.Now()
	for time.Since(due) < watched && len(w.Runs(job)) < 2 {
		time.Sleep(50 * time.Millisecond)
	}
	waited := time.Since(due)
	time.Sleep(work + time.Second)
	w.Tell(hosts[1], http.MethodGet, prefix+job, "", 3*time.Second)
	w.Finish(waited > bound, fmt.Sprintf("the second step had nothing running for %s after its turn had come; %d starts of it were turned away for want of a ticket", waited.Round(100*time.Millisecond), w.Refused(job+".0.1.0")))
}
