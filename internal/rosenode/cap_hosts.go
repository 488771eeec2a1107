package rosenode

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
)

const (
	// hostsKey ranks the proxies of a zone for the places of hosts.
	hostsKey = "usage hosts"
	// hostsCreationDelay is how long after its start a proxy chooses the hosts of a zone that
	// has none, so that the proxies that start with it are known.
	hostsCreationDelay = 3 * time.Second
	// hostsRankDelay staggers the proxies that may choose hosts.
	hostsRankDelay = 300 * time.Millisecond
	// hostsWriteInterval is the time between attempts to choose hosts.
	hostsWriteInterval = 2 * time.Second
	// hostStopTime is how long after the end of its lease a host stops that is out of touch,
	// while others reach the store.
	hostStopTime = 8 * time.Second
	// hostTakeTime is how long a host has to be missing before its place is taken. It has
	// stopped then.
	hostTakeTime = 12 * time.Second
	// groupTakeTime is the same time if others are missing, too: they may be cut off together,
	// and take it that nobody reaches the store.
	groupTakeTime = 10 * time.Minute
	// hostBeginDelay is how long after it has taken a place a proxy begins to grant.
	hostBeginDelay = 3 * time.Second
	// freshNewsAge is the age of news from the store up to which somebody reaches it.
	freshNewsAge = 10 * time.Second
	// maxHostTick is the time between checks from which on a host has stood still.
	maxHostTick = 5 * time.Second
)

// hosting is whether a proxy is a host of usage caps. A place belongs to one proxy by a record
// in the store, so that it has it again at once after a restart. A proxy that takes the place
// of another one waits until that has stopped by itself.
type hosting struct {
	// checkedAt is when it was last worked out, zero before.
	checkedAt time.Time
	// wokeAt is when the proxy last went on after it had stood still.
	wokeAt time.Time
	// takenAt is when this process took a place.
	takenAt time.Time
	// missingSince is since when members of the fleet are missing.
	missingSince map[rosemary.ProxyID]time.Time
	// triedAt is when hosts were last chosen here.
	triedAt time.Time
}

// stoodStill reports whether the proxy has just gone on after it had stood still, and hasn't
// noticed yet.
func (h hosting) stoodStill(now time.Time) bool { return now.Sub(h.checkedAt) > maxHostTick }

// newCapLayout returns the layout of the hosts read from the store.
func newCapLayout(hosts map[rosemary.Zone]rosesupervisor.UsageHosts) rosecap.Layout {
	places := make(map[rosemary.Zone][]rosemary.ProxyID, len(hosts))
	for zone, h := range hosts {
		places[zone] = h.Hosts
	}
	return rosecap.NewLayout(places)
}

// followHosts begins or stops granting as this proxy has a place, and has free places of its
// zone taken.
func (c *usageCaps) followHosts(ctx context.Context) {
	n, now := c.node, c.node.config.Clock.Now()
	places := n.locks.UsageHosts()[n.config.Self.Zone]
	named := slices.Contains(places.Hosts, n.config.Self.Proxy)
	c.mu.Lock()
	h := &c.hosting
	if h.stoodStill(now) && !h.checkedAt.IsZero() {
		h.wokeAt = now
	}
	h.checkedAt = now
	why := c.stopReason(now, named)
	switch {
	case why == "" && c.pool == nil && c.teams != nil:
		c.pool = rosecap.NewPool(n.config.Self.Proxy, c.policy)
		c.pool.SetTeams(now, c.teams, c.layout)
		klog.InfoS("cap host begins", "places", len(places.Hosts), "hosts", places.Hosts)
	case (why != "" || c.teams == nil) && c.pool != nil:
		c.pool = nil
		klog.InfoS("cap host stops", "why", why)
	}
	serves := c.teams != nil && !c.reports && n.homeOfAny()
	c.reports = c.reports || serves
	c.mu.Unlock()
	if serves {
		n.linkCompanions(n.directory.Load())
	}
	c.takePlaces(ctx, now, places)
}

// hostEvidence is what decides whether a proxy that has a place may grant tokens.
type hostEvidence struct {
	// sinceTaken is how long ago this process took the place, if it did.
	sinceTaken time.Duration
	// silence is the time since the end of this proxy's lease, negative while that is in force.
	silence time.Duration
	// unread is set while the store hasn't been read since the proxy last stood still.
	unread bool
	// isolated is set while this proxy is neither registered nor known to most others.
	isolated bool
	// newsAge is the age of the latest news from the store, read here or by other proxies.
	newsAge time.Duration
}

// stopReason returns why the proxy must not grant tokens, or nothing if it may. Another one
// may be about to take its place once it is out of touch, unless nobody reaches the store.
func (e hostEvidence) stopReason() string {
	switch {
	case e.sinceTaken < hostBeginDelay:
		return "the place was just taken"
	case e.unread:
		return "stood still, and the store hasn't been read since"
	case e.silence > hostStopTime && e.isolated:
		return "out of touch with all"
	case e.silence > hostStopTime && e.newsAge < freshNewsAge:
		return "out of touch with the store, which others reach"
	}
	return ""
}

// stopReason returns why this proxy must not grant tokens, or nothing if it may. The caller
// holds the lock.
func (c *usageCaps) stopReason(now time.Time, named bool) string {
	if !named {
		return "another proxy has the place"
	}
	n, h := c.node, c.hosting
	return hostEvidence{
		sinceTaken: now.Sub(h.takenAt),
		silence:    now.Sub(n.locks.RegisteredUntil()),
		unread:     !h.wokeAt.IsZero() && !n.locks.ListedAt().After(h.wokeAt),
		isolated:   n.isIsolated(now),
		newsAge:    n.configurationAge(),
	}.stopReason()
}

// homeOfAny reports whether this proxy is a home of any group.
func (n *Node) homeOfAny() bool {
	d := n.directory.Load()
	if d == nil {
		return false
	}
	for _, entry := range d.groups {
		if entry.home {
			return true
		}
	}
	return false
}

// takePlaces chooses the hosts of this proxy's zone if there are none, and takes the place of
// one that is missing, if it is this proxy's turn.
func (c *usageCaps) takePlaces(ctx context.Context, now time.Time, places rosesupervisor.UsageHosts) {
	n := c.node
	zone := n.settledInZone(now)
	c.mu.Lock()
	c.hosting.observe(now, n.locks.Members(), places.Hosts)
	due := c.teams != nil && now.Sub(c.hosting.triedAt) >= hostsWriteInterval
	c.mu.Unlock()
	if !due || !n.locks.Registered() || !isAmong(n.config.Self.Proxy, zone) {
		return
	}
	next := c.nextHosts(now, places, zone)
	if places.Stored() && slices.Equal(next, places.Hosts) || len(next) == 0 {
		return
	}
	c.mu.Lock()
	c.hosting.triedAt = now
	c.mu.Unlock()
	n.goroutines.Go(func() { c.writeHosts(ctx, places.Hosts, next) })
}

// settledInZone returns the settled members of this proxy's zone.
func (n *Node) settledInZone(now time.Time) []rosemary.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(n.roster.Settled(now), func(m rosemary.Member) bool { return m.Zone != n.config.Self.Zone })
}

// nextHosts returns the hosts that this proxy's zone should have, none if others are to choose
// them first.
func (c *usageCaps) nextHosts(now time.Time, places rosesupervisor.UsageHosts, zone []rosemary.Member) []rosemary.ProxyID {
	if places.Stored() {
		return c.withFreePlaces(now, places.Hosts, zone)
	}
	turn := time.Duration(rosepeer.RendezvousRank(hostsKey, zone, c.node.config.Self.Proxy)) * hostsRankDelay
	switch {
	case time.Since(c.node.startedAt) < hostsCreationDelay+turn:
		return nil
	case len(places.Hosts) > 0:
		// They are known from an earlier epoch of the store.
		return places.Hosts
	}
	return chooseHosts(zone)
}

// writeHosts writes the hosts of this proxy's zone.
func (c *usageCaps) writeHosts(ctx context.Context, former, next []rosemary.ProxyID) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	self := c.node.config.Self
	err := c.node.locks.SetUsageHosts(ctx, self.Zone, next)
	klog.InfoS("cap hosts chosen", "zone", self.Zone, "former", former, "hosts", next, "err", roselog.ErrorMessage(err))
	if err == nil && former != nil && !slices.Contains(former, self.Proxy) {
		c.mu.Lock()
		c.hosting.takenAt = c.node.config.Clock.Now()
		c.mu.Unlock()
	}
}

// chooseHosts returns the hosts of a zone's places. A small zone's proxies have several.
func chooseHosts(zone []rosemary.Member) []rosemary.ProxyID {
	chosen := rosepeer.WeightedHomes(hostsKey, zone, rosecap.HostsPerZone)
	hosts := make([]rosemary.ProxyID, rosecap.HostsPerZone)
	for i := range hosts {
		hosts[i] = chosen[i%len(chosen)].Proxy
	}
	return hosts
}

// withFreePlaces returns the hosts with this proxy in the place of one that has been missing
// for long, if this is the first proxy of the zone that may take it.
func (c *usageCaps) withFreePlaces(now time.Time, hosts []rosemary.ProxyID, zone []rosemary.Member) []rosemary.ProxyID {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := slices.Clone(hosts)
	for i, host := range hosts {
		candidates := slices.DeleteFunc(slices.Clone(zone), func(m rosemary.Member) bool {
			return len(zone) > len(hosts) && slices.Contains(hosts, m.Proxy)
		})
		first := rosepeer.RendezvousOrder(hostsKey, candidates)
		if len(first) > 0 && first[0].Proxy == c.node.config.Self.Proxy && c.hosting.free(now, host) {
			next[i] = first[0].Proxy
		}
	}
	return next
}

// observe records which members are missing.
func (h *hosting) observe(now time.Time, members []rosemary.Member, hosts []rosemary.ProxyID) {
	if h.missingSince == nil {
		h.missingSince = make(map[rosemary.ProxyID]time.Time)
	}
	for _, m := range members {
		// A zero time stands for a member that is listed.
		h.missingSince[m.Proxy] = time.Time{}
	}
	for _, host := range hosts {
		if _, known := h.missingSince[host]; !known {
			h.missingSince[host] = now
		}
	}
	for id, since := range h.missingSince {
		if since.IsZero() && !isAmong(id, members) {
			h.missingSince[id] = now
		}
	}
	maps.DeleteFunc(h.missingSince, func(_ rosemary.ProxyID, since time.Time) bool {
		return !since.IsZero() && now.Sub(since) > 2*groupTakeTime
	})
}

// free reports whether a host has been missing for so long that it has stopped.
func (h *hosting) free(now time.Time, host rosemary.ProxyID) bool {
	since, known := h.missingSince[host]
	if !known || since.IsZero() {
		return false
	}
	for id, other := range h.missingSince {
		if id != host && !other.IsZero() && other.Sub(since).Abs() < hostStopTime+hostTakeTime {
			return now.Sub(since) >= groupTakeTime
		}
	}
	return now.Sub(since) >= hostTakeTime
}
