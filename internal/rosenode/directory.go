package rosenode

import (
	"slices"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// directory is which proxies are homes of which groups, as of one list of members, one
// configuration and the slots of the targets. It is immutable and worked out at a change
// of these, so that a request's cost doesn't grow with the number of proxies.
type directory struct {
	members []rosemary.Member
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
	homes []rosemary.Member
	// sameZone are the homes in this proxy's availability zone.
	sameZone []rosemary.Member
	// home is set if this proxy is one of them.
	home bool
	// limits are this proxy's connection limits if it serves the group.
	limits rosefleet.ConnLimits
}

// newDirectory returns the directory of a proxy.
func newDirectory(self rosemary.Member, members []rosemary.Member, configuration *rosemary.Configuration, slots map[string]int) *directory {
	d := &directory{members: members, version: configuration.Version, slots: slots, groups: make(map[string]groupHomes, len(configuration.Groups))}
	together := make(map[rosemary.ProxyID]bool)
	for name, settings := range configuration.Groups {
		available := availableConns(settings, slots[name])
		entry := groupHomes{homes: homes(name, available, members)}
		entry.home = isHome(self.Proxy, entry.homes)
		entry.limits = connLimits(available, self, entry.homes)
		for _, m := range entry.homes {
			if m.Zone == self.Zone {
				entry.sameZone = append(entry.sameZone, m)
			}
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

// allHomes returns the homes of all groups.
func (d *directory) allHomes() []rosemary.Member {
	var all []rosemary.Member
	for _, entry := range d.groups {
		all = append(all, entry.homes...)
	}
	return all
}

// outdated reports whether the directory was worked out from other members, another
// configuration or other slots.
func (d *directory) outdated(members []rosemary.Member, configuration *rosemary.Configuration, slots map[string]int) bool {
	if d == nil || d.version != configuration.Version || !slices.Equal(d.members, members) {
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
func (n *Node) updateDirectory(members []rosemary.Member) *directory {
	configuration := n.configuration.Load()
	if configuration == nil {
		return nil
	}
	slots := minSlots(n.registrations)
	current := n.directory.Load()
	if !current.outdated(members, configuration, slots) {
		return current
	}
	next := newDirectory(n.config.Self, members, configuration, slots)
	n.directory.Store(next)
	n.linkCompanions(next)
	n.relayClient.Retain(next.allHomes())
	klog.InfoS("homes worked out", "configuration", next.version, "members", len(members), "groups", len(next.groups), "companions", len(next.companions))
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
