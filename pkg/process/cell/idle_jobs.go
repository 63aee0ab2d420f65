package cell

import (
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// Idle jobs: jobs of fillers that can't meet their objective and have nothing running. Fillers reserve no processors, so a
// cell that is busy with fillers counts as mostly free, and each job there has to make progress. Such a job gets one task
// started before other late jobs (package joborder). The task of a large step would never find enough unused
// processors beside smaller ones, so a worker is reserved for it.

// idleReservedDivisor bounds the workers that are reserved for idle jobs: one in idleReservedDivisor usable ones.
const idleReservedDivisor = 4

// trackIdleJobs keeps since when each job with waiting tasks has had nothing running.
func (s *State) trackIdleJobs(now time.Time) {
	checked, idle := map[*jobs.Job]bool{}, map[*jobs.Job]time.Time{}
	for u := range s.waitingUnits {
		if checked[u.Job] {
			continue
		}
		checked[u.Job] = true
		if makesProgress(u.Job) {
			continue
		}
		idle[u.Job] = now
		if since, known := s.idleJobs[u.Job]; known {
			idle[u.Job] = since
		}
	}
	s.idleJobs = idle
}

// makesProgress reports whether a task of a job has a run in this cell, or may have one in a cell to which it is delegated.
func makesProgress(j *jobs.Job) bool {
	return slices.ContainsFunc(j.Units, func(u *jobs.Unit) bool {
		return slices.ContainsFunc(u.Tasks, func(t *jobs.Task) bool { return len(t.Runs) > 0 || (t.DelegatedTo != "" && !t.Done && !j.Delegated()) })
	})
}

// maxIdle is how long a job has nothing running before one of its fillers starts beside others that use the processors which
// it asks for. Work without progress for three seconds beside free capacity counts as lost.
const maxIdle = 2 * time.Second

// idleTooLong reports whether a unit is of a job that can't meet its objective and has had nothing running for maxIdle, and no
// other cell has a place for it.
func (s *State) idleTooLong(now time.Time, u *jobs.Unit) bool {
	since, idle := s.idleJobs[u.Job]
	if !idle || u.Outlook == jobs.OnTime || now.Sub(since) < maxIdle {
		return false
	}
	elsewhere, known := s.placeElsewhere[u]
	if !known {
		peer, _ := s.peerForShort(now, u)
		elsewhere = peer != ""
		s.placeElsewhere[u] = elsewhere
	}
	return !elsewhere
}

// reserveForIdle reserves a worker for a unit of an idle job: of those on which it would fit once the fillers there have ended,
// the one with the most unused processors. Fillers that are placed after the unit can't start there.
func (s *State) reserveForIdle(now time.Time, u *jobs.Unit, service string, usable []*workers.Worker) {
	if len(s.reservedForIdle) >= max(1, len(usable)/idleReservedDivisor) {
		return
	}
	var best *workers.Worker
	for _, w := range usable {
		withoutFillers := w.UnusedMillicores() + w.FillerMillicoresRequested()
		if now.Before(w.NoFillersUntil) || !fillerFits(u, withoutFillers) || s.placementBlocker(now, u, service, w) != blockedByBusyProcessors {
			continue
		}
		if best == nil || w.UnusedMillicores() > best.UnusedMillicores() {
			best = w
		}
	}
	if best != nil {
		s.reservedForIdle[best] = true
	}
}
