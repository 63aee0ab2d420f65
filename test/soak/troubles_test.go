package soak_test

import "time"

// What makes a worker crash, and what is left of its room.

const (
	// crashAfter is how soon after its start a task crashes its worker that does so.
	crashAfter = 20 * time.Millisecond
	// crashRestartDelay is how long the worker is away then.
	crashRestartDelay = 1500 * time.Millisecond
)

// crashDuring crashes a life under a task that does that, if it is still there, and begins the next one
// after a while.
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
			_ = w.startIncarnation() // at the end of a day its address may be gone
		}
	})
}

// availableCPU is what the worker has of its processors now.
func (w *worker) availableCPU() int64 {
	now := time.Now()
	switch {
	case now.Before(w.noRoomUntil):
		return 0
	case now.Before(w.smallUntil):
		return taskCPU
	}
	return workerCPU
}
