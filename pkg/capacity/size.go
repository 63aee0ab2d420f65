// Package capacity counts what a worker has and what a task takes: processors, memory and
// accelerators. It is arithmetic alone; what is reserved where is kept by package ledger.
package capacity

import "github.com/wrenferry/wrenferry/pkg/wire"

// Size is an amount of a host's resources. It is immutable.
type Size struct {
	Millicores   int64
	MemoryMB     int64
	Accelerators int64
}

// FromWire reads a size off a message; an absent one is zero.
func FromWire(s *wire.Size) Size {
	return Size{Millicores: s.GetMillicores(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
}

// Wire writes a size into a message.
func (s Size) Wire() *wire.Size {
	return &wire.Size{Millicores: s.Millicores, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

// Plus adds two sizes.
func (s Size) Plus(t Size) Size {
	return Size{s.Millicores + t.Millicores, s.MemoryMB + t.MemoryMB, s.Accelerators + t.Accelerators}
}

// Minus takes one size from another; a part may become negative.
func (s Size) Minus(t Size) Size {
	return Size{s.Millicores - t.Millicores, s.MemoryMB - t.MemoryMB, s.Accelerators - t.Accelerators}
}

// Max takes the larger of each part.
func (s Size) Max(t Size) Size {
	return Size{max(s.Millicores, t.Millicores), max(s.MemoryMB, t.MemoryMB), max(s.Accelerators, t.Accelerators)}
}

// Min takes the smaller of each part.
func (s Size) Min(t Size) Size {
	return Size{min(s.Millicores, t.Millicores), min(s.MemoryMB, t.MemoryMB), min(s.Accelerators, t.Accelerators)}
}

// Fits says whether s has room in free, in every part.
func (s Size) Fits(free Size) bool {
	return s.Millicores <= free.Millicores && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// DominantShare is the largest part that s takes of total, from 0 to 1 (and
// more, when s is larger). Parts that total lacks don't count.
func (s Size) DominantShare(total Size) float64 {
	return max(share(s.Millicores, total.Millicores), share(s.MemoryMB, total.MemoryMB), share(s.Accelerators, total.Accelerators))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
