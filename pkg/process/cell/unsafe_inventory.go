package cell

import (
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/inventory"
)

// inventoryEnded is inventory.Ended without the conditions that are switched off.
func (u Unsafe) inventoryEnded(earlier, later inventory.List, i inventory.Incarnation) bool {
	if u.NoSecondList {
		earlier = later
		earlier.AskedAt, earlier.ReadAt = later.AskedAt.Add(-time.Nanosecond), later.AskedAt
	}
	if u.NoSkippedHosts {
		earlier.Pages = min(earlier.Pages, 1)
	}
	if u.NoCompleteLists {
		earlier, later = withSomeWorker(earlier), withSomeWorker(later)
	}
	if u.NoListingDelay && earlier.AskedAt.After(i.KnownAt) {
		i.KnownAt = time.Time{}
	}
	if u.NoAskedAt {
		i.KnownAt, i.AliveAt = time.Time{}, time.Time{}
	}
	return inventory.Ended(earlier, later, i)
}

// mustBeListed is inventory.Incarnation.MustBeListed without the conditions that are switched off.
func (u Unsafe) mustBeListed(i inventory.Incarnation, at time.Time) bool {
	return u.NoListingDelay || u.NoAskedAt || i.MustBeListed(at)
}

// withSomeWorker returns a list that names one more worker, so that it is not empty.
func withSomeWorker(l inventory.List) inventory.List {
	if len(l.Workers) == 0 {
		l.Workers = map[string]bool{"": true}
	}
	return l
}
