package fleet

import (
	"fmt"

	"github.com/wrenferry/wrenferry/pkg/process/workers"
	"github.com/wrenferry/wrenferry/pkg/table"
	"github.com/wrenferry/wrenferry/pkg/version/manifest"
)

// workerRegistry holds the rows of the worker registry with the result of their checks.
type workerRegistry struct {
	source Source
	halls  map[string]bool
	// led are the halls whose workers it holds. Rows of other halls of the deployment are left to their leaders.
	led map[string]bool
	// accounts are the rows that could be decoded, by key.
	accounts map[string]workers.RegistryRow
	records  map[string]workers.Record
	unusable map[string]*workers.InvalidRow
	manifest *manifest.Manifest
}

// unusableChange reports that a row became unusable, is unusable for another reason, or became usable
// again; unusable is nil in the last case.
type unusableChange struct {
	key      string
	unusable *workers.InvalidRow
}

func newWorkerRegistry(source Source, halls, led []string) *workerRegistry {
	l := &workerRegistry{
		source: source, halls: map[string]bool{}, led: map[string]bool{}, accounts: map[string]workers.RegistryRow{},
		records: map[string]workers.Record{}, unusable: map[string]*workers.InvalidRow{},
	}
	for _, h := range halls {
		l.halls[h] = true
	}
	for _, h := range led {
		l.led[h] = true
	}
	return l
}

// update updates the list with changed rows, and checks all rows again if the manifest has changed. It
// returns the rows that became unusable, are unusable for another reason, or became usable again.
func (l *workerRegistry) update(m *manifest.Manifest, rows []table.Row) []unusableChange {
	var changed []unusableChange
	for _, r := range rows {
		key := r.Key.Key
		delete(l.accounts, key)
		if r.Removed {
			delete(l.records, key)
			delete(l.unusable, key)
			continue
		}
		account, err := decodeWorker(l.source, r)
		switch {
		case err == nil && account.Hall != nil && l.halls[*account.Hall] && !l.led[*account.Hall]:
			delete(l.records, key)
			delete(l.unusable, key)
			continue
		case err == nil:
			l.accounts[key] = account
			continue
		}
		changed = l.markUnusable(changed, key, err)
	}
	toCheck := l.accounts
	if m == l.manifest {
		toCheck = l.accountsOf(rows)
	}
	l.manifest = m
	for key, account := range toCheck {
		record, err := workers.ValidateRow(account, l.knownNames())
		if err != nil {
			changed = l.markUnusable(changed, key, err)
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

// decodeWorker decodes a row of the worker registry, unless it is larger than a worker's.
func decodeWorker(source Source, r table.Row) (workers.RegistryRow, error) {
	if len(r.Value) > workers.MaxRowBytes {
		return workers.RegistryRow{}, &workers.InvalidRow{ID: r.Key.Key, Reason: fmt.Sprintf("it is larger than %d bytes", workers.MaxRowBytes)}
	}
	return source.Worker(r)
}

// accountsOf returns the accounts of the given rows.
func (l *workerRegistry) accountsOf(rows []table.Row) map[string]workers.RegistryRow {
	some := make(map[string]workers.RegistryRow, len(rows))
	for _, r := range rows {
		if a, ok := l.accounts[r.Key.Key]; ok {
			some[r.Key.Key] = a
		}
	}
	return some
}

// knownNames returns the checks of the hall and service names that a row may contain.
func (l *workerRegistry) knownNames() workers.KnownNames {
	return workers.KnownNames{
		Hall: func(name string) bool { return l.halls[name] },
		Service: func(name string) bool {
			if l.manifest == nil {
				return true // the services are not known before the first manifest
			}
			_, named := l.manifest.Service(name)
			return named
		},
	}
}

// markUnusable marks a row as unusable. It appends the row to changed if that is new or the reason is.
func (l *workerRegistry) markUnusable(changed []unusableChange, key string, err error) []unusableChange {
	u := workers.AsInvalidRow(err)
	if u == nil {
		u = &workers.InvalidRow{ID: key, Reason: err.Error()}
	}
	delete(l.records, key)
	if before := l.unusable[key]; before != nil && *before == *u {
		return changed
	}
	l.unusable[key] = u
	return append(changed, unusableChange{key: key, unusable: u})
}

// usable returns the workers whose rows are usable.
func (l *workerRegistry) usable() []workers.Record {
	list := make([]workers.Record, 0, len(l.records))
	for _, r := range l.records {
		list = append(list, r)
	}
	return list
}
