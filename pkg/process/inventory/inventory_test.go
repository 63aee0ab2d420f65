package inventory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/inventory"
)

var knownAt = time.Unix(1000, 0)

// listOf returns a list that was asked for so long after knownAt, on so many pages, and names hosts, each with its worker.
func listOf(after time.Duration, pages int, hosts ...string) inventory.List {
	l := inventory.List{AskedAt: knownAt.Add(after), Pages: pages, Hosts: map[string]bool{}, Workers: map[string]bool{}}
	for _, h := range hosts {
		l.Hosts[h] = true
		l.Workers["worker of "+h] = true
	}
	return l
}

// A wrong proof would start tasks a second time that still run.
func TestOnlyTwoCompleteListsInARowEndAnIncarnation(t *testing.T) {
	t.Parallel()
	ended, alive := listOf(2500*time.Millisecond, 1, "a", "b"), listOf(2500*time.Millisecond, 1, "a", "b", "c")
	for _, c := range []struct {
		name           string
		earlier, later inventory.List
		aliveAfter     time.Duration
		want           bool
	}{
		{"missing twice", listOf(2*time.Second, 1, "a", "b"), ended, 0, true},
		{"missing on the later list only", listOf(2*time.Second, 1, "a", "b", "c"), ended, 0, false},
		{"missing on the earlier list only", listOf(2*time.Second, 1, "a", "b"), alive, 0, false},
		{"listed by both", listOf(2*time.Second, 1, "a", "b", "c"), alive, 0, false},
		{"one list only", inventory.List{}, ended, 0, false},
		{"no list", inventory.List{}, inventory.List{}, 0, false},
		{"the same list twice", ended, ended, 0, false},
		{"an empty list", listOf(2*time.Second, 1), ended, 0, false},
		{"an empty later list", listOf(2*time.Second, 1, "a"), listOf(3*time.Second, 1), 0, false},
		{"asked for before it was known", listOf(-time.Millisecond, 1, "a", "b"), ended, 0, false},
		{"asked for before it was last heard", listOf(2*time.Second, 1, "a", "b"), ended, 2100 * time.Millisecond, false},
		{"it may not be listed yet", listOf(time.Millisecond, 1, "a", "b"), listOf(1900*time.Millisecond, 1, "a", "b"), 0, false},
		{"the earlier list may not list it yet", listOf(1900*time.Millisecond, 1, "a", "b"), ended, 0, false},
		{"on several pages, no host has left", listOf(2*time.Second, 3, "a", "b"), ended, 0, true},
		{"on several pages, a host has left meanwhile", listOf(2*time.Second, 3, "a", "b", "d"), ended, 0, false},
		{"on several pages, both late enough", listOf(2*time.Second, 3, "a", "b"), listOf(4*time.Second, 3, "a", "b"), 0, true},
		{"it may not be listed yet, and the later list may skip it", listOf(time.Second, 3, "a", "b"), listOf(4*time.Second, 3, "a", "b"), 0, false},
		{"on one page, a host has left meanwhile", listOf(2*time.Second, 1, "a", "b", "d"), ended, 0, true},
		{"a host has joined meanwhile", listOf(2*time.Second, 3, "a"), ended, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := inventory.Incarnation{Worker: "worker of c", KnownAt: knownAt}
			if c.aliveAfter > 0 {
				i.AliveAt = knownAt.Add(c.aliveAfter)
			}
			must.Eq(t, c.want, inventory.Ended(c.earlier, c.later, i))
		})
	}
}

// Two cells of one process read the inventory at the same time. If a host leaves while they do, both lists may skip the same
// worker, which still runs.
func TestListsThatWereReadAtTheSameTimeProveNothing(t *testing.T) {
	t.Parallel()
	earlier, later := listOf(3*time.Second, 3, "a", "b"), listOf(3001*time.Millisecond, 3, "a", "b")
	earlier.ReadAt, later.ReadAt = knownAt.Add(3300*time.Millisecond), knownAt.Add(3301*time.Millisecond)
	i := inventory.Incarnation{Worker: "worker of c", KnownAt: knownAt}
	must.False(t, inventory.Ended(earlier, later, i))
	later = listOf(3400*time.Millisecond, 3, "a", "b")
	must.True(t, inventory.Ended(earlier, later, i))
}

func TestListOmitsOnlyIncarnationsThatItShouldName(t *testing.T) {
	t.Parallel()
	l := listOf(3*time.Second, 1, "a")
	l.ReadAt = knownAt.Add(3200 * time.Millisecond)
	for _, c := range []struct {
		name                   string
		worker                 string
		knownAfter, aliveAfter time.Duration
		want                   bool
	}{
		{"alive after the list had been read", "worker of b", 0, 3300 * time.Millisecond, true},
		{"it may have ended before it was read", "worker of b", 0, 3100 * time.Millisecond, false},
		{"it may not be listed yet", "worker of b", 1500 * time.Millisecond, 3300 * time.Millisecond, false},
		{"listed", "worker of a", 0, 3300 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := inventory.Incarnation{Worker: c.worker, KnownAt: knownAt.Add(c.knownAfter), AliveAt: knownAt.Add(c.aliveAfter)}
			must.Eq(t, c.want, l.Omits(i))
		})
	}
}

// Other hosts leave all the time, so that a list of several pages may have skipped some. A host that it lists was not skipped:
// the worker that is not there has ended.
func TestHostsThatLeaveDoNotHideThatAListedHostRunsAnotherWorker(t *testing.T) {
	t.Parallel()
	earlier, later := listOf(3*time.Second, 3, "a", "b", "c", "d"), listOf(4*time.Second, 3, "a", "b", "c")
	for _, l := range []inventory.List{earlier, later} {
		delete(l.Workers, "worker of c")
	}
	i := inventory.Incarnation{Worker: "worker of c", KnownAt: knownAt}
	must.False(t, inventory.Ended(earlier, later, i), must.Sprint("its host is not known"))
	i.Host = "c"
	must.True(t, inventory.Ended(earlier, later, i))
	i.Host = "e"
	must.False(t, inventory.Ended(earlier, later, i), must.Sprint("its host may have been skipped"))
}
