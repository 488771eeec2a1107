package rosenode

import (
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

const (
	// leastLinks is the number of links to one target with which a proxy can
	// serve a group by itself: one for a resting transaction, one for others.
	leastLinks = 2
	// homeLinks is the number that a home has if not every proxy can be one.
	homeLinks = 5
	// linksPerSlot bounds the links to a target: more than its slots and its
	// queue take are refused there, and wait better here.
	linksPerSlot = 7
)

// freeConnections is the number of links that all proxies may hold to one of a
// group's targets.
func freeConnections(rule rosemary.GroupSettings, slots int) int {
	free := rule.MaxConnections - controlConnections
	if slots > 0 {
		free = min(free, linksPerSlot*slots)
	}
	return max(free, 1)
}

// homes returns the proxies that hold links to a group's targets: all of them
// if the targets accept as many connections, else some of each zone.
func homes(group string, free int, members []rosemary.Member) []rosemary.Member {
	zones := make(map[rosemary.Zone]int)
	for _, m := range members {
		zones[m.Zone]++
	}
	perZone := free / max(len(zones), 1)
	for _, count := range zones {
		if perZone/count < leastLinks {
			return rosepeer.WeightedHomes(group, members, max(perZone/homeLinks, 1))
		}
	}
	return members
}

// linksOf divides the connections that each target of a group accepts: evenly
// over the availability zones, since callers stay in theirs, and then over the
// homes of a zone.
func linksOf(free int, self rosemary.Member, homes []rosemary.Member) rosefleet.ConnLimits {
	zones, neighbours := map[rosemary.Zone]bool{self.Zone: true}, 1
	for _, m := range homes {
		zones[m.Zone] = true
		if m.Zone == self.Zone && m.Proxy != self.Proxy {
			neighbours++
		}
	}
	share := max(free/len(zones)/neighbours, 1)
	return rosefleet.ConnLimits{Share: share, Max: share}
}

// settleTime is how long after its start a proxy takes no more links than it
// can keep busy: others may be starting too that it doesn't know of yet, and
// targets hold the connections of machines that lost power for as long.
const settleTime = 3 * time.Second

// modest bounds links by the slots of a target.
func modest(links rosefleet.ConnLimits, slots int) rosefleet.ConnLimits {
	most := max(slots, leastLinks)
	return rosefleet.ConnLimits{Share: min(links.Share, most), Max: min(links.Max, most)}
}

// isHome reports whether a proxy is among homes. Nobody is registered before
// the store was read, and then everybody serves for himself.
func isHome(self rosemary.ProxyID, homes []rosemary.Member) bool {
	return len(homes) == 0 || slices.ContainsFunc(homes, func(m rosemary.Member) bool { return m.Proxy == self })
}

// homesOf returns the homes of a group under a configuration.
func (n *Node) homesOf(group string, c *rosemary.Configuration) []rosemary.Member {
	return homes(group, n.freeFor(group, c.Groups[group]), n.duty.Members())
}

// homeCount returns the number of a group's homes.
func (n *Node) homeCount(group string) int {
	c := n.configuration.Load()
	if c == nil {
		return 1
	}
	return max(len(n.homesOf(group, c)), 1)
}

// freeFor returns the number of links to each target of a group.
func (n *Node) freeFor(group string, rule rosemary.GroupSettings) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return freeConnections(rule, slotsOf(group, n.listings))
}

// slotsOf returns the least number of slots of a group's targets, zero if none
// is known.
func slotsOf(group string, listings []rosemary.TargetRegistration) int {
	slots := 0
	for _, l := range listings {
		if l.Group == group && (slots == 0 || l.Slots < slots) {
			slots = l.Slots
		}
	}
	return slots
}
