package rosenode

import (
	"slices"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

// directory is which proxies are homes of which groups, as of one list of members, those of
// them that are settled, one configuration and the slots of the targets. It is immutable and worked out at a change
// of these, so that a request's cost doesn't grow with the number of proxies.
type directory struct {
	members []rosemary.Member
	// settled are the members that count where not every proxy is a home, see
	// rosedecision.Roster.
	settled []rosemary.Member
	version int64
	slots   map[string]int
	groups  map[string]groupHomes
	// companions are the other homes of the groups that this proxy is a home of, and the
	// readers of the store that it asks, sorted.
	companions []rosemary.ProxyID
	reading    reading
}

// groupHomes are the homes of one group as one proxy sees them.
type groupHomes struct {
	// homes are those among the members.
	homes []rosemary.Member
	// few is set if not every member is a home.
	few bool
	// settled are the homes among the settled members if there are few.
	settled []rosemary.Member
	// relay are the homes that requests are relayed to: the settled ones first, then the others.
	relay []rosemary.Member
	// standbys are the proxies of this proxy's availability zone that serve the group if none
	// of its homes can be reached.
	standbys []rosemary.Member
	// sameZone are the homes of relay in this proxy's availability zone.
	sameZone []rosemary.Member
	// home is set if this proxy is one of them.
	home bool
	// teams is set if connections are those of teams.
	teams bool
	// limits are this proxy's connection limits if it serves the group and there are not few
	// homes.
	limits rosefleet.ConnLimits
	// part is what the settled members give this proxy, reserve what it may use without.
	part, reserve rosedecision.Part
}

// newGroupHomes returns the homes of a group.
func newGroupHomes(self rosemary.Member, settings rosemary.GroupSettings, slots int, teams bool, members, settled []rosemary.Member) groupHomes {
	available := availableConns(settings, slots, teams)
	e := groupHomes{homes: homes(settings.Name, available, teams, members), teams: teams}
	e.few = len(e.homes) < len(members)
	e.relay = e.homes
	e.limits = allLimits(settings, slots, teams, self, e.homes)
	e.part = partOf(e.limits)
	if e.few {
		e.settled = homes(settings.Name, available, teams, settled)
		e.relay = slices.Clone(e.settled)
		for _, m := range e.homes {
			if !isAmong(m.Proxy, e.settled) {
				e.relay = append(e.relay, m)
			}
		}
		e.part, e.reserve = homeParts(settings, slots, teams, self, e.settled)
		e.standbys = standbys(settings.Name, self.Zone, members, e.relay)
	}
	e.home = isHome(self.Proxy, e.relay)
	for _, m := range e.relay {
		if m.Zone == self.Zone {
			e.sameZone = append(e.sameZone, m)
		}
	}
	return e
}

// standbys returns the proxies of a zone that come next in rank after a group's homes.
func standbys(group string, zone rosemary.Zone, members, homes []rosemary.Member) []rosemary.Member {
	var others []rosemary.Member
	for _, m := range members {
		if m.Zone == zone && !isAmong(m.Proxy, homes) {
			others = append(others, m)
		}
	}
	return rosepeer.WeightedHomes(group, others, maxStandbys)
}

// maxStandbys is the number of standbys of a group in each availability zone.
const maxStandbys = 6

// connLimits returns the limits of this proxy, given what it may use as a settled home.
func (e groupHomes) connLimits(usable rosedecision.Part) rosefleet.ConnLimits {
	if !e.few {
		return e.limits
	}
	return limitsOf(usable.AtLeast(e.reserve), e.teams)
}

// newDirectory returns the directory of a proxy.
func newDirectory(self rosemary.Member, members, settled []rosemary.Member, configuration *rosemary.Configuration, slots map[string]int) *directory {
	d := &directory{members: members, settled: settled, version: configuration.Version, slots: slots, groups: make(map[string]groupHomes, len(configuration.Groups))}
	together := make(map[rosemary.ProxyID]bool)
	for name, settings := range configuration.Groups {
		settings.Name = name
		entry := newGroupHomes(self, settings, slots[name], configuration.Teams != nil, members, settled)
		for _, m := range entry.relay {
			if entry.home && m.Proxy != self.Proxy {
				together[m.Proxy] = true
			}
		}
		d.groups[name] = entry
	}
	d.reading = newReading(self, members)
	for _, id := range d.reading.asked {
		together[id] = true
	}
	for id := range together {
		d.companions = append(d.companions, id)
	}
	slices.Sort(d.companions)
	return d
}

// relayed returns the proxies that requests of any group may be relayed to.
func (d *directory) relayed() []rosemary.Member {
	var all []rosemary.Member
	for _, entry := range d.groups {
		all = append(append(all, entry.relay...), entry.standbys...)
	}
	return all
}

// few reports whether not every member is a home of every group.
func (d *directory) few() bool {
	for _, entry := range d.groups {
		if entry.few {
			return true
		}
	}
	return false
}

// outdated reports whether the directory was worked out from other members, another
// configuration or other slots.
func (d *directory) outdated(members, settled []rosemary.Member, configuration *rosemary.Configuration, slots map[string]int) bool {
	if d == nil || d.version != configuration.Version || !slices.Equal(d.members, members) {
		return true
	}
	if d.few() && !slices.Equal(d.settled, settled) {
		return true
	}
	for name := range configuration.Groups {
		if d.slots[name] != slots[name] {
			return true
		}
	}
	return false
}

// updateDirectory works the directory out anew if anything that it depends on has
// changed, and returns it. It returns nil before there is a configuration. The caller
// holds the lock.
func (n *Node) updateDirectory(members, settled []rosemary.Member) *directory {
	configuration := n.configuration.Load()
	if configuration == nil {
		return nil
	}
	slots := minSlots(n.registrations)
	current := n.directory.Load()
	if !current.outdated(members, settled, configuration, slots) {
		return current
	}
	next := newDirectory(n.config.Self, members, settled, configuration, slots)
	n.directory.Store(next)
	n.linkCompanions(next)
	n.relayClient.Retain(next.relayed())
	klog.InfoS("homes worked out", "configuration", next.version, "members", len(members), "settled", len(settled), "groups", len(next.groups), "companions", len(next.companions))
	return next
}

// homesOf returns the homes of a group, and whether the group is known.
func (n *Node) homesOf(group string) (groupHomes, bool) {
	d := n.directory.Load()
	if d == nil {
		return groupHomes{}, false
	}
	entry, known := d.groups[group]
	return entry, known
}
