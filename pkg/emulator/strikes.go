package emulator

import (
	"fmt"
	"time"
)

// FaultKind is one thing that strikes.
type FaultKind string

// The kinds of faults. What each strikes, how long it lasts and how it shows stands in a Fault.
const (
	// KillHost ends a host's incarnation; the next boots after the span.
	KillHost FaultKind = "kill-host"
	// FreezeHost has a host take in nothing for the span.
	FreezeHost FaultKind = "freeze-host"
	// SuspendHost does so, too, and its steady clock does not count the span.
	SuspendHost FaultKind = "suspend-host"
	// TableDown has the table refuse everything, TableLoses lose answers, TableSlow answer late.
	TableDown  FaultKind = "table-down"
	TableLoses FaultKind = "table-loses"
	TableSlow  FaultKind = "table-slow"
	// CutLink cuts a host off from its peer: the table, a worker or another host.
	CutLink FaultKind = "cut-link"
	// CutCell cuts the hosts and workers of a cell off from other cells, and its hosts from the table.
	CutCell FaultKind = "cut-cell"
	// LateWorker delays some calls to a worker by seconds.
	LateWorker FaultKind = "late-worker"
	// CrashWorker ends a worker's incarnation; the next begins after the span.
	CrashWorker FaultKind = "crash-worker"
	// HangRuns has what a worker starts hang, FailRuns has it fail.
	HangRuns FaultKind = "hang-runs"
	FailRuns FaultKind = "fail-runs"
	// ShrinkWorker takes some quarters of a worker's capacity away.
	ShrinkWorker FaultKind = "shrink-worker"
	// SpoilRow spoils a worker's row in some way.
	SpoilRow FaultKind = "spoil-row"
)

// Fault is one thing that strikes, and when.
type Fault struct {
	At   time.Duration
	Kind FaultKind
	// Target is a host, a worker, a cell, or nothing where the table is meant; Peer the other end of a link.
	Target string        `json:",omitempty"`
	Peer   string        `json:",omitempty"`
	For    time.Duration `json:",omitempty"`
	// How is the number of quarters, or of the way in which a row is spoilt.
	How int `json:",omitempty"`
}

// String says what strikes.
func (f Fault) String() string {
	text := string(f.Kind)
	if f.Target != "" {
		text += " " + f.Target
	}
	if f.Peer != "" {
		text += " from " + f.Peer
	}
	if f.Kind == ShrinkWorker || f.Kind == SpoilRow {
		text += fmt.Sprintf(" by %d", f.How)
	}
	return text + " for " + f.For.String()
}

// targetType is what a kind of fault strikes.
type targetType int

const (
	targetTable targetType = iota
	targetHost
	targetWorker
	targetCell
)

// faultSpec says what a kind strikes, how many ways it has, and what it does.
type faultSpec struct {
	target   targetType
	variants int
	apply    func(w *World, f Fault, until time.Time)
}

var faultSpecs = map[FaultKind]faultSpec{
	KillHost:     {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).kill(f.For) }},
	FreezeHost:   {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).freeze(f.For) }},
	SuspendHost:  {targetHost, 1, func(w *World, f Fault, _ time.Time) { w.hostAt(f.Target).suspend(f.For) }},
	TableDown:    {targetTable, 1, func(w *World, _ Fault, until time.Time) { w.table.downUntil = until }},
	TableLoses:   {targetTable, 1, func(w *World, _ Fault, until time.Time) { w.table.losesUntil = until }},
	TableSlow:    {targetTable, 1, func(w *World, _ Fault, until time.Time) { w.table.slowUntil = until }},
	CutLink:      {targetHost, 1, func(w *World, f Fault, until time.Time) { w.cuts[[2]string{f.Target, f.Peer}] = until }},
	CutCell:      {targetCell, 1, func(w *World, f Fault, until time.Time) { w.cutOffCell(f.Target, until) }},
	LateWorker:   {targetWorker, 1, func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).lateUntil = until }},
	CrashWorker:  {targetWorker, 1, func(w *World, f Fault, _ time.Time) { w.workerAt(f.Target).crash(f.For) }},
	HangRuns:     {targetWorker, 1, func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).impairRuns(sickHangs, until) }},
	FailRuns:     {targetWorker, 1, func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).impairRuns(sickFails, until) }},
	ShrinkWorker: {targetWorker, quarters + 1, func(w *World, f Fault, _ time.Time) { w.workerAt(f.Target).shrinkCapacity(int64(f.How), f.For) }},
	SpoilRow:     {targetWorker, len(spoilings), func(w *World, f Fault, until time.Time) { w.workerAt(f.Target).startSpoilingRow(f.How, until) }},
}

// strikeWith brings one fault about, now.
func (w *World) strikeWith(f Fault) {
	f.At = w.now.Sub(w.start)
	if w.script != nil {
		w.script.Faults = append(w.script.Faults, f)
	}
	w.logf("FAULT %s", f)
	faultSpecs[f.Kind].apply(w, f, w.now.Add(f.For))
}

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

// The ways in which a worker is sick.
const (
	sickHangs = iota
	sickFails
)

func (k *worker) impairRuns(how int, until time.Time) { k.sickUntil, k.sickHow = until, how }

func (k *worker) shrinkCapacity(parts int64, span time.Duration) {
	k.setShrunk(parts)
	k.world.after(span, func() { k.setShrunk(0) })
}

func (k *worker) startSpoilingRow(how int, until time.Time) {
	k.oddSince, k.oddUntil, k.spoil = k.world.now, until, spoilings[how]
}
