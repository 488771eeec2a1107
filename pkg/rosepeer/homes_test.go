package rosepeer_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

func weightedMembers(size int, weight func(i int) int) []rosemary.Member {
	var members []rosemary.Member
	for i := range size {
		members = append(members, rosemary.Member{
			Proxy: rosemary.ProxyID(fmt.Sprint("p", i)), Zone: rosemary.Zone(fmt.Sprint("z", i%3)), Weight: weight(i),
		})
	}
	return members
}

func TestWeightedHomesPerZone(t *testing.T) {
	members := weightedMembers(30, func(int) int { return 1 })
	homes := rosepeer.WeightedHomes("db", members, 2)
	qt.Check(t, homes, qt.HasLen, 6)
	zones := make(map[rosemary.Zone]int)
	for _, h := range homes {
		zones[h.Zone]++
	}
	qt.Check(t, zones, qt.DeepEquals, map[rosemary.Zone]int{"z0": 2, "z1": 2, "z2": 2})
}

func TestWeightedHomesKeepOthersOnRemoval(t *testing.T) {
	members := weightedMembers(30, func(int) int { return 1 })
	before := rosepeer.WeightedHomes("db", members, 2)
	removed := before[0].Proxy
	var remaining []rosemary.Member
	for _, m := range members {
		if m.Proxy != removed {
			remaining = append(remaining, m)
		}
	}
	after := make(map[rosemary.ProxyID]bool)
	for _, m := range rosepeer.WeightedHomes("db", remaining, 2) {
		after[m.Proxy] = true
	}
	for _, m := range before[1:] {
		qt.Check(t, after[m.Proxy], qt.IsTrue, qt.Commentf("%s", m.Proxy))
	}
}

// Proxies are chosen as homes roughly in proportion to their weight.
func TestWeightedHomesFollowWeight(t *testing.T) {
	members := weightedMembers(30, func(i int) int {
		if i < 3 {
			return 4
		}
		return 1
	})
	heavy, all := 0, 0
	for key := range 1000 {
		for _, h := range rosepeer.WeightedHomes(fmt.Sprint("db", key), members, 1) {
			all++
			if h.Weight == 4 {
				heavy++
			}
		}
	}
	share := float64(heavy) / float64(all)
	// Each zone has one member of weight 4 and nine of weight 1.
	qt.Check(t, share > 0.26 && share < 0.36, qt.IsTrue, qt.Commentf("share of the heavy proxies %.3f, expected about 4/13", share))
}
