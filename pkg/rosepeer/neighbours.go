package rosepeer

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

var (
	// zoneOffsets are the distances, in both directions, to neighbours on the
	// ring of a zone.
	zoneOffsets = []int{1, 3, 9, 27}
	// crossZoneOffsets are the distances, in both directions, to the zones on
	// the ring of zones in which there are neighbours.
	crossZoneOffsets = []int{1, 4}
)

// Neighbours returns the proxies that this one sends to and monitors: all
// members up to FullMeshSize, beyond it a bounded number in the same zone and
// in other zones, since a proxy's traffic in a full mesh grows with the number
// of members, and the companions. The relation is symmetric but for companions, whose
// choice depends on lists that may differ for a while: a proxy answers the heartbeats of
// one that it hasn't chosen.
func (n *Node) Neighbours() []rosemary.ProxyID {
	if !n.neighboursStale {
		return n.neighbours
	}
	n.neighboursStale = false
	var members []rosemary.Member
	n.live, n.staying = 1, 1
	for _, p := range n.peers {
		if p.state <= StateSuspect {
			members = append(members, p.member)
		}
		if p.state <= StateSuspect && p.confirmed {
			n.live++
		}
		if p.state != StateLeaving {
			n.staying++
		}
	}
	members = append(members, n.config.Self)
	n.fullMesh = len(members) <= n.config.FullMeshSize
	former := n.neighbours
	if n.config.SelectNeighbours != nil && len(members) > n.config.FullMeshSize {
		n.neighbours = n.config.SelectNeighbours(n.config.Self, members)
	} else {
		n.neighbours = selectNeighbours(n.config.Self, members, n.config.FullMeshSize)
	}
	if !n.fullMesh {
		n.addCompanions()
	}
	n.resetFormerNeighbours(former)
	return n.neighbours
}

// addCompanions adds the companions that aren't dead or leaving to the neighbours.
func (n *Node) addCompanions() {
	for _, id := range n.companions {
		p := n.peers[id]
		if p == nil || p.state > StateSuspect {
			continue
		}
		if at, found := slices.BinarySearch(n.neighbours, id); !found {
			n.neighbours = slices.Insert(n.neighbours, at, id)
		}
	}
}

// resetFormerNeighbours clears neighbourSince of former neighbours: one that is
// chosen again has not been heard from in between, and would be suspected at
// once.
func (n *Node) resetFormerNeighbours(former []rosemary.ProxyID) {
	for _, id := range former {
		if _, kept := slices.BinarySearch(n.neighbours, id); kept {
			continue
		}
		if p := n.peers[id]; p != nil {
			p.neighbourSince = time.Time{}
		}
	}
}

// selectNeighbours chooses self's neighbours among members, which include self.
func selectNeighbours(self rosemary.Member, members []rosemary.Member, fullMeshSize int) []rosemary.ProxyID {
	chosen := make(map[rosemary.ProxyID]bool)
	if len(members) <= fullMeshSize {
		for _, m := range members {
			chosen[m.Proxy] = true
		}
	} else {
		addRingNeighbours(chosen, self, members)
	}
	delete(chosen, self.Proxy)
	list := make([]rosemary.ProxyID, 0, len(chosen))
	for id := range chosen {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// addRingNeighbours adds the members at zoneOffsets in self's zone, and members
// in the zones at crossZoneOffsets: in a zone ahead, the one at self's position
// scaled to the size of that ring; in a zone behind, all whose scaled position
// is self's. Thus both ends choose each other.
func addRingNeighbours(chosen map[rosemary.ProxyID]bool, self rosemary.Member, members []rosemary.Member) {
	rings := zoneRings(members)
	ownRing := rings[self.Zone]
	index := slices.Index(ownRing, self.Proxy)
	for _, offset := range zoneOffsets {
		chosen[ownRing[(index+offset)%len(ownRing)]] = true
		chosen[ownRing[(index-offset%len(ownRing)+len(ownRing))%len(ownRing)]] = true
	}
	zones := make([]rosemary.Zone, 0, len(rings))
	for z := range rings {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	zoneIndex := slices.Index(zones, self.Zone)
	for _, offset := range crossZoneOffsets {
		next := rings[zones[(zoneIndex+offset)%len(zones)]]
		chosen[next[index*len(next)/len(ownRing)]] = true
		previous := rings[zones[(zoneIndex-offset%len(zones)+len(zones))%len(zones)]]
		for i, id := range previous {
			if i*len(ownRing)/len(previous) == index {
				chosen[id] = true
			}
		}
	}
}

// ringMember is a member with its sort key on a ring.
type ringMember struct {
	score uint64
	zone  rosemary.Zone
	proxy rosemary.ProxyID
}

// zoneRings returns the members of each zone ordered by their hashes.
func zoneRings(members []rosemary.Member) map[rosemary.Zone][]rosemary.ProxyID {
	ordered := make([]ringMember, len(members))
	for i, m := range members {
		ordered[i] = ringMember{score("ring", m.Proxy), m.Zone, m.Proxy}
	}
	slices.SortFunc(ordered, func(a, b ringMember) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.proxy, b.proxy))
	})
	rings := make(map[rosemary.Zone][]rosemary.ProxyID)
	for _, m := range ordered {
		rings[m.zone] = append(rings[m.zone], m.proxy)
	}
	return rings
}
