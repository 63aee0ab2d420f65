// Command silenttable plays a moment in which all open channels to the store go silent for good, while new ones work, and a
// manifest that adds a route a little later. It checks that the machines handle calls by that manifest once they are in touch
// again and its time to come into force is over.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wrenferry/wrenferry/review/testdata/second/kit"
)

const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	// changeAfter is how long after the channels went silent the manifest changes.
	changeAfter = 1300 * time.Millisecond
)

func main() {
	w := kit.NewWorld()
	old := kit.Route{Name: "full-offer", Prefix: "/offers/", Priority: 2, MaxAttempts: 2}
	added := kit.Route{Name: "quick-quote", Prefix: "/quotes/", Priority: 0, MaxAttempts: 4}
	w.PutManifest(3, old)
	for i := range 12 {
		w.AddRunner(fmt.Sprintf("m-%02d", i), kit.Zones[i%3], 32000, 128000, "a", fmt.Sprintf("r-%d", i/4))
	}
	var hosts []*kit.Host
	for _, zone := range kit.Zones {
		hosts = append(hosts, w.StartHost(zone), w.StartHost(zone), w.StartHost(zone))
	}
	w.AwaitReady(old.Prefix)
	silentAt := time.Now()
	if w.Trouble {
		for _, h := range hosts {
			w.Logf("the %d open channels between %s and the store go silent", h.Table.Silence(), h.Name)
		}
	}
	time.Sleep(changeAfter)
	w.PutManifest(5, old, added)
	acked := time.Now()
	from := acked.Add(configApply)
	if inTouch := silentAt.Add(contact); inTouch.After(from) {
		from = inTouch
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	refused, hit, longest := 0, 0, time.Duration(0)
	for _, h := range hosts {
		all.Go(func() {
			mine := 0
			for time.Sleep(time.Until(from.Add(20 * time.Millisecond))); time.Since(from) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
				sent := time.Now()
				status, answer, took := w.Call(h, http.MethodGet, added.Prefix, "", 3*time.Second)
				if status != http.StatusNotFound {
					w.Logf("client: GET %s at %s, sent %s after the ack: status %d after %s, %s", added.Prefix, h.Name, sent.Sub(acked).Round(time.Millisecond), status, took.Round(time.Millisecond), answer)
					if status == http.StatusOK {
						break
					}
					continue
				}
				mine++
				if mine == 1 {
					w.Logf("client: GET %s at %s, sent %s after the ack: status 404", added.Prefix, h.Name, sent.Sub(acked).Round(time.Millisecond))
				}
				mu.Lock()
				refused++
				longest = max(longest, sent.Sub(acked))
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			if mine > 0 {
				hit++
			}
		})
	}
	all.Wait()
	w.Finish(refused > 0, fmt.Sprintf("%d calls at %d of %d entry hosts were refused with 404 though the route was there, the last one sent %s after the ack", refused, hit, len(hosts), longest.Round(time.Millisecond)))
}
