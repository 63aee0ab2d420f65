package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/rows"
)

// Callers that give up their submissions and cancel the jobs, while the store carries transactions out late.

const (
	// shortRetention is longer than a call of a paused host and the store's delay together.
	shortRetention = 16 * time.Second
	// minLate and maxLate bound the delay of a late transaction, lateOneIn is the number of transactions of which one is late.
	minLate, maxLate, lateOneIn = time.Second, 6 * time.Second, 3
	// meanLateSpan is the mean time for which transactions are late, and for which they are not.
	meanLateSpan = time.Second
	// removalTimeout bounds the time until the rows of all jobs and tombstones are removed, from the last call on.
	removalTimeout = shortRetention + 40*time.Second
	// promptOneIn is the number of callers of which one gives up within promptTime.
	promptOneIn = 4
	promptTime  = 4 * time.Millisecond
	// givingUpPause is the mean time between two callers.
	givingUpPause = 40 * time.Millisecond
)

// Guards against jobs that run after their cancel was answered "no such job", and against rows of cancels that stay.
func TestNothingStartsAfterACancelFoundNoJob(t *testing.T) {
	t.Parallel()
	play := func(t *testing.T, seed uint64) []string {
		t.Helper()
		d := newDay(t, seed, func(d *day) { d.retention = shortRetention.String() })
		defer d.cleanUp()
		var faults sync.WaitGroup
		faults.Go(d.injectFaults)
		faults.Go(d.delayWrites)
		acknowledged := d.giveUpUntil(time.Now().Add(faultPeriod), rand.New(rand.NewPCG(seed, 5)))
		faults.Wait()
		time.Sleep(maxLate)
		d.checkAcknowledged(acknowledged)
		d.awaitRemoval()
		return d.report(seed, "go test ./test/soak -v -run NothingStartsAfterACancel, with SEED")
	}
	if seed, one := intFromEnv(t, "SEED", 0); one {
		t.Log(strings.Join(play(t, uint64(seed)), "\n"))
		return
	}
	n, _ := intFromEnv(t, "SEEDS", defaultSeeds)
	for seed := range n {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, uint64(seed))
		})
	}
}

// delayWrites makes some transactions late by spells.
func (d *day) delayWrites() {
	for end := time.Now().Add(faultPeriod); time.Now().Before(end); {
		d.checker.logf("FAULT transactions are late")
		d.store.DelayWrites(func() time.Duration {
			if d.intN(lateOneIn) > 0 {
				return 0
			}
			return minLate + time.Duration(d.intN(int(maxLate-minLate)))
		})
		time.Sleep(time.Duration(d.intN(int(2 * meanLateSpan))))
		d.store.DelayWrites(nil)
		time.Sleep(time.Duration(d.intN(int(2 * meanLateSpan))))
	}
}

// acknowledgedCancels holds the status with which the cancel of each job was acknowledged.
type acknowledgedCancels struct {
	mu       sync.Mutex
	statuses map[string]int
}

// giveUpUntil plays callers that give up until a time, and returns the cancels that were acknowledged.
func (d *day) giveUpUntil(end time.Time, rnd *rand.Rand) *acknowledgedCancels {
	a := &acknowledgedCancels{statuses: map[string]int{}}
	var all sync.WaitGroup
	for n := 1; time.Now().Before(end); n++ {
		id, own := fmt.Sprintf("%016x", n), rand.New(rand.NewPCG(rnd.Uint64(), 1))
		all.Go(func() { d.caller.giveUp(id, own, a) })
		time.Sleep(time.Duration(rnd.Int64N(int64(2 * givingUpPause))))
	}
	all.Wait()
	return a
}

// giveUp submits a job, and cancels it at any host if it is not accepted within some time. One caller in three then submits it
// again.
func (c *caller) giveUp(id string, rnd *rand.Rand, a *acknowledgedCancels) {
	j := &sentJob{text: "text of " + id, steps: []int{1 + rnd.IntN(3)}}
	step := map[string]any{"count": j.steps[0], "cpu": taskCPU, "mem-mb": 100, "estimate-ms": 200}
	body, err := json.Marshal(map[string]any{"spec": j.text, "steps": []map[string]any{step}})
	if err != nil {
		panic(err) // the job consists of values that JSON can encode
	}
	c.checker.sent(id, j)
	hosts := c.hosts()
	patience := time.Duration(rnd.Int64N(int64(callTimeout)))
	if rnd.IntN(promptOneIn) == 0 {
		patience = time.Duration(rnd.Int64N(int64(promptTime))) // its cancel may overtake the submission
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	status, _, err := c.callFor(ctx, hosts[rnd.IntN(len(hosts))], http.MethodPost, id, string(body))
	c.checker.submitAnswered(id, status, err)
	if err == nil && status/100 == 2 && rnd.IntN(2) == 0 {
		return // the job runs
	}
	c.checker.cancelRequested(id)
	status = c.cancel(id, rnd)
	c.checker.logf("the cancel of %s is answered %d", id, status)
	a.mu.Lock()
	a.statuses[id] = status
	a.mu.Unlock()
	if rnd.IntN(3) > 0 {
		return
	}
	time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	again, _, err := c.callAny(rnd, http.MethodPost, id, string(body))
	if err == nil && again/100 == 2 && status == http.StatusGone {
		c.checker.reportViolation("MIXED", "%s is accepted after its cancel found no job", id)
	}
}

// checkAcknowledged checks that nothing of a job was started whose cancel found no job, and that none is shown.
func (d *day) checkAcknowledged(a *acknowledgedCancels) {
	counts := map[int]int{}
	rnd := rand.New(rand.NewPCG(1, 1))
	for id, status := range a.statuses {
		counts[status]++
		if status != http.StatusGone {
			continue
		}
		if shown, text, err := d.caller.callAny(rnd, http.MethodGet, id, ""); err == nil && shown == http.StatusOK {
			d.checker.reportViolation("MIXED", "%s is shown as %s after its cancel found no job", id, text)
		}
		if task := d.checker.startOf(id); task != "" {
			d.checker.reportViolation("UNASKED", "%s was started though the cancel of its job found none", task)
		}
	}
	d.t.Logf("cancels by answer: %v, tombstones and jobs: %d", counts, len(d.store.Keys(rows.AnchorTable)))
	must.Positive(d.t, counts[http.StatusGone])
}

// awaitRemoval waits until the table holds no row of a job or tombstone.
func (d *day) awaitRemoval() {
	left := func() (list []string) {
		names := []string{rows.AnchorTable}
		for _, hall := range halls {
			names = append(names, rows.CancelTable(hall))
		}
		for _, name := range names {
			for _, key := range d.store.Keys(name) {
				list = append(list, name+" "+key)
			}
		}
		return list
	}
	for end := time.Now().Add(removalTimeout); time.Now().Before(end) && len(left()) > 0; {
		time.Sleep(statePollInterval)
	}
	if list := left(); len(list) > 0 {
		d.checker.reportViolation("KEPT", "%d rows stay for %s: %s", len(list), removalTimeout, strings.Join(list, ", "))
	}
}

// reportViolation records a violation of a rule.
func (c *checker) reportViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(rule, format, args...)
}

// startOf returns a task of a job that was started, or "".
func (c *checker) startOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.lastStart {
		if strings.HasPrefix(task, id+".") {
			return task
		}
	}
	return ""
}
