package spender

import (
	"cmp"
	"slices"
)

// Gather returns the indices of the parts that together cover an amount, the largest first, and whether
// they do; if not, none is to be used.
//
// It answers the end of a budget, which lies in parts smaller than a request at many routers. The fewest
// parts are kept, so that each of the others is whole for another request.
func Gather(parts []int64, amount int64) (used []int, ok bool) {
	order := make([]int, len(parts))
	for i := range parts {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(parts[j], parts[i]) })
	for _, i := range order {
		if amount <= 0 {
			break
		}
		if parts[i] > 0 {
			used, amount = append(used, i), amount-parts[i]
		}
	}
	if amount > 0 {
		return nil, false
	}
	return used, true
}

// SplitCost returns the costs of the parts of a reservation, in their order: each is used up before
// the next one.
func SplitCost(parts []int64, cost int64) []int64 {
	costs := make([]int64, len(parts))
	for i, part := range parts {
		costs[i] = min(cost, part)
		cost -= costs[i]
	}
	return costs
}
