package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/platform/platformtest"
)

// Days on which workers and hosts are gone for good and are replaced, while lasting tasks run.
//
//	SEEDS=50 go test ./test/soak -run TestLastingTasksRunAgainAfterWorkersAndHostsAreGone -parallel 2 -timeout 120m
//	SEED=17 go test ./test/soak -run TestLastingTasksRunAgainAfterWorkersAndHostsAreGone -v
//
// With INVENTORY=off the hosts know no inventory.

const (
	lossWorkers = 24
	lossHosts   = 6
	lossBeat    = 1500 * time.Millisecond
	// lastingJobs and lastingCount are the lasting jobs of a day, and the tasks of each.
	lastingJobs, lastingCount = 4, 8
	// losses is the number of times on a day at which workers and hosts are gone, each followed by calmAfterLoss.
	losses        = 3
	calmAfterLoss = calmTime + 4*time.Second
	// Hosts are gone only while minHosts others are there, and at most maxHostsAtOnce in one moment.
	minHosts, maxHostsAtOnce = 3, 2
	// maxPages is the usual number of pages of the inventory, with small pages.
	maxPages = 3
	// maxPageDelay is the longest usual time until a page of the inventory is answered, with small pages.
	maxPageDelay = 100 * time.Millisecond
	// beforeFirstLoss is the time from the first starts of the lasting tasks to the first loss.
	beforeFirstLoss = 2500 * time.Millisecond
	// maxHunted is the number of workers that a hunt ends at once.
	maxHunted = 4
	// firstLastingJob is the id of the first lasting job, as a number.
	firstLastingJob = 0xa000
	// lossJobPause is the mean pause between other jobs.
	lossJobPause = 250 * time.Millisecond
	// maxFirstStart is how long the first starts of the lasting tasks may take.
	maxFirstStart = 20 * time.Second
	// pollLastingInterval is the time between two queries for the state of the lasting jobs.
	pollLastingInterval = time.Second
)

func TestLastingTasksRunAgainAfterWorkersAndHostsAreGone(t *testing.T) {
	t.Parallel()
	playSeeds(t, lossPlan{})
}

// Machines that left an inventory of several pages between two readings put off the proof that others had ended.
func TestLastingTasksRunAgainWhileOtherWorkersLeaveInOrder(t *testing.T) {
	t.Parallel()
	playSeeds(t, lossPlan{smallPages: true, inOrder: true, single: true})
}

// lossPlan is what is certain of a day. All else is random.
type lossPlan struct {
	// smallPages means that the inventory has several pages, inOrder that workers leave as planned all the time.
	smallPages, inOrder bool
	// single means that each loss is one moment, of workers and the leader of a cell, without other troubles.
	single bool
}

// playSeeds plays the days of the seeds in SEED or SEEDS.
func playSeeds(t *testing.T, plan lossPlan) {
	t.Helper()
	if seed, one := intFromEnv(t, "SEED", 0); one {
		for _, line := range playLosses(t, uint64(seed), plan) {
			t.Log(line)
		}
		return
	}
	n, _ := intFromEnv(t, "SEEDS", defaultSeeds)
	first, _ := intFromEnv(t, "FIRST", 0)
	for seed := range n {
		t.Run(fmt.Sprint(first+seed), func(t *testing.T) {
			t.Parallel()
			playLosses(t, uint64(first+seed), plan)
		})
	}
}

// playLosses plays one day and returns its log.
func playLosses(t *testing.T, seed uint64, plan lossPlan) []string {
	t.Helper()
	d := newLossDay(t, seed, plan)
	defer d.cleanUp()
	rnd := rand.New(rand.NewPCG(seed, 6))
	var ids []string
	for i := range lastingJobs {
		ids = append(ids, lastingJob(i))
		d.caller.submitLasting(ids[i], lastingCount, rnd)
	}
	d.awaitLasting()
	go d.watchLasting()
	var others sync.WaitGroup
	others.Go(func() {
		d.caller.trafficUntil(d.quiet, rand.New(rand.NewPCG(seed, 2)), completionTimeout, lossJobPause)
	})
	others.Go(func() { d.pollLasting(ids, rand.New(rand.NewPCG(seed, 7))) })
	if d.oneIn(3) || plan.inOrder {
		others.Go(d.replaceInOrder)
	}
	time.Sleep(beforeFirstLoss)
	for range losses {
		if plan.single {
			d.loseOnce()
		} else {
			d.loseSome()
		}
		time.Sleep(calmAfterLoss)
		d.addWorkers()
	}
	close(d.quiet)
	d.cancelLasting(ids, rnd)
	others.Wait()
	d.checker.checkRefused()
	t.Log(d.waits())
	return d.report(seed, "go test ./test/soak -v -run "+t.Name()+" with SEED")
}

// newLossDay starts the processes of a day with an inventory.
func newLossDay(t *testing.T, seed uint64, plan lossPlan) *day {
	t.Helper()
	d := &day{
		t: t, rand: rand.New(rand.NewPCG(seed, 3)), store: platformtest.NewStore(), checker: newChecker(), over: make(chan struct{}),
		quiet: make(chan struct{}), beat: lossBeat,
	}
	d.store.Put("op", "config", platformtest.Manifest(3))
	d.useInventory()
	if os.Getenv("INVENTORY") == "off" {
		d.more = ""
	}
	if seed%2 == 1 {
		d.more += overloadSettings
	}
	if d.oneIn(2) || plan.smallPages {
		// Reading takes a while then, and machines leave the list between two pages.
		d.inventory.SetPageSize(lossWorkers/maxPages + d.intN(lossWorkers/maxPages))
		d.inventoryDelay = d.between(0, maxPageDelay)
		d.inventory.Delay(d.inventoryDelay)
	}
	for i := range lossWorkers {
		d.addWorker(i, halls[i%len(halls)])
	}
	for i := range lossHosts {
		d.addHost(i)
	}
	d.caller = &caller{hosts: d.presentHosts, checker: d.checker, noCrashes: true}
	d.ready()
	return d
}

// oneIn returns true once in n times.
func (d *day) oneIn(n int) bool { return d.intN(n) == 0 }

// between returns a random time.
func (d *day) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.intN(int(high-low)))
}

// awaitLasting waits until all lasting tasks run.
func (d *day) awaitLasting() {
	for end := time.Now().Add(maxFirstStart); time.Now().Before(end); time.Sleep(sampleInterval) {
		if running, all := d.checker.runningLasting(); running == all {
			return
		}
	}
	running, all := d.checker.runningLasting()
	must.Eq(d.t, all, running, must.Sprint("lasting tasks run before anything is lost"))
}

// pollLasting asks for the states of the lasting jobs until the last loss is over.
func (d *day) pollLasting(ids []string, rnd *rand.Rand) {
	for {
		select {
		case <-d.quiet:
			return
		case <-time.After(pollLastingInterval):
		}
		d.caller.pollLasting(ids[rnd.IntN(len(ids))], rnd)
	}
}

// loseSome injects one loss, or a series of them, and returns when all its impairments have ended.
func (d *day) loseSome() {
	times := 1
	if d.oneIn(3) {
		times = 3
	}
	var all sync.WaitGroup
	for i := range times {
		if i > 0 {
			time.Sleep(d.between(500*time.Millisecond, 3*time.Second))
		}
		if d.oneIn(3) {
			trouble := lossTroubles[d.intN(len(lossTroubles))]
			span := d.between(300*time.Millisecond, 3*time.Second)
			all.Go(func() { trouble(d, span) })
			time.Sleep(d.between(0, 500*time.Millisecond))
		}
		if d.oneIn(5) {
			d.hunt()
			continue
		}
		d.lose(&all)
	}
	all.Wait()
}

// hunt ends the workers of one lasting job again and again, so that its tasks become suspects.
func (d *day) hunt() {
	job, times := lastingJob(d.intN(lastingJobs)), 2+d.intN(3)
	end := workerEnds[d.intN(len(workerEnds))]
	for range times {
		var lost []*worker
		for _, w := range d.presentWorkers() {
			if w.runsTaskOf(job) && len(lost) < maxHunted {
				lost = append(lost, w)
			}
		}
		d.endWorkers(lost, end)
		time.Sleep(d.between(700*time.Millisecond, 2500*time.Millisecond))
		d.addWorkers()
	}
}

// lastingJob returns the id of a lasting job.
func lastingJob(i int) string { return fmt.Sprintf("%016x", firstLastingJob+i) }

// loseOnce ends a third of the workers for good, and the leader of a cell shortly after.
func (d *day) loseOnce() {
	var all sync.WaitGroup
	leaders := d.leaders()
	d.endWorkers(d.someWorkers(3, func(*worker) bool { return true }), workerEnds[d.intN(len(workerEnds))])
	time.Sleep(d.between(0, 300*time.Millisecond))
	if len(leaders) > 0 {
		h, after := leaders[d.intN(len(leaders))], d.between(200*time.Millisecond, 900*time.Millisecond)
		all.Go(func() { d.replaceHost(h, hostEnds[0], after, false) })
	}
	all.Wait()
	d.addWorkers()
}

// someWorkers returns random workers that meet a condition, at most the given part of all that are not gone for good.
func (d *day) someWorkers(part int, meets func(w *worker) bool) []*worker {
	present := d.presentWorkers()
	d.mu.Lock()
	d.rand.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	d.mu.Unlock()
	var list []*worker
	for _, w := range present {
		if len(list) < len(present)/part && meets(w) {
			list = append(list, w)
		}
	}
	return list
}

// lose ends several workers for good, and hosts shortly after.
func (d *day) lose(all *sync.WaitGroup) {
	hosts := d.leaders()
	if d.oneIn(4) || len(hosts) == 0 {
		hosts = d.presentHosts()
	}
	d.mu.Lock()
	d.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	d.mu.Unlock()
	most := 1
	if d.oneIn(3) {
		most = maxHostsAtOnce
	}
	hosts = hosts[:min(most, len(hosts), max(0, len(d.presentHosts())-minHosts))]
	hall := halls[d.intN(len(halls))]
	oneHall := d.oneIn(3)
	part := 10
	if d.oneIn(2) {
		part = 3
	}
	lost := d.someWorkers(part, func(w *worker) bool { return !oneHall || w.hall == hall })
	end := workerEnds[d.intN(len(workerEnds))]
	if d.oneIn(4) {
		d.endOneByOne(lost, end, all)
	} else {
		d.endWorkers(lost, end)
	}
	time.Sleep(d.between(0, 300*time.Millisecond))
	for _, h := range hosts {
		how, after, oldAddress := hostEnds[d.intN(len(hostEnds))], d.between(200*time.Millisecond, 900*time.Millisecond), d.oneIn(4)
		if d.oneIn(4) {
			after = d.between(time.Second, 4*time.Second) // a slow start
		}
		all.Go(func() { d.replaceHost(h, how, after, oldAddress) })
	}
	if d.oneIn(2) {
		after := d.between(500*time.Millisecond, 4*time.Second)
		all.Go(func() { time.Sleep(after); d.addWorkers() })
	}
}
