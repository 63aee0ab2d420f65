package soak_test

import (
	"fmt"
	"strings"
	"time"
)

// The machines of the workers, as the platform's inventory lists them.

const (
	// maxListingDelay is how long after its start a worker may be missing from the inventory.
	maxListingDelay = 800 * time.Millisecond
	// unlistDelay is how long after its end an incarnation is listed.
	unlistDelay = 300 * time.Millisecond
	// beatsUntilLapse is the number of beats after which the row of an ended incarnation is removed.
	beatsUntilLapse = 3
)

func (w *worker) machine() string { return "m-" + w.id }

// incarnationID returns the id of the incarnation that starts now.
func (w *worker) incarnationID() string {
	if w.newIDs && w.incarnations > 1 {
		return fmt.Sprintf("%s-%d", w.id, w.incarnations)
	}
	return w.id
}

// list lists the machine with a new incarnation, a while after its start. Until then it is listed as before.
func (w *worker) list(l *incarnation) {
	if w.inventory == nil {
		return
	}
	time.AfterFunc(time.Duration(w.rand.Int64N(int64(maxListingDelay))), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == l {
			w.inventory.Set(w.machine(), w.hall, l.id)
		}
	})
}

// unlist lists the machine without an incarnation, a while after its end, or drops it if it is gone for good.
func (w *worker) unlist() {
	if w.inventory == nil {
		return
	}
	time.AfterFunc(unlistDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.gone:
			w.inventory.Remove(w.machine())
		case w.incarnation == nil:
			w.inventory.Set(w.machine(), w.hall, "")
		}
	})
}

// removeLapsedRows removes the rows of incarnations that ended long enough ago.
func (w *worker) removeLapsedRows() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, since := range w.lapsing {
		if time.Since(since) > max(rowTTL, beatsUntilLapse*w.beat) {
			delete(w.lapsing, id)
			w.remove(id)
		}
	}
}

// die ends the worker for good.
func (w *worker) die() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	w.crash()
}

// runsTaskOf returns whether the worker runs a task of a job.
func (w *worker) runsTaskOf(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != nil {
		for task := range w.incarnation.runs {
			if strings.HasPrefix(task, job+".") {
				return true
			}
		}
	}
	return false
}

// freeSlots returns how many more tasks fit.
func (w *worker) freeSlots() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation == nil || !w.leavingUntil.IsZero() {
		return 0
	}
	free := w.availableCPU()
	for _, r := range w.incarnation.runs {
		free -= r.cpu
	}
	return int(max(0, free) / taskCPU)
}
