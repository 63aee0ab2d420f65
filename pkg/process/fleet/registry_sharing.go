package fleet

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/registry"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// askReader gets the changes of the rows of the led halls from the leader that reads the registry. It returns whether they
// are recent. A leader that does not answer, or does not read, is avoided for a while.
func (f *WorkersFollower) askReader(ctx context.Context, reader registry.Leader) bool {
	bounded, cancel := context.WithTimeout(ctx, askRegistryTimeout)
	defer cancel()
	sentAt := clock.Now()
	reply, err := f.Ask(bounded, reader.Address, &wire.RegistryRequest{Halls: f.led, Log: f.position.Log, Serial: f.position.Serial})
	now := clock.Now()
	readAt := sentAt.Add(-time.Duration(reply.GetAgeUs()) * time.Microsecond)
	switch {
	case err == nil && !reply.GetReads():
		err = fault.New(fault.NotRun, reader.Cell, "its leader does not read the registry", "")
	case err == nil && (reply.GetAgeUs() < 0 || now.Sub(readAt) > registry.MaxAge):
		err = fault.New(fault.Unavailable, reader.Cell, "its leader has not read the registry recently", "")
	case err == nil && reply.GetLog() == f.position.Log && reply.GetSerial() < f.position.Serial:
		err = fault.New(fault.BadInput, reader.Cell, "its leader passes on older rows than before", "")
	case err == nil && reply.GetVersion() < f.tableVersion:
		err = fault.New(fault.NotRun, reader.Cell, "its leader has not read as far as this process", "")
	}
	if err != nil && fault.CodeOf(err) == fault.NotRun && now.Sub(f.recentAt) <= registryMaxSilence {
		return false // it begins to read now that it was asked, or soon has read as far
	}
	if err != nil {
		f.avoided = f.avoided.With(now, reader.Cell)
		metrics.GetOrRegisterCounter("registry.avoided", f.Metrics).Inc(1)
		f.Log.WithFields(logrus.Fields{"cell": reader.Cell, "why": err.Error()}).Info("registry-reader-avoided")
		return false
	}
	if reply.GetWhole() {
		f.registry = newWorkerRegistry(f.Source, f.Halls, f.led)
	}
	f.position = registry.Position{Log: reply.GetLog(), Serial: reply.GetSerial()}
	f.tableVersion, f.recentAt = reply.GetVersion(), readAt
	f.apply(f.registry.update(f.Manifest(), f.passedRows(reply)))
	return true
}

// passedRows decodes the rows of a reply.
func (f *WorkersFollower) passedRows(reply *wire.RegistryReply) []table.Row {
	var list []table.Row
	name := f.Source.WorkersTable()
	for _, r := range reply.GetRows() {
		list = append(list, table.Row{Key: table.Key{Table: name, Key: r.GetKey()}, Value: r.GetValue(), Version: r.GetVersion()})
	}
	for _, key := range reply.GetRemoved() {
		list = append(list, table.Row{Key: table.Key{Table: name, Key: key}, Removed: true})
	}
	return list
}

// Answer returns the rows that another leader lacks, if this process reads the registry. Otherwise it begins to: the leaders
// that ask may know better which of them are alive.
func (f *WorkersFollower) Answer(_ context.Context, request *wire.RegistryRequest) *wire.RegistryReply {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askedAt = now
	if f.passedOn == nil {
		return &wire.RegistryReply{}
	}
	at := registry.Position{Log: request.GetLog(), Serial: request.GetSerial()}
	rows, next, whole := f.passedOn.Since(at, request.GetHalls())
	reply := &wire.RegistryReply{
		Reads: true, Log: next.Log, Serial: next.Serial, Whole: whole, Version: f.passedVersion, AgeUs: now.Sub(f.passedAt).Microseconds(),
	}
	for _, r := range rows {
		if r.Removed {
			reply.Removed = append(reply.Removed, r.Key.Key)
			continue
		}
		reply.Rows = append(reply.Rows, &wire.TableRow{Key: r.Key.Key, Value: r.Value, Version: r.Version})
	}
	return reply
}

// passOn sets what this process passes on to other leaders; nil means nothing.
func (f *WorkersFollower) passOn(l *registry.Log) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passedOn = l
}

// passRows adds changed rows to what this process passes on.
func (f *WorkersFollower) passRows(rows []table.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passedVersion, f.passedAt = f.tableVersion, clock.Now()
	if f.passedOn != nil {
		f.passedOn.Apply(withoutExcess(rows), f.describe)
	}
}

// withoutExcess returns rows of which those larger than MaxRowBytes are cut to one byte more: readers still refuse them, and they
// fit into a message.
func withoutExcess(rows []table.Row) []table.Row {
	cut := make([]table.Row, 0, len(rows))
	for _, r := range rows {
		if len(r.Value) > workers.MaxRowBytes {
			r.Value = bytes.Clone(r.Value[:workers.MaxRowBytes+1])
		}
		cut = append(cut, r)
	}
	return cut
}

// describe tells what a row says, apart from the worker being alive. A row of an unknown hall concerns all leaders: it is
// unusable.
func (f *WorkersFollower) describe(r table.Row) registry.Description {
	account, err := decodeWorker(f.Source, r)
	if err != nil {
		return registry.Description{Content: err.Error()}
	}
	d := registry.Description{Content: account.ContentWithoutSequence()}
	if account.Hall != nil && slices.Contains(f.Halls, *account.Hall) {
		d.Hall = *account.Hall
	}
	return d
}
