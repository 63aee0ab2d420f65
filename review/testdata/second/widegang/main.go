// Command widegang plays a gang that fits a zone's runners until one runner of each zone is lost for good, and checks that it
// still starts while the service has room for it more than twice over.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	job    = "5c0e7a21d94b36f8"
	prefix = "/offers/"
	// perZone is the number of runners of a zone, and of the gang's members: each takes nearly a whole runner.
	perZone = 8
	// calm is the time between the loss and the job, within which the lost runners' entries go.
	calm = 12 * time.Second
	// watched is how long the job is watched; the rule allows 3 s without a run.
	watched = 40 * time.Second
	bound   = 3 * time.Second
)

func main() {
	w := kit.NewWorld()
	w.PutManifest(3, kit.Route{Name: "full-offer", Prefix: prefix, Priority: 2, MaxAttempts: 2})
	for i := range 3 * perZone {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[i%3], 32000, 128000, "a", fmt.Sprintf("r-%d", i/8))
	}
	w.Behave(func(string, int64) (kit.Behaviour, bool) {
		return kit.Behaviour{Takes: 3 * time.Second, How: "done", CPU: 30000, MemMB: 6400, StopTakes: 200 * time.Millisecond}, true
	})
	var hosts []*kit.Host
	for _, zone := range kit.Zones {
		hosts = append(hosts, w.StartHost(zone), w.StartHost(zone), w.StartHost(zone))
	}
	w.AwaitReady(prefix)
	up := 3 * perZone
	if w.Trouble {
		for _, r := range w.Runners()[:3] { // one of each zone
			r.Crash(time.Hour)
			up--
		}
	}
	time.Sleep(calm)
	body := fmt.Sprintf(`{"spec":"offer","steps":[{"count":%d,"cpu":30000,"mem-mb":6400,"estimate-ms":3000,"gang":true}]}`, perZone)
	status, answer := w.Tell(hosts[0], http.MethodPost, prefix+job, body, 3*time.Second)
	if status/100 != 2 {
		kit.CannotRun("the job was not accepted: " + answer)
	}
	accepted := time.Now()
	for time.Since(accepted) < watched && len(w.Runs(job)) == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	waited := time.Since(accepted)
	time.Sleep(5 * time.Second)
	_, answer = w.Tell(hosts[1], http.MethodGet, prefix+job, "", 3*time.Second)
	room := up / perZone
	verdict := fmt.Sprintf("nothing of the job ran for %s, while %d idle runners had room for it %d times over; then it was shown as %s", waited.Round(100*time.Millisecond), up, room, answer)
	w.Finish(waited > bound && room >= 2, verdict)
}
