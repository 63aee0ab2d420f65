// Package capacity provides arithmetic on amounts of resources: processors, memory and accelerators.
// Package ledger keeps the reservations.
package capacity

import "github.com/wrenferry/wrenferry/pkg/wire"

// Size is an amount of resources: the capacity of a worker or the demand of a task. It is immutable.
type Size struct {
	Millicores   int64
	MemoryMB     int64
	Accelerators int64
}

// FromWire returns the size in a message; nil gives zero.
func FromWire(s *wire.Size) Size {
	return Size{Millicores: s.GetMillicores(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
}

// Wire returns the size as a message.
func (s Size) Wire() *wire.Size {
	return &wire.Size{Millicores: s.Millicores, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

// Plus returns the sum of two sizes.
func (s Size) Plus(t Size) Size {
	return Size{s.Millicores + t.Millicores, s.MemoryMB + t.MemoryMB, s.Accelerators + t.Accelerators}
}

// Minus returns the difference of two sizes. A component may be negative.
func (s Size) Minus(t Size) Size {
	return Size{s.Millicores - t.Millicores, s.MemoryMB - t.MemoryMB, s.Accelerators - t.Accelerators}
}

// Max returns the larger of each component.
func (s Size) Max(t Size) Size {
	return Size{max(s.Millicores, t.Millicores), max(s.MemoryMB, t.MemoryMB), max(s.Accelerators, t.Accelerators)}
}

// Min returns the smaller of each component.
func (s Size) Min(t Size) Size {
	return Size{min(s.Millicores, t.Millicores), min(s.MemoryMB, t.MemoryMB), min(s.Accelerators, t.Accelerators)}
}

// Fits returns whether s is at most free in every component.
func (s Size) Fits(free Size) bool {
	return s.Millicores <= free.Millicores && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// DominantShare returns the largest fraction that s takes of a component of total: from 0 to 1, and above 1 if s is
// larger. Components that are 0 in total don't count.
func (s Size) DominantShare(total Size) float64 {
	return max(share(s.Millicores, total.Millicores), share(s.MemoryMB, total.MemoryMB), share(s.Accelerators, total.Accelerators))
}

// share returns part as a fraction of whole, or 0 if there is no whole.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
