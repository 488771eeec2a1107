package rosenode

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
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
	// teamConnsPerHome is the same number where a connection serves one team, as there are
	// more teams than connections.
	teamConnsPerHome = 10
	// connsPerSlot bounds the connections to a target, so that requests beyond
	// its slots and its queue, which it would refuse, wait in the proxy. Where connections
	// are those of teams, few are in use at once, which is bounded instead.
	connsPerSlot = 7
	// targetQueue is the number of requests that a target queues beside those in its slots.
	targetQueue = 32
	// reservedShare is the part of the open connections that is reserved for homes that were
	// just given theirs, if the connections are those of teams.
	reservedShare = 4
)

// usableConns returns the number of connections to one target of a group that all proxies
// together may use at once.
func usableConns(settings rosemary.GroupSettings, slots int) int {
	usable := settings.MaxConnections - controlConnections
	if slots > 0 {
		usable = min(usable, connsPerSlot*slots)
	}
	return max(usable, 1)
}

// availableConns returns the number of connections that all proxies together may hold to one
// target of a group.
func availableConns(settings rosemary.GroupSettings, slots int, teams bool) int {
	if teams {
		return max(settings.MaxConnections-controlConnections, 1)
	}
	return usableConns(settings, slots)
}

// homes returns the home proxies of a group, which hold connections to its
// targets: all proxies if the targets accept enough connections, else some of
// each availability zone.
func homes(group string, available int, teams bool, members []rosemary.Member) []rosemary.Member {
	perHome := connsPerHome
	if teams {
		perHome = teamConnsPerHome
	}
	zones := make(map[rosemary.Zone]int)
	for _, m := range members {
		zones[m.Zone]++
	}
	perZone := available / max(len(zones), 1)
	for _, count := range zones {
		if perZone/count < minHomeConns {
			return rosepeer.WeightedHomes(group, members, max(perZone/perHome, 1))
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

// allLimits returns this proxy's limits if every proxy is a home.
func allLimits(settings rosemary.GroupSettings, slots int, teams bool, self rosemary.Member, homes []rosemary.Member) rosefleet.ConnLimits {
	limits := connLimits(usableConns(settings, slots), self, homes)
	if !teams {
		return limits
	}
	inUse := limits.Max
	limits = connLimits(availableConns(settings, slots, teams), self, homes)
	limits.MaxInUse = inUse
	return limits
}

// homeParts returns this proxy's part of each target's connections as one of the settled
// homes, none if it isn't one, and the reserve of any other proxy that serves the group. The
// parts of all settled homes and a reserve for each stay within the target's connections, and
// those in use within its slots and its queue.
func homeParts(settings rosemary.GroupSettings, slots int, teams bool, self rosemary.Member, settled []rosemary.Member) (part, reserve rosedecision.Part) {
	count := max(len(settled), 1)
	room := settings.MaxConnections - controlConnections
	inUseRoom := room
	if slots > 0 {
		inUseRoom = min(room, slots+targetQueue)
	}
	reserve.InUse = max((slots+count-1)/count, 1)
	part.InUse = divide(min(usableConns(settings, slots), inUseRoom-count*reserve.InUse), self, settled)
	reserve.Open, part.Open = reserve.InUse, part.InUse
	if teams {
		reserve.Open = max(reserve.InUse, room/reservedShare/count)
		part.Open = divide(room-count*reserve.Open, self, settled)
		// What goes beyond the slots would wait at the target, in the order of arrival.
		part.InUse = min(part.InUse, part.Open, max(slots, reserve.InUse))
	}
	return part, reserve
}

// divide returns this proxy's part of a number of connections that is divided evenly among
// the availability zones, and then among the homes of a zone.
func divide(available int, self rosemary.Member, homes []rosemary.Member) int {
	byZone := make(map[rosemary.Zone][]rosemary.ProxyID)
	for _, m := range homes {
		byZone[m.Zone] = append(byZone[m.Zone], m.Proxy)
	}
	zones := slices.Sorted(maps.Keys(byZone))
	inZone := slices.Sorted(slices.Values(byZone[self.Zone]))
	rank := slices.Index(inZone, self.Proxy)
	if rank < 0 {
		return 0
	}
	return evenPart(evenPart(max(available, 0), len(zones), slices.Index(zones, self.Zone)), len(inZone), rank)
}

// evenPart returns the part that comes index-th of a total divided into count parts.
func evenPart(total, count, index int) int {
	part := total / count
	if index < total%count {
		part++
	}
	return part
}

// partOf and limitsOf convert between limits and parts.
func partOf(limits rosefleet.ConnLimits) rosedecision.Part {
	part := rosedecision.Part{Open: limits.Max, InUse: limits.MaxInUse}
	if part.InUse == 0 {
		part.InUse = part.Open
	}
	return part
}

func limitsOf(part rosedecision.Part, teams bool) rosefleet.ConnLimits {
	limits := rosefleet.ConnLimits{Share: part.Open, Max: part.Open}
	if teams {
		limits.MaxInUse = part.InUse
	}
	return limits
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
	return rosefleet.ConnLimits{Share: min(limits.Share, bound), Max: min(limits.Max, bound), MaxInUse: min(limits.MaxInUse, bound)}
}

// isHome reports whether a proxy is among homes. Before the store has been read
// no proxy is known to be registered, and every proxy counts as home.
func isHome(self rosemary.ProxyID, homes []rosemary.Member) bool {
	return len(homes) == 0 || isAmong(self, homes)
}

func isAmong(id rosemary.ProxyID, members []rosemary.Member) bool {
	return slices.ContainsFunc(members, func(m rosemary.Member) bool { return m.Proxy == id })
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
	teams := configuration.Teams != nil
	return homes(group, availableConns(configuration.Groups[group], d.slots[group], teams), teams, members)
}

// usersOf returns the number of proxies that use a group's targets: its homes, and this
// proxy, which a stale list of members may lack.
func (n *Node) usersOf(group string) int {
	entry, _ := n.homesOf(group)
	if isAmong(n.config.Self.Proxy, entry.homes) {
		return len(entry.homes)
	}
	return len(entry.homes) + 1
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
