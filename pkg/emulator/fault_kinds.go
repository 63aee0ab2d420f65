package emulator

import (
	"fmt"
	"time"
)

// FaultKind is the kind of a fault, as scripts write it.
type FaultKind string

// The kinds of faults. A Fault names the target and the duration (For).
const (
	// KillHost ends a host's incarnation. The next one boots after the duration.
	KillHost FaultKind = "kill-host"
	// StopHost stops a host as planned: it hands its cells over and then ends. The next incarnation boots after the
	// duration. HandOver has a host hand its cells over as to a stronger host.
	StopHost FaultKind = "stop-host"
	HandOver FaultKind = "hand-over"
	// RemoveHost ends a host for good. No incarnation follows, and the duration has no meaning.
	RemoveHost FaultKind = "remove-host"
	// FreezeHost stops a host from processing events for the duration.
	FreezeHost FaultKind = "freeze-host"
	// SuspendHost does the same, and the host's steady clock does not count the duration.
	SuspendHost FaultKind = "suspend-host"
	// TableDown makes the table refuse all requests, TableLoses lose answers, TableSlow answer late.
	TableDown  FaultKind = "table-down"
	TableLoses FaultKind = "table-loses"
	TableSlow  FaultKind = "table-slow"
	// CutLink cuts a host off from its peer, which is the table, a worker or another host.
	CutLink FaultKind = "cut-link"
	// CutCell cuts the hosts and workers of a cell's hall off from other halls, and its hosts from the table.
	CutCell FaultKind = "cut-cell"
	// LateWorker delays some calls to a worker by seconds. With How 1 it delays more calls by less, so that the worker
	// still executes some of the late orders to start.
	LateWorker FaultKind = "late-worker"
	// CrashWorker ends a worker's incarnation. The next one begins after the duration.
	CrashWorker FaultKind = "crash-worker"
	// HangRuns makes the runs that a worker starts during the fault hang, FailRuns makes them fail.
	HangRuns FaultKind = "hang-runs"
	FailRuns FaultKind = "fail-runs"
	// ShrinkWorker removes a number of quarters (How) of a worker's capacity.
	ShrinkWorker FaultKind = "shrink-worker"
	// SpoilRow makes a worker's registry row invalid. How is an index into spoilings.
	SpoilRow FaultKind = "spoil-row"
	// EvacuateHall orders that no task starts at the workers of a hall, and withdraws the order after the duration.
	EvacuateHall FaultKind = "evacuate-hall"
	// LeaveWorker makes a worker leave for good, in the way How, a LeaveKind. It serves on for the duration.
	LeaveWorker FaultKind = "leave-worker"
	// JoinWorker adds a worker of a new name to a cell. The duration has no meaning.
	JoinWorker FaultKind = "join-worker"
	// JoinHost adds a host of a new name to the hall of a cell. The duration has no meaning.
	JoinHost FaultKind = "join-host"
	// FailInventory makes the inventory fail in the way How, an InventoryFailure.
	FailInventory FaultKind = "fail-inventory"
)

// Fault is a fault with its time, counted from the beginning of the day.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// Target is the name of a host, a worker or a cell; it is empty for the table. Peer is the other end of a link. For
	// is the duration.
	Target string `json:",omitempty"`
	Peer   string `json:",omitempty"`
	// Cell is the cell of a worker or a host that joins.
	Cell string        `json:",omitempty"`
	For  time.Duration `json:",omitempty"`
	// How is the number of quarters that ShrinkWorker removes, the index of the change that SpoilRow makes, the index
	// of the delays of LateWorker, the LeaveKind of LeaveWorker, or the InventoryFailure of FailInventory.
	How int `json:",omitempty"`
}

// String returns the fault's kind, target and duration, as the log shows them.
func (f Fault) String() string {
	text := string(f.Kind)
	if f.Target != "" {
		text += " " + f.Target
	}
	if f.Peer != "" {
		text += " from " + f.Peer
	}
	switch f.Kind {
	case LeaveWorker:
		return fmt.Sprintf("%s (%s) after %s", text, LeaveKind(f.How), f.For)
	case JoinWorker, JoinHost:
		return text + " in " + f.Cell
	case FailInventory:
		return fmt.Sprintf("%s (%s) for %s", text, InventoryFailure(f.How), f.For)
	}
	if f.Kind == ShrinkWorker || f.Kind == SpoilRow || (f.Kind == LateWorker && f.How > 0) {
		text += fmt.Sprintf(" by %d", f.How)
	}
	return text + " for " + f.For.String()
}

// joins returns whether the fault adds a worker or a host.
func (f Fault) joins() bool { return f.Kind == JoinWorker || f.Kind == JoinHost }

// targetType is the type of the entity that a kind of fault affects.
type targetType int

const (
	targetTable targetType = iota
	targetHost
	targetWorker
	targetCell
	// targetNewWorker is a worker that the fault adds.
	targetNewWorker
	// targetNewHost is a host that the fault adds.
	targetNewHost
	targetInventory
)

// faultSpec describes a kind of fault.
type faultSpec struct {
	target targetType
	// variants is the number of values that Fault.How may have, from 0 on.
	variants int
	// apply makes the fault take effect. It lasts until the time until.
	apply func(w *World, f Fault, until time.Time)
}

var faultSpecs = map[FaultKind]faultSpec{
	KillHost:      {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).kill(f.For) }},
	StopHost:      {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).stop(f.For) }},
	HandOver:      {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).handOverToStronger() }},
	RemoveHost:    {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).remove() }},
	FreezeHost:    {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).freeze(f.For) }},
	SuspendHost:   {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).suspend(f.For) }},
	TableDown:     {targetTable, 1, func(w *World, _ Fault, until time.Time) { w.table.downUntil = until }},
	TableLoses:    {targetTable, 1, func(w *World, _ Fault, until time.Time) { w.table.losesUntil = until }},
	TableSlow:     {targetTable, 1, func(w *World, _ Fault, until time.Time) { w.table.slowUntil = until }},
	CutLink:       {targetHost, 1, func(w *World, f Fault, until time.Time) { w.cuts[[2]string{f.Target, f.Peer}] = until }},
	CutCell:       {targetCell, 1, func(w *World, f Fault, until time.Time) { w.cutOffCell(f.Target, until) }},
	LateWorker:    {targetWorker, len(latenesses), func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).delayCalls(f.How, until) }},
	CrashWorker:   {targetWorker, 1, func(w *World, f Fault, _ time.Time) { w.workerAt(f.Target).crashByFault(f.For) }},
	HangRuns:      {targetWorker, 1, func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).impairRuns(runsHang, until) }},
	FailRuns:      {targetWorker, 1, func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).impairRuns(runsFail, until) }},
	ShrinkWorker:  {targetWorker, quarters + 1, func(w *World, f Fault, _ time.Time) { w.workerAt(f.Target).shrinkCapacity(int64(f.How), f.For) }},
	EvacuateHall:  {targetCell, 1, func(w *World, f Fault, _ time.Time) { w.orderEvacuation(f.Target, f.For) }},
	LeaveWorker:   {targetWorker, leaveKinds, func(w *World, f Fault, _ time.Time) { w.workerAt(f.Target).beginLeave(LeaveKind(f.How), f.For) }},
	JoinWorker:    {targetNewWorker, 1, func(w *World, f Fault, _ time.Time) { w.addWorker(f.Target, f.Cell) }},
	JoinHost:      {targetNewHost, 1, func(w *World, f Fault, _ time.Time) { w.addHost(f.Target, f.Cell) }},
	FailInventory: {targetInventory, inventoryFailures, func(w *World, f Fault, until time.Time) { w.inventory.fail(InventoryFailure(f.How), until) }},
	SpoilRow:      {targetWorker, len(spoilings), func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).startSpoilingRow(f.How, until) }},
}

// injectFault injects a fault now, logs it, and records it in the script of a recorded day.
func (w *World) injectFault(f Fault) {
	f.At = w.now.Sub(w.start)
	if w.script != nil {
		w.script.Faults = append(w.script.Faults, f)
	}
	w.logf("FAULT %s", f)
	faultSpecs[f.Kind].apply(w, f, w.now.Add(f.For))
}

// hostAt returns the host of a name, or nil.
func (w *World) hostAt(name string) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (w *World) cutOffCell(name string, until time.Time) {
	w.hallCuts[name] = until
	for _, h := range w.hosts {
		if h.hall == name {
			w.cuts[[2]string{h.name, "table"}] = until
		}
	}
}

// Values of worker.faultyMode: runs that the worker starts hang, or fail.
const (
	runsHang = iota
	runsFail
)

// lateness is how LateWorker delays calls: one in oneIn, by least to most.
type lateness struct {
	oneIn       int64
	least, most time.Duration
}

// latenesses are the delays of LateWorker. Workers refuse an order to start that is two seconds old, so nearly all
// orders that the first delays are refused.
var latenesses = []lateness{
	{oneIn: 4, least: 2 * time.Second, most: 12 * time.Second},
	{oneIn: 2, least: maxOrderAge, most: 2 * time.Second},
}

// delayCalls delays some calls to the worker that are made before until.
func (k *worker) delayCalls(how int, until time.Time) {
	k.lateness, k.lateUntil = latenesses[how], until
}

// impairRuns makes runs that the worker starts before until hang or fail.
func (k *worker) impairRuns(how int, until time.Time) { k.faultyUntil, k.faultyMode = until, how }

// shrinkCapacity removes a number of quarters of the worker's capacity for a time.
func (k *worker) shrinkCapacity(parts int64, span time.Duration) {
	k.setRemovedQuarters(parts)
	k.world.after(span, func() { k.setRemovedQuarters(0) })
}

// startSpoilingRow makes the worker's registry row invalid until a time, by the change of index how in spoilings.
func (k *worker) startSpoilingRow(how int, until time.Time) {
	k.spoiledSince, k.spoiledUntil, k.spoil = k.world.now, until, spoilings[how]
}
