package cell

import (
	"sort"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/joborder"
	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// The order in which waiting units are placed. Package joborder decides it; this file collects what it is decided by.

// rankedUnit is a unit with its place in the order of placement. A unit of lasting tasks some of which are overdue has two
// places: that of the overdue ones, and that of all others.
type rankedUnit struct {
	unit *jobs.Unit
	joborder.Work
}

// rankedUnits returns the units with waiting tasks, in the order in which they are placed.
func (s *State) rankedUnits(now time.Time) []rankedUnit {
	list := make([]rankedUnit, 0, len(s.waitingUnits))
	workLeft, lowest := map[*jobs.Job]int64{}, 0
	s.trackIdleJobs(now)
	for u := range s.waitingUnits {
		c := s.rankUnit(now, u, workLeft)
		since, idle := s.idleJobs[u.Job]
		c.Idle, c.IdleSince = idle && u.Spec.GetFiller() && c.Outlook != jobs.OnTime, since
		lowest = max(lowest, c.Priority)
		list = append(list, c)
		if since, found := firstOverdue(now, u); found {
			c.Overdue, c.Due = true, since
			list = append(list, c)
		}
	}
	for i := range list {
		if list[i].Idle && list[i].Outlook == jobs.Hopeless {
			list[i].Priority = lowest // it earns nothing, whatever its queue
		}
	}
	if !joborder.Overloaded(workLeft, s.fillerMillicores(now)) {
		for i := range list {
			list[i].WorkLeft = 0
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Before(list[b].Work) })
	return list
}

// rankUnit returns a unit with its place in the order: by the priority of its queue, when its job is due, whether the job
// can still meet its objective (its outlook, which is stored in the unit, too), and the work that its fillers have left.
// workLeft holds that work of the jobs ranked so far.
func (s *State) rankUnit(now time.Time, u *jobs.Unit, workLeft map[*jobs.Job]int64) rankedUnit {
	j := u.Job
	s.refreshEstimate(now, j)
	objective := s.objectiveOf(j)
	since := j.AcceptedAt
	if j.Spec.GetRepeats() > 0 {
		since = now.Add(-s.wall.Sub(j.DueAt(u.Time)))
	}
	c := rankedUnit{unit: u, Work: joborder.Work{Name: u.Name(), Priority: s.queueOf(j).Priority, Due: since.Add(objective)}}
	c.Yields = u.Lasting() && s.urgentWaits(s.serviceOf(j))
	if !u.Lasting() && s.enabled(OrderByOutlook) {
		c.Outlook = joborder.OutlookOf(now, since, objective, j.ChainFrom(u.Step))
	}
	u.Outlook = c.Outlook
	if u.Spec.GetFiller() && c.Outlook == jobs.OnTime && s.enabled(LeastWorkFirst) {
		if _, known := workLeft[j]; !known {
			workLeft[j] = s.fillerWorkLeft(j)
		}
		c.WorkLeft = workLeft[j]
	}
	return c
}

// fillerMillicores returns the processors that fillers can use in the cell: those that they use and those left unused.
func (s *State) fillerMillicores(now time.Time) int64 {
	sum := int64(0)
	for _, w := range s.usableWorkers(now) {
		sum += max(0, w.UnusedMillicores()+w.FillerMillicoresRequested())
	}
	return sum
}

// fillerWorkLeft returns the work of a job's fillers that has not ended, in millicore milliseconds, without the tasks
// that were delegated to other cells. Of a running task, half is assumed to be left.
func (s *State) fillerWorkLeft(j *jobs.Job) int64 {
	left := int64(0)
	for _, u := range j.Units {
		if !u.Spec.GetFiller() {
			continue
		}
		each := s.estimatedTaskTime(u).Milliseconds() * u.Size.Millicores
		for _, t := range u.Tasks {
			switch {
			case t.Done || t.DelegatedTo != "":
			case len(t.Runs) > 0:
				left += each / 2
			default:
				left += each
			}
		}
	}
	return left
}
