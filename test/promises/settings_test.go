package promises_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/wrenferry/wrenferry/pkg/standin"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// The promise about settings: an accepted version is in force on all hosts within seconds and never
// reverts.

// versionWatch reads every host's version all the time, and notes if one ever
// goes back.
type versionWatch struct {
	mu      sync.Mutex
	reverts []string
	stop    chan struct{}
	done    sync.WaitGroup
}

func (f *fleet) watchVersions() *versionWatch {
	w := &versionWatch{stop: make(chan struct{})}
	for name, e := range f.entries {
		w.done.Go(func() {
			high := int64(0)
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				v := e.status()
				if v.Name != "" && v.Settings < high {
					w.mu.Lock()
					w.reverts = append(w.reverts, fmt.Sprintf("%s went from %d to %d", name, high, v.Settings))
					w.mu.Unlock()
				}
				high = max(high, v.Settings)
			}
		})
	}
	return w
}

// end stops the watch and returns the reverts.
func (w *versionWatch) end() []string {
	close(w.stop)
	w.done.Wait()
	return w.reverts
}

// deadline returns the settings with another deadline.
func deadline(ms int) string {
	return strings.Replace(settings, `"deadline": "5s"`, fmt.Sprintf(`"deadline": "%dms"`, ms), 1)
}

// editConcurrently makes two operators edit at two hosts, each based on the version that its host
// has. It returns the host that accepted each version, and fails the test if two did.
func (f *fleet) editConcurrently(edits int) (accepted map[int64]string) {
	accepted = map[int64]string{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, name := range []string{"a1", "a2"} {
		e := f.entries[name]
		wait.Go(func() {
			for i := range edits {
				base := e.status().Settings
				a := e.edit(deadline(4000+i), base, fmt.Sprintf("%s-%d", name, i))
				if a.status != http.StatusOK {
					continue
				}
				mu.Lock()
				if other, ok := accepted[base+1]; ok {
					f.t.Errorf("version %d was accepted from %s and from %s", base+1, other, name)
				}
				accepted[base+1] = name
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return accepted
}

func TestOperatorsRace(t *testing.T) {
	f := newFleet(t, []string{"a1", "a2", "b1"})
	f.ready()
	w := f.watchVersions()
	f.fault(f.platform, standin.Faults{LoseAnswers: 6, LoseKey: "settings/", DelayMS: 5})
	accepted := f.editConcurrently(25)
	f.fault(f.platform, standin.Faults{})
	must.Greater(t, 20, len(accepted))
	highest := int64(1)
	for v := range accepted {
		highest = max(highest, v)
	}
	f.awaitVersion(highest)
	must.SliceEmpty(t, w.end())
}

// The answer to an edit is lost, and the operator retries with the same id: the edit is accepted
// once.
func TestRetriedEditIsAcceptedOnce(t *testing.T) {
	f := newFleet(t, []string{"a1"})
	f.ready()
	e := f.entries["a1"]
	f.fault(f.platform, standin.Faults{LoseAnswers: 1, LoseKey: "settings/"})
	must.Eq(t, http.StatusOK, e.edit(deadline(1000), 1, "mine").status)
	must.Eq(t, http.StatusOK, e.edit(deadline(1000), 1, "mine").status)
	must.Eq(t, http.StatusConflict, e.edit(deadline(2000), 1, "other").status)
	must.Eq(t, int64(2), e.status().Settings)
}

// A hall that can't reach the platform gets a new version from its peers. A restarted process has
// the new version, too.
func TestSettingsReachAPartitionedHallAndANewProcess(t *testing.T) {
	f := newFleet(t, []string{"a1", "a2", "b1"})
	f.ready()
	f.fault(f.platform, standin.Faults{Cut: []string{"entry-b1"}})
	must.Eq(t, http.StatusOK, f.entries["a1"].edit(deadline(3000), 1, "x").status)
	f.awaitVersion(2)
	f.fault(f.platform, standin.Faults{})
	f.entries["a2"].kill()
	f.startEntry("a2")
	f.until("the new process reads the host list", func() bool { return f.entries["a2"].status().Settings == 2 })
}

// offerOldVersion partitions host b1 while a new version is accepted, then makes a2 hear from b1
// alone, which has the old version. It returns the reverts.
func offerOldVersion(f *fleet) []string {
	w := f.watchVersions()
	b1 := f.entries["b1"]
	f.fault(f.platform, standin.Faults{Cut: []string{"entry-b1", "entry-a2"}})
	b1.relay.setCut(true)
	must.Eq(f.t, http.StatusOK, f.entries["a1"].edit(deadline(3000), 1, "x").status)
	f.until("a2 has it from its peer", func() bool { return f.entries["a2"].status().Settings == 2 })
	f.entries["a1"].relay.setCut(true) // a2 now reaches b1 only
	b1.relay.setCut(false)
	time.Sleep(5 * time.Second)
	return w.end()
}

func TestSettingsNeverRevert(t *testing.T) {
	f := newFleet(t, []string{"a1", "a2", "b1"})
	f.ready()
	must.SliceEmpty(t, offerOldVersion(f))
	f.fault(f.platform, standin.Faults{})
	f.awaitVersion(2)
}

// offerDelayedVersion sends every host an offer of the first version after the second was accepted,
// like a message delayed by the network. It returns the reverts.
func offerDelayedVersion(f *fleet) []string {
	must.Eq(f.t, http.StatusOK, f.entries["a1"].edit(deadline(3000), 1, "x").status)
	f.awaitVersion(2)
	var reverts []string
	for name, e := range f.entries {
		conn, err := grpc.NewClient(e.control, grpc.WithTransportCredentials(insecure.NewCredentials()))
		must.NoError(f.t, err)
		have, err := wire.NewPeerClient(conn).Offer(context.Background(), &wire.SettingsRow{Version: 1, Body: settings})
		must.NoError(f.t, err)
		must.NoError(f.t, conn.Close())
		if have.GetVersion() < 2 {
			reverts = append(reverts, fmt.Sprintf("%s went back to %d", name, have.GetVersion()))
		}
	}
	return reverts
}

func TestSettingsNeverRevertByALateOffer(t *testing.T) {
	f := newFleet(t, []string{"a1", "a2", "b1"})
	f.ready()
	must.SliceEmpty(t, offerDelayedVersion(f))
}

func TestSettingsNeverRevertByALateOfferNeedsTheCheck(t *testing.T) {
	f := newFleet(t, []string{"a1", "a2", "b1"}, without("monotonic"))
	f.ready()
	must.SliceNotEmpty(t, offerDelayedVersion(f))
}

// Rejected settings change nothing.
func TestMalformedSettingsAreRejected(t *testing.T) {
	f := newFleet(t, []string{"a1"})
	f.ready()
	a := f.entries["a1"].edit(`{"lease": "2s", "teams": {"x": {"deadlne": "1s"}}}`, 1, "bad")
	must.Eq(t, http.StatusBadRequest, a.status)
	must.StrContains(t, string(a.body), `nearest known one is \"deadline\"`)
	must.Eq(t, int64(1), f.entries["a1"].status().Settings)
}
