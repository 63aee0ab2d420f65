// Command latecancel plays a submission whose write the store does late and does not answer, and a cancel of that job
// meanwhile, and checks that the job's tasks are not started long after the cancel was acknowledged.
package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	job       = "5c0e7a21d94b36f8"
	prefix    = "/offers/"
	late      = 6 * time.Second // platform_lost, how late: done 1 to 6 s later
	cancelMs  = 3 * time.Second
	contactMs = 3 * time.Second
)

func main() {
	w := kit.NewWorld()
	w.PutManifest(3, kit.Route{Name: "full-offer", Prefix: prefix, Priority: 2, MaxAttempts: 2})
	for i := range 12 {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[i%3], 32000, 128000, "a", fmt.Sprintf("r-%d", i/4))
	}
	w.Behave(func(string, int64) (kit.Behaviour, bool) {
		return kit.Behaviour{Takes: 7 * time.Second, How: "done", CPU: 3500, MemMB: 6400, StopTakes: 200 * time.Millisecond}, true
	})
	var hosts []*kit.Host
	for _, zone := range kit.Zones {
		hosts = append(hosts, w.StartHost(zone), w.StartHost(zone))
	}
	w.AwaitReady(prefix)
	var lastDone atomic.Int64
	if w.Trouble {
		until := time.Now().Add(3 * time.Second)
		w.Store.Disturb(func(t kit.Tx) *kit.Fate {
			if !t.Puts(job) || time.Now().After(until) {
				return nil
			}
			w.Logf("store: the write of job %s gets no answer and is done in %s", job, late)
			if lastDone.Load() == 0 {
				time.AfterFunc(late, func() { w.Logf("store: the late write of job %s is done", job) })
			}
			lastDone.Store(time.Now().Add(late).UnixNano())
			return &kit.Fate{Late: late}
		})
	}
	body := `{"spec":"offer","steps":[{"count":2,"cpu":3500,"mem-mb":6400,"estimate-ms":7000},{"count":2,"cpu":3500,"mem-mb":6400,"estimate-ms":7000,"depends-on":[0]}]}`
	w.Tell(hosts[0], http.MethodPost, prefix+job, body, 3*time.Second)
	status, _ := w.Tell(hosts[0], http.MethodDelete, prefix+job, "", 3*time.Second)
	if status/100 != 2 && status != http.StatusGone {
		kit.CannotRun("the cancel was not acknowledged")
	}
	acked := time.Now()
	time.Sleep(20 * time.Second)
	w.Tell(hosts[0], http.MethodGet, prefix+job, "", 3*time.Second)
	starts, inTouch := 0, 0
	for _, r := range w.Runs(job) {
		if r.Began.Sub(acked) <= cancelMs {
			continue
		}
		starts++
		if r.Began.Sub(time.Unix(0, lastDone.Load())) > contactMs {
			inTouch++
		}
	}
	verdict := fmt.Sprintf("the cancel was acknowledged with %d; %d tasks were started more than %s after that, %d of them more than %s after the store's last late write", status, starts, cancelMs, inTouch, contactMs)
	w.Finish(inTouch > 0, verdict)
}
