package soak_test

import "time"

// Worker crashes caused by tasks, and faults of a worker's capacity.

const (
	// crashAfter is the time from the start of a crashing task to the crash of its worker.
	crashAfter = 20 * time.Millisecond
	// crashRestartDelay is the time from such a crash to the worker's next incarnation.
	crashRestartDelay = 1500 * time.Millisecond
)

// crashDuring crashes an incarnation if it still runs a task that crashes workers, and starts the next
// incarnation after crashRestartDelay.
func (w *worker) crashDuring(l *incarnation, task string) {
	w.mu.Lock()
	there := w.incarnation == l && l.runs[task] != nil
	w.mu.Unlock()
	if !there {
		return
	}
	w.checker.crashed(task)
	w.crash()
	time.AfterFunc(crashRestartDelay, func() {
		select {
		case <-w.dayOver:
		default:
			_ = w.startIncarnation() // at the end of a day its address may be taken
		}
	})
}

// availableCPU returns the CPU capacity that the worker has now.
func (w *worker) availableCPU() int64 {
	now := time.Now()
	switch {
	case now.Before(w.noCapacityUntil):
		return 0
	case now.Before(w.smallUntil):
		return taskCPU
	}
	return workerCPU
}
