package policy

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in ascending order, so that decisions do not
// depend on the order of a map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}
