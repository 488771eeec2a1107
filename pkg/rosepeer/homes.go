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
// member's place. The time taken grows linearly with the members.
func WeightedHomes(key string, members []rosemary.Member, perZone int) []rosemary.Member {
	byZone := make(map[rosemary.Zone][]scoredMember)
	for _, m := range members {
		scored := scoredMember{m, weightedScore(key, m)}
		chosen := byZone[m.Zone]
		if len(chosen) == perZone {
			if !scored.before(chosen[perZone-1]) {
				continue
			}
			chosen = chosen[:perZone-1]
		}
		at, _ := slices.BinarySearchFunc(chosen, scored, compareScored)
		byZone[m.Zone] = slices.Insert(chosen, at, scored)
	}
	var ranked []scoredMember
	for _, chosen := range byZone {
		ranked = append(ranked, chosen...)
	}
	slices.SortFunc(ranked, compareScored)
	homes := make([]rosemary.Member, len(ranked))
	for i, s := range ranked {
		homes[i] = s.member
	}
	return homes
}

// scoredMember is a member with its weighted score for a key.
type scoredMember struct {
	member rosemary.Member
	score  float64
}

func (s scoredMember) before(other scoredMember) bool { return compareScored(s, other) < 0 }

// compareScored orders members by descending score.
func compareScored(a, b scoredMember) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Proxy, b.member.Proxy))
}

// weightedScore is the weighted rendezvous score of a member: its probability
// of ranking first is proportional to its weight.
func weightedScore(key string, m rosemary.Member) float64 {
	const bits = 53
	uniform := (float64(score(key, m.Proxy)>>(64-bits)) + 0.5) / (1 << bits)
	return -float64(max(m.Weight, 1)) / math.Log(uniform)
}
