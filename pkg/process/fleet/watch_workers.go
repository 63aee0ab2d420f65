package fleet

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/connection/store"
	"github.com/wrenferry/wrenferry/pkg/process/cell"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
)

// The list of workers, as this process follows it while it leads a cell. Rows may come from
// anybody: each is judged by itself (workers.Judge), and again when another manifest is in
// force. One that is not understood names no worker to use. If it was good before, its worker
// gets nothing new, and what runs there is looked after until it ends, as at any worker that
// the list no longer holds: looks go on to where the last good row said, and only what answers
// there under that id is renewed. When its row is good again, it is in use again.

const (
	// workersEvery is the pace of reading what changed in the list of workers;
	// workers renew their rows every 1.5 s.
	workersEvery = 300 * time.Millisecond
	// unusableTold bounds the lines on rows that are not understood, for one reading of
	// the list; the figure workers.unusable counts them all.
	unusableTold = 20
)

// WorkersFollower keeps the list of workers while this process leads a cell.
type WorkersFollower struct {
	Store    *store.Client
	Source   Source
	Halls    []string
	Manifest func() *manifest.Manifest
	Tell     func(list []workers.Record)
	Leads    func() bool
	Log      *logrus.Entry
	Metrics  metrics.Registry

	list  *workerList
	after int64
}

// String names the part for the supervisor.
func (f *WorkersFollower) String() string { return "workers follower" }

// Serve follows until the context ends.
func (f *WorkersFollower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.Leads() {
			f.list = nil
			pause(ctx, workersEvery/6)
			continue
		}
		f.step(ctx)
		pause(ctx, workersEvery)
	}
	return ctx.Err()
}

func (f *WorkersFollower) step(ctx context.Context) {
	var page table.Page
	var err error
	if f.list == nil {
		page, err = table.ReadAll(ctx, f.Store, f.Source.WorkersTable(), "")
	} else {
		page, err = f.Store.Changes(ctx, f.Source.WorkersTable(), f.after, 0)
	}
	if err != nil {
		if f.list != nil {
			f.list = nil // read it anew, through a peer if need be
			return
		}
		f.Log.WithField("why", err.Error()).Warn("workers-not-read")
		return
	}
	if f.list == nil {
		f.list = newWorkerList(f.Source, f.Halls)
	}
	f.after = page.Version
	changed := f.list.take(f.Manifest(), page.Rows)
	f.log(changed)
	metrics.GetOrRegisterGauge("workers.unusable", f.Metrics).Update(int64(len(f.list.unusable)))
	f.Tell(f.list.usable())
}

// log tells of the rows that came to be not understood, or for another reason, or were
// understood again.
func (f *WorkersFollower) log(changed []unusableChange) {
	for i, c := range changed {
		if i == unusableTold {
			f.Log.WithField("more", len(changed)-unusableTold).Warn(string(cell.NoteUnreadable))
			return
		}
		fields := logrus.Fields{"table": f.Source.WorkersTable(), "key": c.key, "why": "understood again"}
		if c.now != nil {
			fields["field"], fields["why"] = c.now.Field, c.now.Why
		}
		f.Log.WithFields(fields).Warn(string(cell.NoteUnreadable))
	}
}

// workerList is the list of workers with each row judged.
type workerList struct {
	source Source
	halls  map[string]bool
	// accounts are the rows that could be read, by key.
	accounts map[string]workers.Account
	records  map[string]workers.Record
	unusable map[string]*workers.Unusable
	manifest *manifest.Manifest
}

// unusableChange is a row of which it is news that, or why, it is not understood; now is nil
// where it is understood again, or is gone.
type unusableChange struct {
	key string
	now *workers.Unusable
}

func newWorkerList(source Source, halls []string) *workerList {
	l := &workerList{
		source: source, halls: map[string]bool{}, accounts: map[string]workers.Account{},
		records: map[string]workers.Record{}, unusable: map[string]*workers.Unusable{},
	}
	for _, h := range halls {
		l.halls[h] = true
	}
	return l
}

// take takes in rows that changed, and the manifest that is in force.
func (l *workerList) take(m *manifest.Manifest, rows []table.Row) []unusableChange {
	var changed []unusableChange
	for _, r := range rows {
		key := r.Key.Key
		delete(l.accounts, key)
		if r.Gone {
			delete(l.records, key)
			delete(l.unusable, key)
			continue
		}
		account, err := l.source.Worker(r)
		if err == nil {
			l.accounts[key] = account
			continue
		}
		changed = l.reject(changed, key, err)
	}
	judged := l.accounts
	if m == l.manifest {
		judged = l.among(rows)
	}
	l.manifest = m
	for key, account := range judged {
		record, err := workers.Judge(account, l.known())
		if err != nil {
			changed = l.reject(changed, key, err)
			continue
		}
		if l.unusable[key] != nil {
			delete(l.unusable, key)
			changed = append(changed, unusableChange{key: key})
		}
		l.records[key] = record
	}
	return changed
}

// among are the accounts of the rows that changed.
func (l *workerList) among(rows []table.Row) map[string]workers.Account {
	some := make(map[string]workers.Account, len(rows))
	for _, r := range rows {
		if a, ok := l.accounts[r.Key.Key]; ok {
			some[r.Key.Key] = a
		}
	}
	return some
}

func (l *workerList) known() workers.Known {
	return workers.Known{
		Hall: func(name string) bool { return l.halls[name] },
		Service: func(name string) bool {
			if l.manifest == nil {
				return true // which there are is not known yet
			}
			_, named := l.manifest.Service(name)
			return named
		},
	}
}

func (l *workerList) reject(changed []unusableChange, key string, err error) []unusableChange {
	u := workers.AsUnusable(err)
	if u == nil {
		u = &workers.Unusable{ID: key, Why: err.Error()}
	}
	delete(l.records, key)
	if before := l.unusable[key]; before != nil && *before == *u {
		return changed
	}
	l.unusable[key] = u
	return append(changed, unusableChange{key: key, now: u})
}

// usable are the workers to use.
func (l *workerList) usable() []workers.Record {
	list := make([]workers.Record, 0, len(l.records))
	for _, r := range l.records {
		list = append(list, r)
	}
	return list
}
