package soak_test

import "time"

// What makes a worker crash, and what is left of its room.

const (
	// crashAfter is how soon after its start a task crashes its worker that does so.
	crashAfter = 20 * time.Millisecond
	// crashBack is how long the worker is away then.
	crashBack = 1500 * time.Millisecond
)

// crashUnder crashes a life under a task that does that, if it is still there, and begins the next one
// after a while.
func (w *worker) crashUnder(l *life, task string) {
	w.mu.Lock()
	there := w.life == l && l.runs[task] != nil
	w.mu.Unlock()
	if !there {
		return
	}
	w.checker.crashed(task)
	w.crash()
	time.AfterFunc(crashBack, func() {
		select {
		case <-w.over:
		default:
			_ = w.begin() // at the end of a day its address may be gone
		}
	})
}

// room is what the worker has of its processors now.
func (w *worker) room() int64 {
	now := time.Now()
	switch {
	case now.Before(w.none):
		return 0
	case now.Before(w.small):
		return taskCPU
	}
	return workerCPU
}
