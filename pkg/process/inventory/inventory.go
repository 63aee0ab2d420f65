// Package inventory decides from the platform's inventory, the list of the hosts and of the workers that run there,
// which incarnations of workers have ended.
//
// A leader that gets no answer from a worker can't tell whether it has ended or is cut off. Its lease tells in the end,
// and only after the tenure if the leader that granted it is gone, too. The platform knows sooner: it lists a worker that is only
// cut off, and no longer lists one that has ended.
//
// Package fleet reads the inventory. This package does no I/O and reads no clock.
package inventory

import (
	"context"
	"time"
)

// List is one complete reading of the inventory.
type List struct {
	// AskedAt is when its first page was asked for: the list says nothing of what changed before.
	AskedAt time.Time
	// ReadAt is when its last page had been read.
	ReadAt time.Time
	// Pages is the number of pages. Each is of its own moment.
	Pages int
	// Hosts are the names of all hosts listed, Workers the ids of the workers that run there.
	Hosts, Workers map[string]bool
}

// Reader reads the inventory.
type Reader interface {
	// Inventory reads all pages. It returns an error if it can't read one of them.
	Inventory(ctx context.Context) (List, error)
}

// listingDelay is how long after its start a worker may be missing from the inventory.
const listingDelay = 2 * time.Second

// Incarnation is an incarnation of a worker, as a leader knows it.
type Incarnation struct {
	Worker string
	// Host is the name of its host, "" if that is not known.
	Host string
	// KnownAt is when the leader first knew of it, AliveAt a time at which it was alive for sure, zero if there is none.
	KnownAt, AliveAt time.Time
}

// MustBeListed reports whether a list that is asked for at a given time names the incarnation if it runs.
func (i Incarnation) MustBeListed(at time.Time) bool { return at.Sub(i.KnownAt) >= listingDelay }

// Ended reports whether an incarnation has ended, by two lists in a row. The earlier one proves it. Only the later one, and
// what has answered meanwhile, show that the earlier one is complete: see skippedNone and Omits.
func Ended(earlier, later List, i Incarnation) bool {
	return isComplete(earlier) && isComplete(later) &&
		i.MustBeListed(earlier.AskedAt) && earlier.AskedAt.After(i.AliveAt) &&
		later.AskedAt.After(earlier.AskedAt) && !Overlap(earlier, later) &&
		!earlier.Workers[i.Worker] && !later.Workers[i.Worker] && (earlier.Hosts[i.Host] || skippedNone(earlier, later))
}

// Omits reports whether a list does not name an incarnation that was alive for sure after it had been read, and should do so.
// Such a list is incomplete, or of other workers.
func (l List) Omits(i Incarnation) bool {
	return i.MustBeListed(l.AskedAt) && i.AliveAt.After(l.ReadAt) && !l.Workers[i.Worker]
}

// Overlap reports whether the later list was asked for while the earlier one was still read. Both may then have skipped the
// same host.
func Overlap(earlier, later List) bool { return later.AskedAt.Before(earlier.ReadAt) }

// isComplete reports whether a list can show that a worker is missing: a deployment has workers.
func isComplete(l List) bool { return l.Pages > 0 && len(l.Workers) > 0 }

// skippedNone reports whether the earlier list skipped no host between two of its pages. If a host leaves the inventory
// while the pages are read, those after it move up, and the first one of the next page may be on none. The later list
// then misses the host that left.
func skippedNone(earlier, later List) bool {
	if earlier.Pages == 1 {
		return true
	}
	for host := range earlier.Hosts {
		if !later.Hosts[host] {
			return false
		}
	}
	return true
}
