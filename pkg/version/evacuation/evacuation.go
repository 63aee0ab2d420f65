// Package evacuation holds the operators' orders to evacuate halls. While a hall is evacuated, no task starts at its
// workers; tasks that run there go on.
package evacuation

import (
	"maps"
	"slices"
)

// Orders is an immutable set of the halls that are evacuated. The zero value is the empty set.
type Orders struct {
	// versions holds the version of the row that orders each evacuation.
	versions map[string]int64
}

// With returns the orders with the evacuation of one more hall, ordered by a row of the given version.
func (o Orders) With(hall string, version int64) Orders {
	next := maps.Clone(o.versions)
	if next == nil {
		next = map[string]int64{}
	}
	next[hall] = version
	return Orders{versions: next}
}

// Without returns the orders without the evacuation of a hall.
func (o Orders) Without(hall string) Orders {
	next := maps.Clone(o.versions)
	delete(next, hall)
	return Orders{versions: next}
}

// Includes reports whether a hall is evacuated.
func (o Orders) Includes(hall string) bool {
	_, ok := o.versions[hall]
	return ok
}

// Version returns the version of the row that orders the evacuation of a hall, or 0.
func (o Orders) Version(hall string) int64 { return o.versions[hall] }

// Halls returns the evacuated halls in ascending order.
func (o Orders) Halls() []string { return slices.Sorted(maps.Keys(o.versions)) }

// Equal reports whether two sets name the same halls, ordered by the same rows.
func (o Orders) Equal(other Orders) bool { return maps.Equal(o.versions, other.versions) }
