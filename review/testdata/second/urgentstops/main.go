// Command urgentstops plays a large urgent job beside lasting ones, and checks that the system itself never holds away both
// tasks of a lasting step with may_miss 1 at once.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	watch       = "5c0e7a21d94b36f8"
	others      = "5c0e7a21d94b36f9"
	quote       = "00a1b2c3d4e5f607"
	watchPrefix = "/watches/"
	quotePrefix = "/quotes/"
	tasks       = 2
	otherTasks  = 19
	mayMiss     = 1
	begins      = 800 * time.Millisecond // the longest start of a task that lasts, by the site file
	stopTakes   = 50 * time.Millisecond
)

func main() {
	w := kit.NewWorld()
	w.PutManifest(3, kit.Route{Name: "rate-watch", Prefix: watchPrefix, Priority: 0, MaxAttempts: 3}, kit.Route{Name: "quick-quote", Prefix: quotePrefix, Priority: 0, MaxAttempts: 4})
	// Only runners of kind a may run the urgent tasks, and those of kind b have too little memory for any of them.
	for i := range 4 {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[0], 32000, 128000, map[bool]string{true: "a", false: "c"}[i < 2], "r-1")
	}
	for i := range 3 {
		w.AddRunner(fmt.Sprintf("n-%02d", i), kit.Zones[0], 32000, 16000, "b", "r-2")
	}
	w.AddRunner("o-00", kit.Zones[1], 32000, 16000, "b", "r-3")
	w.AddRunner("o-01", kit.Zones[2], 32000, 16000, "b", "r-4")
	w.Behave(func(task string, _ int64) (kit.Behaviour, bool) {
		if strings.HasPrefix(task, watch) {
			return kit.Behaviour{Takes: begins, Lasting: true, CPU: 20000, MemMB: 8000, StopTakes: stopTakes}, true
		}
		if strings.HasPrefix(task, others) {
			return kit.Behaviour{Takes: begins, Lasting: true, CPU: 3000, MemMB: 8000, StopTakes: stopTakes}, true
		}
		return kit.Behaviour{Takes: 1600 * time.Millisecond, How: "done", CPU: 12000, MemMB: 20000, StopTakes: stopTakes}, true
	})
	hosts := []*kit.Host{w.StartHost(kit.Zones[0]), w.StartHost(kit.Zones[0]), w.StartHost(kit.Zones[1]), w.StartHost(kit.Zones[2])}
	w.AwaitReady(watchPrefix)
	for _, each := range []struct {
		job, steps string
		tasks      int
	}{
		{watch, `{"count":%d,"cpu":20000,"mem-mb":8000,"estimate-ms":800,"long-running":true,"anti-affinity":1,"may_miss":1}`, tasks},
		{others, `{"count":%d,"cpu":3000,"mem-mb":8000,"estimate-ms":800,"long-running":true}`, otherTasks},
	} {
		body := fmt.Sprintf(`{"spec":"watch","steps":[`+each.steps+`]}`, each.tasks)
		if status, answer := w.Tell(hosts[0], http.MethodPost, watchPrefix+each.job, body, 3*time.Second); status/100 != 2 {
			kit.CannotRun("a lasting job was not accepted: " + answer)
		}
		time.Sleep(4 * time.Second)
		if n := len(w.Runs(each.job)); n != each.tasks {
			kit.CannotRun(fmt.Sprintf("%d tasks of a lasting job run", n))
		}
	}
	if w.Trouble {
		w.Tell(hosts[1], http.MethodPost, quotePrefix+quote, `{"spec":"quote","steps":[{"count":6,"cpu":12000,"mem-mb":20000,"estimate-ms":1600,"requirements":"a"}]}`, 3*time.Second)
	}
	time.Sleep(12 * time.Second)
	broken, stops := check(w)
	w.Finish(broken > 0, fmt.Sprintf("%d tasks of the lasting step were ended by a stop, %d of them while another one that a stop had ended was not at work again; may_miss is %d", stops, broken, mayMiss))
}

// check returns how many tasks at work were ended by a stop, and how many of these while may_miss others were away because a
// stop had ended them.
func check(w *kit.World) (broken, stops int) {
	runs := w.Runs(watch)
	atWork := func(r kit.Run, at time.Time) bool {
		return !r.Began.Add(begins).After(at) && (r.Ended.IsZero() || r.Ended.After(at))
	}
	for _, r := range runs {
		if r.How != "stopped" || r.Ended.Sub(r.Began) < begins {
			continue
		}
		stops++
		away := map[string]bool{}
		for _, other := range runs {
			if other.Task == r.Task || other.How != "stopped" || other.Ended.After(r.Ended) {
				continue
			}
			back := slices.ContainsFunc(runs, func(later kit.Run) bool { return later.Task == other.Task && atWork(later, r.Ended) })
			if !back {
				away[other.Task] = true
			}
		}
		if len(away) >= mayMiss {
			broken++
			w.Logf("check: %s is ended by a stop while these are away by one: %v", r.Task, away)
		}
	}
	return broken, stops
}
