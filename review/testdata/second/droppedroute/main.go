// Command droppedroute plays a job whose task fails each time, while the manifest drops the job's route, and checks that
// the task is started no more often than the route's max-attempts allows.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	job         = "5c0e7a21d94b36f8"
	prefix      = "/offers/"
	maxAttempts = 2
)

func main() {
	w := kit.NewWorld()
	kept := kit.Route{Name: "quick-quote", Prefix: "/quotes/", Priority: 0, MaxAttempts: 4}
	w.PutManifest(3, kept, kit.Route{Name: "full-offer", Prefix: prefix, Priority: 2, MaxAttempts: maxAttempts})
	for i := range 12 {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[i%3], 32000, 128000, "a", fmt.Sprintf("r-%d", i/4))
	}
	w.Behave(func(string, int64) (kit.Behaviour, bool) {
		return kit.Behaviour{Takes: 2 * time.Second, How: "failed", CPU: 3500, MemMB: 6400, StopTakes: 200 * time.Millisecond}, true
	})
	var hosts []*kit.Host
	for _, zone := range kit.Zones {
		hosts = append(hosts, w.StartHost(zone), w.StartHost(zone))
	}
	w.AwaitReady(prefix)
	body := `{"spec":"offer","steps":[{"count":1,"cpu":3500,"mem-mb":6400,"estimate-ms":2000}]}`
	if status, answer := w.Tell(hosts[0], http.MethodPost, prefix+job, body, 3*time.Second); status/100 != 2 {
		kit.CannotRun("the job was not accepted: " + answer)
	}
	time.Sleep(500 * time.Millisecond)
	if w.Trouble {
		w.PutManifest(5, kept)
	}
	time.Sleep(20 * time.Second)
	w.Tell(hosts[1], http.MethodGet, prefix+job, "", 3*time.Second)
	runs, beyond := w.Runs(job), 0
	for _, r := range runs {
		failed := 0
		for _, earlier := range runs {
			if earlier.How == "failed" && r.Began.After(earlier.Ended) {
				failed++
			}
		}
		if failed >= maxAttempts {
			beyond++
		}
	}
	w.Finish(beyond > 0, fmt.Sprintf("%d runs; %d of them were started after %d runs had ended failed", len(runs), beyond, maxAttempts))
}
