// Package joborder decides in which order waiting work starts: by priority, then jobs that can still meet their
// objective before jobs that can't, then, under overload, fillers by the work that their job has left, then earliest due
// first. Jobs that earn nothing any more come last of all, unless they have nothing running.
//
// Load pattern: for many seconds, fillers ask for more processors than there are. Earliest due first then starts each
// job when it is about to be late, and has many jobs half done. With the least work left first, jobs that have begun are
// completed, and as many as possible end in time. Late jobs yield, because every job would end late otherwise. Among
// late jobs those that have nothing running come first: which of them ends earlier earns little, and no job stands still.
//
// The package makes no calls and reads no clock.
package joborder

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// hopelessFactor is the multiple of its objective after which a job earns nothing any more, by the users' rules.
const hopelessFactor = 3.0

// Work is one step of a job that waits for starts.
type Work struct {
	Name string
	// Priority is that of the queue: 0 comes first.
	Priority int
	Outlook  jobs.Outlook
	// Idle is set for fillers of a job that can't meet its objective and has nothing running. They come before those of other
	// such jobs, so that each job makes progress, and after all work that can still end in time. IdleSince is since when.
	Idle      bool
	IdleSince time.Time
	// Overdue is set for lasting tasks close to the longest wait that their callers accept. They come before all other work, in
	// the order of Due.
	Overdue bool
	// Yields is set for lasting tasks while urgent ones wait in a cell that keeps capacity for these: they come after all
	// other work of their priority that can still earn something.
	Yields bool
	// WorkLeft is the work that the job's fillers have left, in millicore milliseconds, for fillers of a job that can
	// still meet its objective under overload. It is 0 for all other work, which comes first.
	WorkLeft int64
	Due      time.Time
}

// Before reports whether work w is placed before v.
func (w Work) Before(v Work) bool {
	switch {
	case w.Overdue != v.Overdue:
		return w.Overdue
	case w.Overdue && !w.Due.Equal(v.Due):
		return w.Due.Before(v.Due)
	case w.comesLast() != v.comesLast():
		return v.comesLast()
	case w.Priority != v.Priority:
		return w.Priority < v.Priority
	case w.Yields != v.Yields:
		return v.Yields
	case w.Idle != v.Idle && w.Outlook != jobs.OnTime && v.Outlook != jobs.OnTime:
		return w.Idle
	case w.Outlook != v.Outlook && !(w.Idle && v.Idle):
		return w.Outlook < v.Outlook
	case w.Idle && v.Idle && !w.IdleSince.Equal(v.IdleSince):
		return w.IdleSince.Before(v.IdleSince)
	case w.WorkLeft != v.WorkLeft:
		return w.WorkLeft < v.WorkLeft
	case !w.Due.Equal(v.Due):
		return w.Due.Before(v.Due)
	}
	return w.Name < v.Name
}

// comesLast reports whether work comes after that of all priorities: its job earns nothing, and has other tasks at work.
func (w Work) comesLast() bool { return w.Outlook == jobs.Hopeless && !w.Idle }

// OutlookOf returns what a job can still earn that was accepted at since and has the given objective. chainLeft is the
// longest chain of work that it has left.
func OutlookOf(now, since time.Time, objective, chainLeft time.Duration) jobs.Outlook {
	switch {
	case now.Sub(since) > time.Duration(hopelessFactor*float64(objective)):
		return jobs.Hopeless
	case now.Add(chainLeft).After(since.Add(objective)):
		return jobs.Late
	}
	return jobs.OnTime
}

// overloadedFrom is the time that the fillers of jobs on time need, on all processors for fillers, from which there is
// overload. Below it, the order makes no job wait for long.
const overloadedFrom = time.Second

// Overloaded reports whether the fillers of jobs on time have more work left, in millicore milliseconds by job, than the
// given millicores do within overloadedFrom.
func Overloaded[K comparable](workLeft map[K]int64, millicores int64) bool {
	sum := int64(0)
	for _, work := range workLeft {
		sum += work
	}
	return sum > overloadedFrom.Milliseconds()*millicores
}
