package rosepeer

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// WeightedHomes returns the home proxies of a group, which hold connections to
// its targets: perZone members of each availability zone, chosen by weighted
// rendezvous hashing of the key. Adding or removing a member reassigns only that
// member's place.
func WeightedHomes(key string, members []rosemary.Member, perZone int) []rosemary.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b rosemary.Member) int {
		return cmp.Or(cmp.Compare(weightedScore(key, b), weightedScore(key, a)), cmp.Compare(a.Proxy, b.Proxy))
	})
	perZoneCount := make(map[rosemary.Zone]int)
	var homes []rosemary.Member
	for _, m := range ranked {
		if perZoneCount[m.Zone] < perZone {
			perZoneCount[m.Zone]++
			homes = append(homes, m)
		}
	}
	return homes
}

// weightedScore is the weighted rendezvous score of a member: its probability
// of ranking first is proportional to its weight.
func weightedScore(key string, m rosemary.Member) float64 {
	const bits = 53
	uniform := (float64(score(key, m.Proxy)>>(64-bits)) + 0.5) / (1 << bits)
	return -float64(max(m.Weight, 1)) / math.Log(uniform)
}
