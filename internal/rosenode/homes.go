package rosenode

import (
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

const (
	// minHomeConns is the number of connections per target that a home proxy
	// needs: one may be held by an idle transaction, one serves other requests.
	minHomeConns = 2
	// connsPerHome is the number of connections per target that each home proxy
	// gets if there are too few for every proxy to be a home proxy.
	connsPerHome = 5
	// connsPerSlot bounds the connections to a target, so that requests beyond
	// its slots and its queue, which it would refuse, wait in the proxy.
	connsPerSlot = 7
)

// availableConns returns the number of connections that all proxies together
// may hold to one target of a group.
func availableConns(settings rosemary.GroupSettings, slots int) int {
	available := settings.MaxConnections - controlConnections
	if slots > 0 {
		available = min(available, connsPerSlot*slots)
	}
	return max(available, 1)
}

// homes returns the home proxies of a group, which hold connections to its
// targets: all proxies if the targets accept enough connections, else some of
// each availability zone.
func homes(group string, available int, members []rosemary.Member) []rosemary.Member {
	zones := make(map[rosemary.Zone]int)
	for _, m := range members {
		zones[m.Zone]++
	}
	perZone := available / max(len(zones), 1)
	for _, count := range zones {
		if perZone/count < minHomeConns {
			return rosepeer.WeightedHomes(group, members, max(perZone/connsPerHome, 1))
		}
	}
	return members
}

// connLimits returns this proxy's limits. The connections that each target of a
// group accepts are divided evenly among the availability zones, as clients
// connect within their zone, and then among the home proxies of a zone.
func connLimits(available int, self rosemary.Member, homes []rosemary.Member) rosefleet.ConnLimits {
	zones, zoneHomes := map[rosemary.Zone]bool{self.Zone: true}, 1
	for _, m := range homes {
		zones[m.Zone] = true
		if m.Zone == self.Zone && m.Proxy != self.Proxy {
			zoneHomes++
		}
	}
	share := max(available/len(zones)/zoneHomes, 1)
	return rosefleet.ConnLimits{Share: share, Max: share}
}

// startupTime is how long after its start a proxy opens no more connections to a
// target than the target has slots. Other proxies that it doesn't know of yet may
// be starting too, and targets keep the connections of VMs that lost power for
// this long.
const startupTime = 3 * time.Second

// limitToSlots bounds limits by the number of a target's slots, but not below
// minHomeConns.
func limitToSlots(limits rosefleet.ConnLimits, slots int) rosefleet.ConnLimits {
	bound := max(slots, minHomeConns)
	return rosefleet.ConnLimits{Share: min(limits.Share, bound), Max: min(limits.Max, bound)}
}

// isHome reports whether a proxy is among homes. Before the store has been read
// no proxy is known to be registered, and every proxy counts as home.
func isHome(self rosemary.ProxyID, homes []rosemary.Member) bool {
	return len(homes) == 0 || slices.ContainsFunc(homes, func(m rosemary.Member) bool { return m.Proxy == self })
}

// homesAmong returns those members that are home proxies of a group: all before there
// is a configuration.
func (n *Node) homesAmong(group string, members []rosemary.Member) []rosemary.Member {
	d := n.directory.Load()
	if d == nil {
		return members
	}
	if entry, known := d.groups[group]; known && slices.Equal(d.members, members) {
		return entry.homes
	}
	configuration := n.configuration.Load()
	return homes(group, availableConns(configuration.Groups[group], d.slots[group]), members)
}

// homeCount returns the number of home proxies of a group, at least 1.
func (n *Node) homeCount(group string) int {
	entry, _ := n.homesOf(group)
	return max(len(entry.homes), 1)
}

// minSlots returns the smallest number of slots of each group's targets.
func minSlots(registrations []rosemary.TargetRegistration) map[string]int {
	slots := make(map[string]int)
	for _, r := range registrations {
		if known := slots[r.Group]; known == 0 || r.Slots < known {
			slots[r.Group] = r.Slots
		}
	}
	return slots
}
