package rosepeer

import (
	"cmp"
	"slices"
	"time"

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
	before := n.neighbours
	if n.config.SelectNeighbours != nil && len(members) > n.config.FullMeshSize {
		n.neighbours = n.config.SelectNeighbours(n.config.Self, members)
	} else {
		n.neighbours = neighboursOf(n.config.Self, members, n.config.FullMeshSize)
	}
	n.unwatch(before)
	return n.neighbours
}

// unwatch forgets since when former neighbours were watched: one that becomes
// a neighbour again has not been heard meanwhile.
func (n *Node) unwatch(before []rosemary.ProxyID) {
	for _, id := range before {
		if _, kept := slices.BinarySearch(n.neighbours, id); kept {
			continue
		}
		if p := n.peers[id]; p != nil {
			p.watchedAt = time.Time{}
		}
	}
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

// ringPlace is a member and its place on a ring.
type ringPlace struct {
	score uint64
	zone  rosemary.Zone
	proxy rosemary.ProxyID
}

// ringsOf returns the members of each zone in the order of their hashes.
func ringsOf(members []rosemary.Member) map[rosemary.Zone][]rosemary.ProxyID {
	places := make([]ringPlace, len(members))
	for i, m := range members {
		places[i] = ringPlace{score("ring", m.Proxy), m.Zone, m.Proxy}
	}
	slices.SortFunc(places, func(a, b ringPlace) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.proxy, b.proxy))
	})
	rings := make(map[rosemary.Zone][]rosemary.ProxyID)
	for _, p := range places {
		rings[p.zone] = append(rings[p.zone], p.proxy)
	}
	return rings
}
