package rosepeer

import (
	"cmp"
	"slices"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

var (
	// zoneSteps are the distances to neighbours on the ring of a zone.
	zoneSteps = []int{1, 3, 9, 27}
	// crossSteps are the distances to neighbours on the ring of zones.
	crossSteps = []int{1, 4}
)

// Neighbours returns the proxies that this one sends to and watches. Up to a
// size these are all; beyond it, a bounded number within the zone and in
// other zones, the same seen from both ends.
func (n *Node) Neighbours() []rosemary.ProxyID {
	if !n.stale {
		return n.neighbours
	}
	n.stale = false
	var members []rosemary.Member
	for _, p := range n.peers {
		if p.state <= StateSuspect {
			members = append(members, p.member)
		}
	}
	members = append(members, n.config.Self)
	if n.config.Select != nil && len(members) > n.config.MeshSize {
		n.neighbours = n.config.Select(n.config.Self, members)
		return n.neighbours
	}
	n.neighbours = neighboursOf(n.config.Self, members, n.config.MeshSize)
	return n.neighbours
}

// neighboursOf chooses self's neighbours among members, self included.
func neighboursOf(self rosemary.Member, members []rosemary.Member, meshSize int) []rosemary.ProxyID {
	chosen := make(map[rosemary.ProxyID]bool)
	if len(members) <= meshSize {
		for _, m := range members {
			chosen[m.Proxy] = true
		}
	} else {
		chooseRings(chosen, self, members)
	}
	delete(chosen, self.Proxy)
	list := make([]rosemary.ProxyID, 0, len(chosen))
	for id := range chosen {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func chooseRings(chosen map[rosemary.ProxyID]bool, self rosemary.Member, members []rosemary.Member) {
	rings := ringsOf(members)
	own := rings[self.Zone]
	at := slices.Index(own, self.Proxy)
	for _, step := range zoneSteps {
		chosen[own[(at+step)%len(own)]] = true
		chosen[own[(at-step%len(own)+len(own))%len(own)]] = true
	}
	zones := make([]rosemary.Zone, 0, len(rings))
	for z := range rings {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	place := slices.Index(zones, self.Zone)
	for _, step := range crossSteps {
		ahead := rings[zones[(place+step)%len(zones)]]
		chosen[ahead[at*len(ahead)/len(own)]] = true
		behind := rings[zones[(place-step%len(zones)+len(zones))%len(zones)]]
		for i, id := range behind {
			if i*len(own)/len(behind) == at {
				chosen[id] = true
			}
		}
	}
}

// ringsOf returns the members of each zone in the order of their hashes.
func ringsOf(members []rosemary.Member) map[rosemary.Zone][]rosemary.ProxyID {
	rings := make(map[rosemary.Zone][]rosemary.ProxyID)
	for _, m := range members {
		rings[m.Zone] = append(rings[m.Zone], m.Proxy)
	}
	for _, ring := range rings {
		slices.SortFunc(ring, func(a, b rosemary.ProxyID) int {
			return cmp.Or(cmp.Compare(score("ring", a), score("ring", b)), cmp.Compare(a, b))
		})
	}
	return rings
}
