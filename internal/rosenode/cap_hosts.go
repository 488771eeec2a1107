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
	why := c.mayHost(now, named)
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

// mayHost returns why this proxy must not grant tokens, or nothing. The caller holds the lock.
func (c *usageCaps) mayHost(now time.Time, named bool) (why string) {
	n, h := c.node, c.hosting
	silence := now.Sub(n.locks.RegisteredUntil())
	switch {
	case !named:
		return "another proxy has the place"
	case now.Sub(h.takenAt) < hostBeginDelay:
		return "the place was just taken"
	case !h.wokeAt.IsZero() && !n.locks.ListedAt().After(h.wokeAt):
		return "stood still, and the store hasn't been read since"
	case silence > hostStopTime && n.isolated.Load():
		return "out of touch with all"
	case silence > hostStopTime && n.configurationAge() < freshNewsAge:
		return "out of touch with the store, which others reach"
	}
	return ""
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
	c.mu.Lock()
	waits := c.teams == nil || now.Sub(c.hosting.triedAt) < hostsWriteInterval || !n.locks.Registered()
	c.mu.Unlock()
	n.mu.Lock()
	settled := n.roster.Settled(now)
	n.mu.Unlock()
	var zone []rosemary.Member
	for _, m := range settled {
		if m.Zone == n.config.Self.Zone {
			zone = append(zone, m)
		}
	}
	c.mu.Lock()
	c.hosting.observe(now, n.locks.Members(), places.Hosts)
	c.mu.Unlock()
	if waits || !isAmong(n.config.Self.Proxy, zone) {
		return
	}
	next := places.Hosts
	rank := rosepeer.RendezvousRank(hostsKey, zone, n.config.Self.Proxy)
	if !places.Stored() {
		if time.Since(n.startedAt) < hostsCreationDelay+time.Duration(rank)*hostsRankDelay {
			return
		}
		if len(next) == 0 {
			next = chooseHosts(zone)
		}
	} else {
		next = c.withFreePlaces(now, places.Hosts, zone)
		if slices.Equal(next, places.Hosts) {
			return
		}
	}
	c.mu.Lock()
	c.hosting.triedAt = now
	c.mu.Unlock()
	n.goroutines.Go(func() { c.writeHosts(ctx, places.Hosts, next) })
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
