package jujubeplacement

import (
	"cmp"
	"slices"
	"time"
)

// Group is a group of a submission's items.
type Group struct {
	// IsWhole is true once all items have completed, HasFailed once one of them is errored: the group can't become whole then.
	IsWhole, HasFailed bool
	// IsCarried is true if an earlier submission had an item of the group.
	IsCarried bool
	// Remaining is the expected time until the group is whole.
	Remaining time.Duration
}

// Surplus reports for each group whether the submission doesn't need it to have the required number of whole groups; 0 requires all.
// Carried groups are always needed, as the caller has waited for them before. Of the others, those with the largest expected
// remaining time are surplus; of equal ones, the last.
func Surplus(groups []Group, required int) []bool {
	surplus := make([]bool, len(groups))
	if required <= 0 || required >= len(groups) {
		return surplus
	}
	var open []int
	for i, g := range groups {
		switch {
		case g.IsWhole:
			required--
		case g.IsCarried && !g.HasFailed:
			required--
		case g.HasFailed:
			surplus[i] = !g.IsCarried
		default:
			open = append(open, i)
		}
	}
	slices.SortStableFunc(open, func(x, y int) int { return cmp.Compare(groups[x].Remaining, groups[y].Remaining) })
	for at, i := range open {
		surplus[i] = at >= required
	}
	return surplus
}
