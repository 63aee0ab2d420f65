package cell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// The log says what holds start orders back: the window, the pause between placement passes, or records of starts. It also says
// whether answers are late on their way or in this process.

// maxCountedUnits is how many waiting units startable looks at.
const maxCountedUnits = 50

// startDelays sums up the start orders since a time.
type startDelays struct {
	ordered, bytes int64
	// inProcess is the part of the answer times in which this process had no processor, onTheWay the rest.
	onTheWay, inProcess delaySum
	// paused is for how long a placement pass that was due was put off.
	paused time.Duration
}

// answered counts the answer to a start order.
func (d *startDelays) answered(e StartAnswered) {
	if e.Err == nil {
		d.onTheWay.add(e.RoundTrip - e.Lag)
		d.inProcess.add(e.Lag)
	}
}

// noteStarts logs the start orders since the last such line.
func (s *State) noteStarts(now time.Time, span, held time.Duration) {
	d := &s.delays.starts
	if d.ordered == 0 && held == 0 {
		return
	}
	waiting, startable, unrecorded := s.startable(now)
	s.note(Note{Kind: NoteStarts, AgeMs: span.Milliseconds(), Detail: fmt.Sprintf(
		"%d ordered, %d B; %d tasks wait, %d of them have a place, %d wait for a record; held by the window %s, by pauses %s; answers on the way %s; in this process %s; %d of %d B in flight",
		d.ordered, d.bytes, waiting, startable, unrecorded, held.Round(time.Millisecond), d.paused.Round(time.Millisecond), &d.onTheWay, &d.inProcess,
		s.startWindow.InFlight(), s.startWindow.Size(),
	)})
}

// startable returns how many tasks wait, how many of them fit at usable workers together, and how many wait for the record of
// their start. The last two are of the first maxCountedUnits units by name.
func (s *State) startable(now time.Time) (waiting, fit, unrecorded int) {
	free := map[*workers.Worker]ledger.Size{}
	usable := s.usableWorkers(now)
	for _, w := range usable {
		free[w] = w.FreeCapacity()
	}
	units := slices.SortedFunc(maps.Keys(s.waitingUnits), func(a, b *jobs.Unit) int { return cmp.Compare(a.Name(), b.Name()) })
	for i, u := range units {
		tasks := u.Waiting(now)
		waiting += len(tasks)
		if i >= maxCountedUnits {
			continue
		}
		size, service := workers.ReservedSize(u), s.serviceOf(u.Job)
		for _, t := range tasks {
			if t.StartRecord == jobs.StartRecordWanted {
				unrecorded++
				continue
			}
			for _, w := range usable {
				if size.Fits(free[w]) && s.fits(now, u, service, w) {
					free[w] = free[w].Minus(size)
					fit++
					break
				}
			}
		}
	}
	return waiting, fit, unrecorded
}
