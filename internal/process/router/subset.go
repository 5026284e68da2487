package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/version/declarer"
)

// maxLinksPerService is how many targets of one model or service a router keeps
// links to. If there are fewer, it links to all of them.
const maxLinksPerService = 24

// targetsToLink returns the agent addresses, by target, of the targets that the
// routers of a failure domain link to. All routers of a domain link to the same
// targets, so that each can spend the others' tokens there. Targets in the domain
// itself come first, then others by rendezvous hashing, which spreads the links of
// the domains evenly.
func targetsToLink(f *declarer.Fleet, domain string) map[string]string {
	byService := make(map[string][]declarer.Target)
	for _, t := range f.Targets {
		byService[t.Serves] = append(byService[t.Serves], t)
	}
	out := make(map[string]string)
	for _, targets := range byService {
		slices.SortFunc(targets, func(a, b declarer.Target) int {
			return cmp.Compare(linkRank(a, domain), linkRank(b, domain))
		})
		for _, t := range targets[:min(len(targets), maxLinksPerService)] {
			out[t.Name] = t.Agent
		}
	}
	return out
}

// linkRank returns the sort key of a target for a domain; lower ranks are linked first.
func linkRank(t declarer.Target, domain string) uint64 {
	const otherDomain = 1 << 63
	rank := xxhash.Sum64String(domain+"\x00"+t.Name) >> 1
	if t.Domain != domain {
		rank |= otherDomain
	}
	return rank
}
