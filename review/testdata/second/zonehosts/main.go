// Command zonehosts plays the loss of all entry hosts of one zone, and checks that the jobs which that zone's runners were at
// go on while the other zones are undisturbed.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	chain   = "5c0e7a21d94b36f8"
	watch   = "5c0e7a21d94b36f9"
	prefix  = "/offers/"
	steps   = 6
	work    = time.Second
	bound   = 3 * time.Second
	lasting = 6 * time.Second
)

func main() {
	w := kit.NewWorld()
	w.PutManifest(3, kit.Route{Name: "full-offer", Prefix: prefix, Priority: 2, MaxAttempts: 2})
	for i := range 24 {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[i%3], 32000, 128000, "a", fmt.Sprintf("r-%d", i/8))
	}
	w.Behave(func(task string, _ int64) (kit.Behaviour, bool) {
		return kit.Behaviour{Takes: work, How: "done", Lasting: strings.HasPrefix(task, watch), CPU: 3500, MemMB: 6400, StopTakes: 200 * time.Millisecond}, true
	})
	hosts := map[string][]*kit.Host{}
	for _, zone := range kit.Zones {
		for range 3 {
			hosts[zone] = append(hosts[zone], w.StartHost(zone))
		}
	}
	w.AwaitReady(prefix)
	lost, client := kit.Zones[1], hosts[kit.Zones[0]][0]
	// The jobs are handed in at the zone that will lose its entry hosts, which keeps them in its own cell.
	var list []string
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"depends-on":[%d]`, i-1)
		}
		list = append(list, fmt.Sprintf(`{"count":1,"cpu":3500,"mem-mb":6400,"estimate-ms":1000%s}`, after))
	}
	for id, body := range map[string]string{
		chain: `{"spec":"offer","steps":[` + strings.Join(list, ",") + `]}`,
		watch: `{"spec":"watch","steps":[{"count":3,"cpu":3500,"mem-mb":6400,"estimate-ms":1000,"long-running":true}]}`,
	} {
		if status, answer := w.Tell(hosts[lost][0], http.MethodPost, prefix+id, body, 3*time.Second); status/100 != 2 {
			kit.CannotRun("a job was not accepted: " + answer)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for _, r := range w.Runs(chain) {
		if r.Zone != lost {
			kit.CannotRun("the job runs in zone " + r.Zone)
		}
	}
	if w.Trouble {
		for _, h := range hosts[lost] {
			w.Logf("entry host %s is lost", h.Name)
			h.Kill()
		}
	}
	time.Sleep(22 * time.Second)
	w.Tell(client, http.MethodGet, prefix+chain, "", 3*time.Second)
	gap, task := longestGap(w.Runs(chain))
	away := time.Duration(0)
	for i := range 3 {
		var mine []kit.Run
		for _, r := range w.Runs(watch) {
			if strings.HasSuffix(r.Task, fmt.Sprintf(".%d", i)) {
				mine = append(mine, r)
			}
		}
		if g, _ := longestGap(mine); g > away {
			away = g
		}
	}
	w.Finish(gap > bound || away > lasting, fmt.Sprintf("nothing of the job of %d steps ran for %s before %s; a task that lasts had no run for %s", steps, gap.Round(10*time.Millisecond), task, away.Round(10*time.Millisecond)))
}

// longestGap returns the longest time between the end of a run and the start of the next one.
func longestGap(runs []kit.Run) (longest time.Duration, before string) {
	for i := 1; i < len(runs); i++ {
		if gap := runs[i].Began.Sub(runs[i-1].Ended); !runs[i-1].Ended.IsZero() && gap > longest {
			longest, before = gap, runs[i].Task
		}
	}
	return longest, before
}
