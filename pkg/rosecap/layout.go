package rosecap

import (
	"hash/fnv"
	"maps"
	"slices"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// HostsPerZone is the number of places for hosts in each availability zone. One proxy may have
// several of them.
const HostsPerZone = 3

// maxRemoteHosts is the number of hosts of other zones that are asked for tokens.
const maxRemoteHosts = 4

// Layout is which proxies host the usage caps. It answers fleets in which proxies restart, lose
// power together or are cut off with their zone: places are fixed, so that no share depends on
// who is reachable, and each zone has its own. The zero value has no hosts. It is immutable.
type Layout struct {
	zones []rosemary.Zone
	hosts map[rosemary.Zone][]rosemary.ProxyID
}

// NewLayout returns the layout with the hosts of each zone in the order of their places.
func NewLayout(hosts map[rosemary.Zone][]rosemary.ProxyID) Layout {
	return Layout{zones: slices.Sorted(maps.Keys(hosts)), hosts: hosts}
}

// Equal reports whether two layouts have the same hosts.
func (l Layout) Equal(other Layout) bool {
	return maps.EqualFunc(l.hosts, other.hosts, slices.Equal[[]rosemary.ProxyID])
}

// Hosts returns the hosts that a proxy may ask for tokens of some team, sorted: those of its
// zone, and a few of others.
func (l Layout) Hosts(self rosemary.Member) []rosemary.ProxyID {
	hosts := slices.Concat(l.hosts[self.Zone], l.remoteHosts(self))
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// remoteHosts returns the hosts of other zones that a proxy asks, others for each proxy.
func (l Layout) remoteHosts(self rosemary.Member) []rosemary.ProxyID {
	var hosts []rosemary.ProxyID
	at := spreadIndex(string(self.Proxy))
	for n := range l.zones {
		zone := l.zones[(at+n)%len(l.zones)]
		if places := l.hosts[zone]; zone != self.Zone && len(places) > 0 {
			hosts = append(hosts, places[at%len(places)])
		}
	}
	return hosts[:min(len(hosts), maxRemoteHosts)]
}

// place is one place for a host.
type place struct {
	zone  rosemary.Zone
	index int
}

// places returns the places that have a share of a team's cap.
func (l Layout) places(team roseteam.Team, policy Policy) []place {
	operations, at := dividedPart*policy.operations(*team.Cap), spreadIndex(team.Name)
	zones := l.zones
	perZone := operations / float64(max(len(zones), 1))
	if perZone < minZoneShare && len(zones) > 0 {
		zones = []rosemary.Zone{zones[at%len(zones)]}
	}
	var places []place
	for _, zone := range zones {
		for index := range HostsPerZone {
			if perZone/HostsPerZone >= minHostShare || index == at%HostsPerZone {
				places = append(places, place{zone, index})
			}
		}
	}
	return places
}

// holder returns the host in a place.
func (l Layout) holder(p place) (rosemary.ProxyID, bool) {
	hosts := l.hosts[p.zone]
	if p.index >= len(hosts) {
		return "", false
	}
	return hosts[p.index], true
}

// shareOf returns what a host may grant of a team's cap.
func (l Layout) shareOf(host rosemary.ProxyID, team roseteam.Team, policy Policy) share {
	places, own := l.places(team, policy), 0
	for _, p := range places {
		if holder, known := l.holder(p); known && holder == host {
			own++
		}
	}
	if own == 0 {
		return share{}
	}
	return policy.newShare(dividedPart * policy.operations(*team.Cap) * float64(own) / float64(len(places)))
}

// order returns the hosts that a proxy asks for tokens of a team, one after the other: those of
// its zone, each proxy beginning with another one, and then a few of other zones.
func (l Layout) order(self rosemary.Member, team roseteam.Team, policy Policy) []rosemary.ProxyID {
	var near, far []rosemary.ProxyID
	for _, p := range l.places(team, policy) {
		switch host, known := l.holder(p); {
		case !known:
		case p.zone == self.Zone:
			near = append(near, host)
		default:
			far = append(far, host)
		}
	}
	at := spreadIndex(string(self.Proxy) + team.Name)
	near, far = rotated(near, at), rotated(far, at)
	remote := l.remoteHosts(self)
	slices.SortStableFunc(far, func(a, b rosemary.ProxyID) int {
		// Those that this proxy asks for other teams, too, come first.
		return slices.Index(remote, b) - slices.Index(remote, a)
	})
	var order []rosemary.ProxyID
	for _, host := range append(near, far[:min(len(far), maxRemoteHosts)]...) {
		if !slices.Contains(order, host) {
			order = append(order, host)
		}
	}
	return order
}

// rotated returns hosts from one of them on.
func rotated(hosts []rosemary.ProxyID, at int) []rosemary.ProxyID {
	if len(hosts) == 0 {
		return nil
	}
	at %= len(hosts)
	return slices.Concat(hosts[at:], hosts[:at])
}

// spreadIndex returns a number that is the same for everyone and differs among names.
func spreadIndex(name string) int {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	x := hash.Sum32()
	return int((x ^ x>>15) & (1<<30 - 1))
}
