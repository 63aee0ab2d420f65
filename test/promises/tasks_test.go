package promises_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/request/gateway"
	"github.com/wrenferry/wrenferry/pkg/standin"
)

// Promises about tasks: no host is overcommitted, no task runs in two places, evicted work resumes
// exactly once, and a job that is not repeatable runs at most once.

const work2s = `{"runMs": 2000}`

// jobsFleet starts two entry hosts and two workers in one hall.
func jobsFleet(t *testing.T, options ...option) *fleet {
	t.Helper()
	f := newFleet(t, []string{"a1", "a2"}, options...)
	f.startWorker("w1", "a")
	f.startWorker("w2", "a")
	f.ready()
	return f
}

// otherEntry returns the entry host of hall a that does not lead.
func otherEntry(leader string) string {
	if leader == "a1" {
		return "a2"
	}
	return "a1"
}

// checkTasks checks the promises that hold in every test of tasks.
func (f *fleet) checkTasks() {
	f.t.Helper()
	must.SliceEmpty(f.t, f.duplicateExecutions())
	must.SliceEmpty(f.t, f.overcommittedWorkers())
	must.SliceEmpty(f.t, f.checkpointsResumedTwice())
	for task, n := range f.finishCounts() {
		must.Eq(f.t, 1, n, must.Sprintf("task %s finished %d times", task, n))
	}
}

func TestHostsAreNeverOvercommitted(t *testing.T) {
	f := jobsFleet(t)
	floodEvictAndKill(f)
	f.checkTasks()
}

func TestHostsAreNeverOvercommittedNeedsTheLedger(t *testing.T) {
	f := jobsFleet(t, without("ledger"))
	e := f.entries["a1"]
	f.submit(e, "ingest", "flood", `{"runMs": 500}`, 40)
	f.awaitJob(e, "flood", "done")
	must.SliceNotEmpty(t, f.overcommittedWorkers())
}

// floodEvictAndKill submits far more tasks than fit, evicts some by urgent work, kills the leader and
// restarts a worker.
func floodEvictAndKill(f *fleet) {
	leader := f.leader("a")
	e := f.entries[otherEntry(leader)]
	f.submit(e, "ingest", "flood", `{"runMs": 400}`, 60)
	f.until("some run", func() bool { return len(f.startCounts()) >= 8 })
	f.submit(e, "urgent", "rush", `{"runMs": 200}`, 2)
	f.entries[leader].kill()
	f.until("some more run", func() bool { return len(f.startCounts()) >= 16 })
	f.killWorker("w1")
	f.startWorker("w1", "a")
	f.awaitJob(e, "rush", "done")
	f.awaitJob(e, "flood", "done")
}

func TestLeaderKilled(t *testing.T) {
	f := jobsFleet(t, longLease)
	leader := f.leader("a")
	e := f.entries[otherEntry(leader)]
	f.submit(e, "ingest", "j", work2s, 6)
	f.until("all run", func() bool { return len(f.startCounts()) == 6 })
	f.entries[leader].kill()
	f.awaitJob(e, "j", "done")
	f.checkTasks()
	for task, n := range f.startCounts() {
		must.Eq(t, 1, n, must.Sprintf("%s: the leader's death must not restart a running task", task))
	}
}

func TestLeaderFrozenBeyondItsLease(t *testing.T) {
	f := jobsFleet(t)
	leader := f.leader("a")
	e := f.entries[otherEntry(leader)]
	f.submit(e, "ingest", "j", `{"runMs": 6000}`, 8)
	f.until("all run", func() bool { return len(f.startCounts()) == 8 })
	f.entries[leader].signal(syscall.SIGSTOP)
	f.until("the other leads", func() bool { return e.status().Leading })
	f.entries[leader].signal(syscall.SIGCONT)
	f.awaitJob(e, "j", "done")
	f.checkTasks()
	f.until("the old leader follows", func() bool { return !f.entries[leader].status().Leading })
}

func TestWorkerFrozenBeyondItsLease(t *testing.T) {
	f := jobsFleet(t)
	moveOffFrozenWorker(f)
	f.checkTasks()
}

func TestWorkerFrozenBeyondItsLeaseNeedsTheLease(t *testing.T) {
	f := newFleet(t, []string{"a1", "a2"})
	f.startWorker("w1", "a", "--no-lease")
	f.startWorker("w2", "a", "--no-lease")
	f.ready()
	moveOffFrozenWorker(f)
	must.SliceNotEmpty(t, f.duplicateExecutions())
}

// moveOffFrozenWorker freezes the worker that runs a task, and resumes the worker once the task has
// started on another one.
func moveOffFrozenWorker(f *fleet) {
	e := f.entries["a1"]
	f.submit(e, "ingest", "j", `{"runMs": 4000}`, 1)
	f.until("it runs", func() bool { return f.runningExecution("j.0") != nil })
	frozen := f.runningExecution("j.0").host
	f.workers[frozen].signal(syscall.SIGSTOP)
	f.until("it runs elsewhere", func() bool {
		for _, s := range f.executions() {
			if s.host != frozen {
				return true
			}
		}
		return false
	})
	f.workers[frozen].signal(syscall.SIGCONT)
	f.awaitJob(e, "j", "done")
	time.Sleep(200 * time.Millisecond) // let the resumed worker write its record
}

// partitionLeader cuts the leader off from the platform and from the free worker; it keeps the busy
// one. The next leader reaches only the free worker, and must not start a task on it that may still
// run under the old leader's leases.
func partitionLeader(f *fleet) {
	leader := f.leader("a")
	e := f.entries[otherEntry(leader)]
	f.submit(e, "ingest", "j", `{"runMs": 12000}`, 1)
	f.until("it runs", func() bool { return f.runningExecution("j.0") != nil })
	busy := f.runningExecution("j.0").host
	free := map[string]string{"w1": "w2", "w2": "w1"}[busy]
	f.fault(f.workers[busy], standin.Faults{Cut: []string{"entry-" + otherEntry(leader)}})
	f.fault(f.workers[free], standin.Faults{Cut: []string{"entry-" + leader}})
	f.fault(f.platform, standin.Faults{Cut: []string{"entry-" + leader}})
	f.until("the other leads", func() bool { return e.status().Leading })
	f.awaitJob(e, "j", "done")
}

func TestLeaderCutFromThePlatform(t *testing.T) {
	f := jobsFleet(t)
	partitionLeader(f)
	f.checkTasks()
}

func TestLeaderCutFromThePlatformNeedsTheTenureWait(t *testing.T) {
	f := jobsFleet(t, without("tenure-wait"))
	partitionLeader(f)
	must.SliceNotEmpty(t, f.duplicateExecutions())
}

// delayStarts delays a start message. The message must have no effect after newer ones, although its
// lease is still valid.
func delayStarts(f *fleet) {
	e := f.entries["a1"]
	f.fault(f.workers["w1"], standin.Faults{HoldMS: 4000, HoldCalls: 1})
	f.submit(e, "ingest", "j", `{"runMs": 300}`, 4)
	f.awaitJob(e, "j", "done")
	time.Sleep(4 * time.Second) // let the delayed message arrive
}

func TestDelayedStartHasNoEffect(t *testing.T) {
	f := newFleet(t, []string{"a1"}, longLease)
	f.startWorker("w1", "a")
	f.ready()
	delayStarts(f)
	f.checkTasks()
}

func TestDelayedStartHasNoEffectNeedsTheSequence(t *testing.T) {
	f := newFleet(t, []string{"a1"}, longLease)
	f.startWorker("w1", "a", "--no-sequence")
	f.ready()
	delayStarts(f)
	must.SliceNotEmpty(t, f.duplicateExecutions())
}

// Tasks continue during a platform outage longer than every lease, and placements committed before
// it start.
func TestPlatformOutageLongerThanLeases(t *testing.T) {
	f := jobsFleet(t)
	e := f.entries["a1"]
	f.submit(e, "ingest", "j", `{"runMs": 1500}`, 12)
	f.until("eight run", func() bool { return len(f.startCounts()) >= 8 })
	leader := f.entries[f.leader("a")]
	f.until("the rest is committed ahead", func() bool {
		c := leader.status().Counts
		return c.Waiting == 0 && c.Unwritten == 0
	})
	f.fault(f.platform, standin.Faults{Outage: true})
	f.until("those ahead run too", func() bool { return len(f.startCounts()) == 12 })
	time.Sleep(2 * time.Second)
	f.fault(f.platform, standin.Faults{})
	f.awaitJob(e, "j", "done")
	f.checkTasks()
	for task, n := range f.startCounts() {
		must.Eq(t, 1, n, must.Sprintf("the outage must not restart %s", task))
	}
}

func TestPlatformSlow(t *testing.T) {
	f := jobsFleet(t)
	f.fault(f.platform, standin.Faults{DelayMS: 900})
	e := f.entries["a1"]
	f.submit(e, "ingest", "j", `{"runMs": 500}`, 6)
	f.awaitJob(e, "j", "done")
	f.checkTasks()
}

// The answer to a write is lost after the write took effect, for each kind of row.
func TestAnswersLostAtEachKindOfWrite(t *testing.T) {
	for _, key := range []string{"leader/", "job/", "inbox/", "task/", "worker/"} {
		t.Run(strings.TrimSuffix(key, "/"), func(t *testing.T) {
			f := newFleet(t, []string{"a1", "a2"})
			f.fault(f.platform, standin.Faults{LoseAnswers: 3, LoseKey: key})
			f.startWorker("w1", "a")
			f.ready()
			e := f.entries["a1"]
			f.submit(e, "ingest", "j", `{"runMs": 100}`, 3)
			f.awaitJob(e, "j", "done")
			f.checkTasks()
			for task, n := range f.startCounts() {
				must.Eq(t, 1, n, must.Sprintf("%s", task))
			}
		})
	}
}

// restartWorkerUnderJobs kills and restarts a worker that runs a billed job and a repeatable one. The
// billed job may have run, so it must end as unknown; the repeatable job runs again.
func restartWorkerUnderJobs(f *fleet) {
	e := f.entries["a1"]
	f.submit(e, "billed", "once", `{"runMs": 3000}`, 1)
	f.until("it runs", func() bool { return f.runningExecution("once.0") != nil })
	host := f.runningExecution("once.0").host
	f.submit(e, "ingest", "again", `{"runMs": 3000}`, 4)
	f.until("all run", func() bool { return len(f.startCounts()) == 5 })
	f.killWorker(host)
	f.startWorker(host, "a")
	f.awaitJob(e, "again", "done")
	f.until("the billed job has ended", func() bool {
		state := e.job("once").State
		return state != "accepted" && state != "claimed"
	})
}

func TestBilledJobRunsAtMostOnce(t *testing.T) {
	f := jobsFleet(t)
	restartWorkerUnderJobs(f)
	f.checkTasks()
	must.Eq(t, 1, f.startCounts()["once.0"])
	must.Eq(t, "unknown", f.entries["a1"].job("once").State)
}

func TestBilledJobRunsAtMostOnceNeedsTheRepeatableSetting(t *testing.T) {
	f := jobsFleet(t, without("repeatable"))
	restartWorkerUnderJobs(f)
	must.Eq(t, 2, f.startCounts()["once.0"])
}

func TestManyCancellationsDuringAnEviction(t *testing.T) {
	f := jobsFleet(t)
	leader := f.leader("a")
	e := f.entries[otherEntry(leader)]
	for i := range 8 {
		f.submit(e, "ingest", fmt.Sprintf("j%d", i), `{"runMs": 60000}`, 1)
	}
	f.until("all run", func() bool { return len(f.startCounts()) == 8 })
	f.submit(e, "urgent", "rush", `{"runMs": 300}`, 1)
	for i := range 8 {
		f.until("cancelled", func() bool {
			return call(http.MethodDelete, fmt.Sprintf("http://%s/v1/jobs/j%d", e.callers, i), nil, "").status == http.StatusAccepted
		})
	}
	for i := range 8 {
		f.awaitJob(e, fmt.Sprintf("j%d", i), "cancelled")
	}
	f.awaitJob(e, "rush", "done")
	f.checkTasks()
}

// A key identifies one job at all entry hosts. A submission with the same key and another body is
// rejected, and so is a job larger than any host.
func TestJobKeys(t *testing.T) {
	f := jobsFleet(t)
	a, b := f.entries["a1"], f.entries["a2"]
	f.submit(a, "ingest", "k", `{"runMs": 100}`, 1)
	f.submit(b, "ingest", "k", `{"runMs": 100}`, 1)
	again := call(http.MethodPost, "http://"+b.callers+"/v1/jobs/desk/ingest", map[string]string{gateway.KeyHeader: "k"}, `{"runMs": 200}`)
	must.Eq(t, http.StatusConflict, again.status)
	huge := call(http.MethodPost, "http://"+b.callers+"/v1/jobs/desk/huge", map[string]string{gateway.KeyHeader: "h"}, `{}`)
	must.Eq(t, http.StatusBadRequest, huge.status)
	must.StrContains(t, string(huge.body), "larger than any host")
	f.awaitJob(b, "k", "done")
	must.Eq(t, 1, f.startCounts()["k.0"])
}
