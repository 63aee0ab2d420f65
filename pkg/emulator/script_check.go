package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
)

// Validation of scripts. Each check returns a field and its problem; an empty problem means that there is none.

const (
	// maxCells bounds the number of cells of a script, maxDayLength the length of its day.
	maxCells     = 64
	maxDayLength = 24 * time.Hour
)

func quote(v any) string { return fmt.Sprintf("%q", fmt.Sprint(v)) }

func (s *Script) check() (field, problem string) {
	checks := []func() (string, string){s.checkPlan, s.checkNodes, s.checkJobs, s.checkCancels, s.checkFaults}
	for _, check := range checks {
		if field, problem := check(); problem != "" {
			return field, problem
		}
	}
	return "", ""
}

func (s *Script) checkPlan() (field, problem string) {
	switch p := s.Plan; {
	case p.Cells < 1 || p.Cells > maxCells:
		return "Plan.Cells", fmt.Sprintf("%d is not from 1 to %d", p.Cells, maxCells)
	case p.End <= 0 || p.End > maxDayLength:
		return "Plan.End", fmt.Sprintf("%s is not a valid length of a day", p.End)
	case p.LinkRate < 0:
		return "Plan.LinkRate", fmt.Sprintf("%v is below 0", p.LinkRate)
	}
	return "", ""
}

func (s *Script) checkNodes() (field, problem string) {
	known := map[string]bool{"table": true}
	for _, list := range []struct {
		field string
		nodes []Node
	}{{"Hosts", s.Hosts}, {"Workers", s.Workers}} {
		if len(list.nodes) == 0 {
			return list.field, "is empty"
		}
		for i, p := range list.nodes {
			switch {
			case p.Name == "" || known[p.Name]:
				return fmt.Sprintf("%s[%d].Name", list.field, i), quote(p.Name) + " is empty or used twice"
			case !s.hasCell(p.Cell):
				return fmt.Sprintf("%s[%d].Cell", list.field, i), quote(p.Cell) + " is not a cell"
			}
			known[p.Name] = true
		}
	}
	return "", ""
}

func (s *Script) hasCell(name string) bool { return slices.Contains(cellNames(s.Plan.Cells), name) }

// hasHost returns whether a host of that name is there from the beginning of the day, or joins.
func (s *Script) hasHost(name string) bool {
	return slices.ContainsFunc(s.Hosts, func(p Node) bool { return p.Name == name }) ||
		slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == JoinHost && f.Target == name })
}

// hasWorker returns whether a worker of that name is there from the beginning of the day, or joins.
func (s *Script) hasWorker(name string) bool {
	return slices.ContainsFunc(s.Workers, func(p Node) bool { return p.Name == name }) ||
		slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == JoinWorker && f.Target == name })
}

func (s *Script) hasJob(id string) bool {
	return slices.ContainsFunc(s.Jobs, func(j ScriptJob) bool { return j.Spec.GetId() == id })
}

func (s *Script) checkJobs() (field, problem string) {
	known := map[string]bool{}
	for i, j := range s.Jobs {
		field, problem := j.check()
		if known[j.Spec.GetId()] {
			field, problem = "Spec.id", quote(j.Spec.GetId())+" is used twice"
		}
		if problem == "" && !s.hasCell(j.Spec.GetCell()) {
			field, problem = "Spec.cell", quote(j.Spec.GetCell())+" is not a cell"
		}
		if problem != "" {
			return fmt.Sprintf("Jobs[%d].%s", i, field), problem
		}
		known[j.Spec.GetId()] = true
	}
	return "", ""
}

func (j ScriptJob) check() (field, problem string) {
	spec := j.Spec.JobSpec
	if _, ok := jobs.ParseTaskName(taskName(spec.GetId(), 0, 0, 0)); !ok || spec.GetId() == "" {
		return "Spec.id", quote(spec.GetId()) + " is not a job's id"
	}
	switch {
	case j.At < 0:
		return "At", j.At.String() + " is before the beginning of the day"
	case spec.GetQueue() != queueName:
		return "Spec.queue", quote(spec.GetQueue()) + " is not a queue"
	case spec.GetService() != serviceName:
		return "Spec.service", quote(spec.GetService()) + " is not a service"
	case len(spec.GetSteps()) == 0:
		return "Spec.steps", "is empty"
	}
	for i, step := range spec.GetSteps() {
		if step.GetCount() < 1 {
			return fmt.Sprintf("Spec.steps[%d].count", i), fmt.Sprintf("%d is below 1", step.GetCount())
		}
		for _, before := range step.GetAfter() {
			if before < 0 || int(before) >= i {
				return fmt.Sprintf("Spec.steps[%d].after", i), fmt.Sprintf("%d is not an earlier step", before)
			}
		}
	}
	if c := j.Crash; c != nil {
		if c.Step < 0 || c.Step >= len(spec.GetSteps()) || c.Index < 0 || c.Index >= int(spec.GetSteps()[c.Step].GetCount()) {
			return "Crash", fmt.Sprintf("%d.%d is not a task", c.Step, c.Index)
		}
		if c.After < 0 {
			return "Crash.After", c.After.String() + " is before the start of the task"
		}
	}
	if g := j.GiveUp; g != nil && (g.After < 0 || g.Again < 0) {
		return "GiveUp", g.After.String() + " or " + g.Again.String() + " is below 0"
	}
	return "", ""
}

func (s *Script) checkCancels() (field, problem string) {
	for i, c := range s.Cancels {
		if c.At < 0 {
			return fmt.Sprintf("Cancels[%d].At", i), c.At.String() + " is before the beginning of the day"
		}
		if !s.hasJob(c.Job) {
			return fmt.Sprintf("Cancels[%d].Job", i), quote(c.Job) + " is not a job"
		}
	}
	return "", ""
}

func (s *Script) checkFaults() (field, problem string) {
	left := map[string]bool{}
	for i, f := range s.Faults {
		field, problem := s.checkFault(f, i)
		if problem == "" && f.Kind == LeaveWorker {
			if left[f.Target] {
				field, problem = "Target", quote(f.Target)+" leaves twice"
			}
			left[f.Target] = true
		}
		if problem != "" {
			return fmt.Sprintf("Faults[%d].%s", i, field), problem
		}
	}
	return "", ""
}

// checkFault checks the fault f, which is the one of index i.
func (s *Script) checkFault(f Fault, i int) (field, problem string) {
	kind, ok := faultSpecs[f.Kind]
	switch {
	case !ok:
		return "Kind", quote(f.Kind) + " is not a kind of fault"
	case f.At < 0:
		return "At", f.At.String() + " is before the beginning of the day"
	case f.For < 0:
		return "For", f.For.String() + " is below 0"
	case f.How < 0 || f.How >= kind.variants:
		return "How", fmt.Sprintf("%d is not valid for %s", f.How, f.Kind)
	case f.Kind == CutLink && !s.isLinkEnd(f.Peer):
		return "Peer", quote(f.Peer) + " is not an end of a link"
	case f.Kind != CutLink && f.Peer != "":
		return "Peer", string(f.Kind) + " takes no peer"
	case f.joins() && !s.hasCell(f.Cell):
		return "Cell", quote(f.Cell) + " is not a cell"
	case !f.joins() && f.Cell != "":
		return "Cell", string(f.Kind) + " takes no cell"
	}
	if problem := s.checkTarget(kind.target, f, i); problem != "" {
		return "Target", problem
	}
	if f.Kind == CutLink && s.joinsAfter(f.Peer, i) {
		return "Peer", quote(f.Peer) + " joins later"
	}
	return "", ""
}

// checkTarget checks the target of the fault f, which is the one of index i.
func (s *Script) checkTarget(kind targetType, f Fault, i int) (problem string) {
	has := false
	switch kind {
	case targetNewWorker, targetNewHost:
		return s.checkNewName(f.Target, i)
	case targetHost:
		if s.joinsAfter(f.Target, i) {
			return quote(f.Target) + " joins later"
		}
		has = s.hasHost(f.Target)
	case targetWorker:
		if s.joinsAfter(f.Target, i) {
			return quote(f.Target) + " joins later"
		}
		has = s.hasWorker(f.Target)
	case targetCell:
		has = s.hasCell(f.Target)
	case targetTable, targetInventory:
		has = f.Target == ""
	}
	if !has {
		return quote(f.Target) + " is not of the type that " + string(f.Kind) + " affects"
	}
	return ""
}

// checkNewName checks the name of the worker or host that joins with the fault of index i.
func (s *Script) checkNewName(name string, i int) (problem string) {
	sameName := func(p Node) bool { return p.Name == name }
	joinsBefore := slices.ContainsFunc(s.Faults[:i], func(f Fault) bool { return f.joins() && f.Target == name })
	if name == "" || name == "table" || joinsBefore || slices.ContainsFunc(s.Hosts, sameName) || slices.ContainsFunc(s.Workers, sameName) {
		return quote(name) + " is empty or used twice"
	}
	return ""
}

// joinsAfter returns whether a worker or host of that name joins after the fault of index i. Faults of the same time are
// injected in the order of the list.
func (s *Script) joinsAfter(name string, i int) bool {
	join := slices.IndexFunc(s.Faults, func(f Fault) bool { return f.joins() && f.Target == name })
	if join < 0 {
		return false
	}
	at, joinsAt := s.Faults[i].At, s.Faults[join].At
	return joinsAt > at || (joinsAt == at && join > i)
}

// isLinkEnd returns whether a link may end at the table, host or worker of that name.
func (s *Script) isLinkEnd(name string) bool {
	return name == "table" || s.hasHost(name) || s.hasWorker(name)
}
