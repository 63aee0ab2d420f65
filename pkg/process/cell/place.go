package cell

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
)

// Placement. Units that have tasks to start are taken in the order of what
// their jobs still earn: first those of a higher priority, among equals those
// that can still meet their objective (else, under overload, all that is started
// ends late), the nearest first; jobs that are past all credit last. Each task goes to
// the usable worker where it leaves the least room (so that large holes stay
// for large tasks), or, for a filler, where most processors are unused.

const (
	// defaultStretch and defaultSlack stand in for a queue that no manifest
	// names any more.
	defaultStretch = 2.0
	defaultSlack   = time.Second
	// hopelessAfter times its objective a job earns nothing any more (as users
	// count it).
	hopelessAfter = 3.0
)

// candidate is a unit with its place in the order.
type candidate struct {
	unit     *jobs.Unit
	outlook  jobs.Outlook
	priority int
	due      time.Time
}

// place starts what may start and has room.
func (s *State) place(now time.Time) {
	if !s.placeNow || s.manifest == nil || len(s.workers) == 0 {
		return
	}
	s.placeNow = false
	s.roomy = s.isRoomy(now)
	s.press.Merge(now)
	clear(s.neighbours)
	clear(s.harms)
	clear(s.held)
	s.closeForTrials(now)
	usable := s.usableWorkers(now)
	for _, c := range s.queueOrder(now) {
		if len(usable) == 0 || !s.mayOrder(now) {
			return
		}
		pool := usable
		if _, needs := s.advised(c.unit); needs {
			pool = s.ticketed(now, c.unit, usable)
		}
		if c.unit.Spec.GetGang() {
			s.placeGang(now, c.unit, pool)
			continue
		}
		s.placeTasks(now, c.unit, pool)
	}
}

func (s *State) queueOrder(now time.Time) []candidate {
	list := make([]candidate, 0, len(s.waiting))
	for u := range s.waiting {
		list = append(list, s.candidate(now, u))
	}
	sort.Slice(list, func(a, b int) bool { return list[a].before(list[b]) })
	return list
}

func (s *State) candidate(now time.Time, u *jobs.Unit) candidate {
	j := u.Job
	s.estimate(now, j)
	q := s.queue(j)
	objective := time.Duration(float64(j.WholeChain())*q.Stretch) + q.Slack
	since := j.AcceptedAt
	if j.Spec.GetRepeats() > 0 {
		since = now.Add(-s.wall.Sub(j.DueAt(u.Time)))
	}
	c := candidate{unit: u, priority: q.Priority, due: since.Add(objective)}
	switch {
	case u.Lasting() || !s.has(OrderByOutlook):
	case now.Sub(since) > time.Duration(hopelessAfter*float64(objective)):
		c.outlook = jobs.Hopeless
	case now.Add(j.Chain(u.Step)).After(c.due):
		c.outlook = jobs.Late
	}
	u.Outlook = c.outlook
	return c
}

func (c candidate) before(d candidate) bool {
	switch {
	case (c.outlook == jobs.Hopeless) != (d.outlook == jobs.Hopeless):
		return d.outlook == jobs.Hopeless
	case c.priority != d.priority:
		return c.priority < d.priority
	case c.outlook != d.outlook:
		return c.outlook < d.outlook
	case !c.due.Equal(d.due):
		return c.due.Before(d.due)
	}
	return c.unit.Name() < d.unit.Name()
}

// queue is what the manifest says of a job's queue, or stands in for it.
func (s *State) queue(j *jobs.Job) manifest.Queue {
	if q, ok := s.manifest.Queue(j.Spec.GetQueue()); ok {
		return q
	}
	return manifest.Queue{Service: j.Spec.GetService(), Stretch: defaultStretch, Slack: defaultSlack}
}

// usable says whether a worker takes new work now. Where its life began under this leader, this
// process must have led the cell after it heard of that: a worker that has just started again
// would take orders of a leader that was deposed, too, until its successor has been there.
func (s *State) usable(now time.Time, w *workers.Worker) bool {
	return !s.confirmed(now).Before(w.SureFrom) && w.Usable(now, heardWithin) && s.roster[w.ID] && !w.Dropped && !w.RunsKnown && !s.aside(now, w)
}

// aside says whether a worker is left alone for what became of its runs.
func (s *State) aside(now time.Time, w *workers.Worker) bool {
	return s.has(Quarantine) && w.Health.Aside(now)
}

func (s *State) usableWorkers(now time.Time) []*workers.Worker {
	list := make([]*workers.Worker, 0, len(s.workers))
	for _, w := range s.sorted() {
		if s.usable(now, w) {
			list = append(list, w)
		}
	}
	return list
}

func (s *State) placeTasks(now time.Time, u *jobs.Unit, usable []*workers.Worker) {
	service := s.service(u.Job)
	for _, t := range u.Waiting(now) {
		if !s.mayOrder(now) {
			return
		}
		w := s.choose(now, t, service, usable)
		if w == nil && t.Choosy() {
			s.tellWait(now, t, service, usable)
			continue // the others of its step need no trial
		}
		if w == nil {
			s.holdFor(now, t, service, usable)
			s.tellWait(now, t, service, usable)
			return
		}
		s.start(now, w, t, s.nextRun(), s.ticket(u, w))
	}
	if !wantsStart(u) {
		delete(s.waiting, u)
	}
}

// holdAfter is how long a lasting task waits before room is held for it. A worker that is
// held is lost to short tasks until it has room enough, and those earn more there
// meanwhile: so first it is seen whether room comes up by itself, for some short tasks'
// time.
const holdAfter = 2500 * time.Millisecond

// holdFor keeps the worker that is nearest to having room for a lasting task
// free of short ones. Those come and go, and each takes a little of the room
// that a large task waits for.
func (s *State) holdFor(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) {
	u := t.Unit
	if !s.has(HeldRoom) || !u.Lasting() || now.Sub(waitsSince(t)) < holdAfter {
		return
	}
	var best *workers.Worker
	for _, w := range usable {
		if s.held[w] || w.Service != service || !w.HasLabel(u.Spec.GetLabel()) || !u.Size.Fits(w.Capacity.Minus(w.Lasting())) {
			continue
		}
		if most := int(u.Spec.GetSpread()); most > 0 && w.CountOf(u) >= most {
			continue
		}
		if best == nil || w.Free().Millicores > best.Free().Millicores {
			best = w
		}
	}
	if best != nil {
		s.held[best] = true
	}
}

// choose picks the worker for a task; nil: none has room.
func (s *State) choose(now time.Time, t *jobs.Task, service string, usable []*workers.Worker) *workers.Worker {
	if s.awaitsRecord(now, t) || (s.tooWideToTry(t.Unit) && s.awaitsWord(now, t)) {
		return nil
	}
	if s.triedAlone(t) {
		return s.chooseForTrial(now, t, service, usable)
	}
	var best *workers.Worker
	bestScore := 0.0
	accused := t.Choosy()
	for _, w := range usable {
		if !s.fits(now, t.Unit, service, w) || (accused && awaitsHost(now, t, w, usable)) {
			continue
		}
		score := s.score(t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fits says whether one more task of a unit may go to a worker.
func (s *State) fits(now time.Time, u *jobs.Unit, service string, w *workers.Worker) bool {
	return s.lacks(now, u, service, w) == lacksNothing
}

const (
	// farPenalty weighs a worker away from the data against room left: more
	// than any room can make up for.
	farPenalty = 10.0
	// avoidPenalty is for the worker where the task failed last, and hosts that crashed under it.
	avoidPenalty = 20.0
	// harmWeight weighs what a filler costs its neighbours against unused
	// processors.
	harmWeight = 1.0
	// alikeWeight is for serving tasks beside others of their image, against
	// room left: holes that are too small for the next one cost more.
	alikeWeight = 3.0
)

// score ranks the workers that a task fits on; the highest is taken.
func (s *State) score(t *jobs.Task, w *workers.Worker) float64 {
	score := 0.0
	u := t.Unit
	total := float64(max(1, w.Capacity.Millicores))
	switch {
	case t.Suspected():
		score = suspectScore(w)
	case u.Spec.GetFiller():
		score = float64(w.Unused())/total - harmWeight*s.fillerHarm(u, w)
	case u.Spec.GetTailTargetMs() > 0:
		score = -float64(w.Free().Millicores)/total + s.alikeScore(u, w)
	default:
		score = -float64(w.Free().Millicores) / total
	}
	if rack := u.Spec.GetRack(); rack != "" && w.Rack != rack && !w.HasLabel(rack) {
		score -= farPenalty
	}
	if t.AvoidWorker == w.ID || (t.Choosy() && t.CrashedAt(w.Host)) {
		score -= avoidPenalty
	}
	return score
}

// alikeScore draws a serving task to others that the same fillers press on, else to
// a worker where nobody serves: fillers that do no harm to one image may harm
// another, so that workers of one kind each leave every filler a place.
func (s *State) alikeScore(u *jobs.Unit, w *workers.Worker) float64 {
	if !w.Serving() || !s.has(ServingByImage) {
		return 0
	}
	sum, all := 0.0, 0
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
			all++
			sum += s.press.Alike(r.Task.Unit.Image(), u.Image())
		}
	}
	return alikeWeight * (2*sum/float64(all) - 1)
}

// placeGang starts all tasks of a gang as one run, or none.
func (s *State) placeGang(now time.Time, u *jobs.Unit, usable []*workers.Worker) {
	waiting := u.Waiting(now)
	if len(waiting) < len(u.Tasks) {
		return // some still run: their ends come first
	}
	pool := usable
	if u.Spec.GetSameRack() {
		pool = s.bestRack(now, u, usable)
	}
	if !s.startGang(now, u, pool) && u.Spec.GetSameRack() {
		s.startGang(now, u, usable)
	}
}

// startGang tries the gang on the pool; what it reserves is given back if not
// all of it fits.
func (s *State) startGang(now time.Time, u *jobs.Unit, pool []*workers.Worker) bool {
	if !s.mayTryGang(u) {
		return false
	}
	service := s.service(u.Job)
	chosen := make([]*workers.Worker, 0, len(u.Tasks))
	held := make([]*jobs.Run, 0, len(u.Tasks))
	release := func() {
		for i, r := range held {
			chosen[i].Remove(r)
		}
	}
	for _, t := range u.Tasks {
		w := s.choose(now, t, service, pool)
		if w == nil {
			release()
			return false
		}
		r := &jobs.Run{Task: t, Worker: w.ID}
		w.Add(r)
		chosen, held = append(chosen, w), append(held, r)
	}
	release()
	number := s.nextRun()
	checkpoint := gangCheckpoint(u)
	for i, t := range u.Tasks {
		t.Checkpoint = checkpoint
		s.start(now, chosen[i], t, number, s.ticket(u, chosen[i]))
	}
	delete(s.waiting, u)
	return true
}

// gangCheckpoint is the one text that all members bring: any member's is good
// for all, the greatest is as new as any that can be told apart.
func gangCheckpoint(u *jobs.Unit) string {
	for _, t := range u.Tasks {
		if t.Checkpoint != "" {
			return t.Checkpoint
		}
	}
	return ""
}

// bestRack returns the workers of the rack with the most room for a unit.
func (s *State) bestRack(now time.Time, u *jobs.Unit, usable []*workers.Worker) []*workers.Worker {
	racks := map[string][]*workers.Worker{}
	for _, w := range usable {
		if s.fits(now, u, s.service(u.Job), w) {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
	}
	var best []*workers.Worker
	bestFree := int64(-1)
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		list := racks[rack]
		free := int64(0)
		for _, w := range list {
			free += w.Free().Millicores
		}
		if rack == u.Spec.GetRack() && rack != "" {
			free *= 4 // where the data lies, if it has any room to speak of
		}
		if free > bestFree {
			best, bestFree = list, free
		}
	}
	return best
}
