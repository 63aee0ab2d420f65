package hall_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/hall"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// A task that was committed ahead to a full worker moves when another worker has
// enough capacity.
func TestTaskCommittedAheadMovesToWorkerWithRoom(t *testing.T) {
	d := newDriver(t, 2, capacityTree)
	d.runFor = time.Hour
	d.workers["w001"].unreachable = true
	d.submit("j", "ingest", 18, taskSize) // 16 fit on one worker
	d.until(t, "one worker is full", func() bool { return d.state.Counts().Running == 16 })
	d.until(t, "two tasks are committed ahead", func() bool { return d.state.Counts().Placed == 2 })
	d.workers["w001"].unreachable = false
	d.until(t, "all tasks run", func() bool { return d.state.Counts().Running == 18 })
	must.Positive(t, d.reasonCounts[hall.TaskMoved])
}

// Evictions for a large urgent task free capacity piece by piece. That capacity
// goes to the urgent task, and not to smaller tasks that wait behind it.
func TestRoomFromEvictionsGoesToUrgentTask(t *testing.T) {
	tree := strings.Replace(capacityTree, `"ingest"`, `"urgent": {"type": "job", "repeatable": true, "priority": 9, "millicores": 12000}, "ingest"`, 1)
	for _, when := range []string{"before the batch tasks run", "while the batch tasks run"} {
		t.Run(when, func(t *testing.T) {
			d := newDriver(t, 1, tree)
			d.stopOneAtATime = true
			d.durationOf = func(task string) time.Duration {
				if strings.HasPrefix(task, "rush") {
					return time.Second
				}
				return time.Hour
			}
			d.submit("flood", "ingest", 40, taskSize) // 16 fit
			d.until(t, "16 tasks are placed", func() bool { return d.reasonCounts[hall.TaskPlaced] == 16 })
			if when == "while the batch tasks run" {
				d.until(t, "16 tasks run", func() bool { return d.state.Counts().Running == 16 })
			}
			d.submit("rush", "urgent", 1, &wire.Size{Millicores: 12000, MemoryMb: 4000})
			d.until(t, "the urgent task is done", func() bool { return d.jobState("rush") == wire.JobState_JOB_STATE_DONE })
			must.LessEq(t, 6, d.reasonCounts[hall.TaskEvicted], must.Sprint("room for the urgent task takes six evictions"))
		})
	}
}

// A worker where every task fails is quarantined, and the jobs are done on the
// other workers.
func TestWorkerFailingAllTasksIsQuarantined(t *testing.T) {
	d := newDriver(t, 4, capacityTree)
	d.workers["w000"].failAll = true
	for i := range 20 {
		d.submit(fmt.Sprintf("j%d", i), "ingest", 4, taskSize)
	}
	d.until(t, "all jobs are done", func() bool {
		for i := range 20 {
			if d.jobState(fmt.Sprintf("j%d", i)) != wire.JobState_JOB_STATE_DONE {
				return false
			}
		}
		return true
	})
	must.Eq(t, 1, d.reasonCounts[hall.WorkerQuarantined])
}

// A job whose kind fails on every worker fails, and no worker is quarantined.
func TestKindFailingOnAllWorkersFailsItsJob(t *testing.T) {
	d := newDriver(t, 6, capacityTree)
	for _, w := range d.workers {
		w.failAll = true
	}
	d.submit("j", "ingest", 90, taskSize)
	d.until(t, "the job has failed", func() bool { return d.jobState("j") == wire.JobState_JOB_STATE_FAILED })
	must.Zero(t, d.reasonCounts[hall.WorkerQuarantined])
}

// A task larger than every worker ends in the state NEVER.
func TestTaskLargerThanEveryWorkerIsRejected(t *testing.T) {
	d := newDriver(t, 2, capacityTree)
	d.submit("j", "ingest", 1, &wire.Size{Millicores: 64000})
	d.until(t, "the job ends as one that never fits", func() bool { return d.jobState("j") == wire.JobState_JOB_STATE_NEVER })
}

// The tasks of a team at its quota wait, though workers have free capacity.
func TestTeamAtItsQuotaWaits(t *testing.T) {
	tree := strings.Replace(capacityTree, `{"t": {`, `{"t": {"quotaMillicores": 10000, `, 1)
	d := newDriver(t, 2, tree)
	d.runFor = time.Hour
	d.submit("j", "ingest", 12, taskSize)
	d.advance(5 * time.Second)
	must.Eq(t, 5, d.state.Counts().Running)
	must.Positive(t, d.reasonCounts[hall.TaskOverQuota])
}

// When a service misses its latency target, the task on its worker is throttled,
// and then evicted. One late sample leads to one action.
func TestThrottleThenEvict(t *testing.T) {
	tree := strings.Replace(capacityTree, `"ingest"`, `"quick": {"targetLatency": "100ms"}, "ingest"`, 1)
	d := newDriver(t, 1, tree)
	d.runFor = time.Hour
	d.submit("j", "ingest", 1, taskSize)
	d.until(t, "the task runs", func() bool { return d.state.Counts().Running == 1 })
	d.advance(5 * time.Second)
	d.workers["w000"].samples = []*wire.ServiceSample{{Service: "desk", TailMs: 300, AgeMs: 0}}
	d.until(t, "the task is throttled", func() bool { return d.reasonCounts[hall.TaskThrottled] == 1 })
	d.advance(time.Second)
	must.Zero(t, d.reasonCounts[hall.TaskEvicting])
	d.until(t, "the task is evicted", func() bool { return d.reasonCounts[hall.TaskEvicting] == 1 })
}
