package reduce

import "slices"

// minimize returns a part of items for which holds is still true, by delta debugging: it removes chunks, first large
// ones and then single items. It calls holds only for lists that are shorter than the last one for which holds was true.
func minimize[T any](items []T, holds func([]T) bool) []T {
	if len(items) == 0 || holds(nil) {
		return nil
	}
	for size := (len(items) + 1) / 2; size >= 1; {
		cut := false
		for from := 0; from < len(items) && len(items) > 1; {
			without := slices.Concat(items[:from], items[min(len(items), from+size):])
			if len(without) > 0 && holds(without) {
				items, cut = without, true
				continue
			}
			from += size
		}
		if size == 1 && !cut {
			break
		}
		if !cut || size > len(items) {
			size = max(1, size/2)
		}
	}
	return items
}
