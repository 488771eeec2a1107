package rosenode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// partitionCheckInterval is how often this proxy checks for a partition of
	// its availability zone.
	partitionCheckInterval = 100 * time.Millisecond
	// maxZoneTargetShare is the largest share of all targets that one availability
	// zone is expected to have: about a third, as there are three zones.
	maxZoneTargetShare = 0.4
	// partitionQueryTimeout bounds the wait for a proxy of another zone.
	partitionQueryTimeout = 250 * time.Millisecond
	// zoneNotifyInterval separates the notices of this proxy while it has lost the other
	// zones.
	zoneNotifyInterval = 250 * time.Millisecond
	// zoneSuspicionInterval separates the times at which this proxy passes a suspicion on.
	zoneSuspicionInterval = time.Second
	// zoneAgreementAge is how long such a notice of another proxy counts.
	zoneAgreementAge = 800 * time.Millisecond
	// cutEndTime is how long targets have to contradict a cut before it counts as over though
	// no proxy of another zone answers: those of a group that is newly served count as
	// answering until they are known not to.
	cutEndTime = time.Second
	// maxPartitionQueries is the number of proxies of other zones that are asked.
	maxPartitionQueries = 6
)

// zoneEvidence is what a proxy knows when it decides whether its availability zone is cut
// off. It answers the loss of a zone's links: the zone's clients are served elsewhere
// only once all of its proxies have told the load balancer.
type zoneEvidence struct {
	// targets and answering are the targets that this proxy uses, and those that answer.
	targets, answering int
	// otherZonesLost is set if no proxy of another zone has just answered.
	otherZonesLost bool
	// agreeing is set if another proxy of the zone has lately told that it has lost the
	// other zones, too.
	agreeing bool
}

// partitioned reports whether the zone is cut off. A proxy that uses too few targets to
// tell, as it is the home of no group, needs another one that agrees: it may be cut off
// alone.
func (e zoneEvidence) partitioned() bool {
	if e.targets <= 1 {
		return e.otherZonesLost && e.agreeing
	}
	return e.otherZonesLost && e.mostTargetsLost()
}

// mostTargetsLost reports whether so few targets answer that all of them may be in a
// single zone.
func (e zoneEvidence) mostTargetsLost() bool {
	return e.targets > 1 && float64(e.answering) <= maxZoneTargetShare*float64(e.targets)
}

// zoneCut is whether a proxy takes its availability zone to be cut off. It answers a zone that
// stays cut off while its proxies begin to serve further groups: one health check that succeeds
// brings all clients of the zone back. The zero value isn't cut off.
type zoneCut struct {
	cut bool
	// contradictedAt is since when the evidence contradicts the cut, zero if it doesn't.
	contradictedAt time.Time
}

// withEvidence returns the state after evidence was collected.
func (z zoneCut) withEvidence(evidence zoneEvidence, now time.Time) zoneCut {
	switch {
	case evidence.partitioned():
		return zoneCut{cut: true}
	case !z.cut || !evidence.otherZonesLost:
		return zoneCut{}
	case z.contradictedAt.IsZero():
		z.contradictedAt = now
	case now.Sub(z.contradictedAt) >= cutEndTime:
		return zoneCut{}
	}
	return z
}

// watchZonePartition detects whether this proxy's availability zone is cut off
// from the others. When a target is lost here or by a proxy of this zone, all are sampled
// at once, and the other zones' proxies asked meanwhile.
func (n *Node) watchZonePartition(ctx context.Context) {
	lostBefore := 0
	var lostAt, notifiedAt, suspectedAt time.Time
	var evidence zoneEvidence
	var zone zoneCut
	for roseclock.Sleep(ctx, partitionCheckInterval) {
		evidence.targets, evidence.answering = n.countTargets()
		lost := evidence.targets - evidence.answering
		newlyLost := lost > lostBefore
		lostBefore = lost
		suspected := n.zoneSuspected.Swap(false) || newlyLost
		if newlyLost || suspected && time.Since(suspectedAt) > zoneSuspicionInterval {
			// Those that are linked to this proxy may not be to the one that suspects.
			suspectedAt = time.Now()
			n.goroutines.Go(func() { n.notifyZone(ctx, rosepeer.AboutZoneSuspected) })
		}
		if suspected {
			n.sampleTargets()
		}
		due := time.Since(lostAt) > partitionQueryTimeout
		if due && (suspected || evidence.otherZonesLost || evidence.mostTargetsLost()) {
			evidence.otherZonesLost = !n.otherZonesReachable(ctx)
			if evidence.otherZonesLost {
				lostAt = time.Now()
			}
		}
		if evidence.otherZonesLost && time.Since(notifiedAt) > zoneNotifyInterval {
			notifiedAt = time.Now()
			n.goroutines.Go(func() { n.notifyZone(ctx, rosepeer.AboutZoneLost) })
		}
		evidence.targets, evidence.answering = n.countTargets()
		evidence.agreeing = n.config.Clock.Now().Sub(time.Unix(0, n.zoneLostAt.Load())) <= zoneAgreementAge
		zone = zone.withEvidence(evidence, n.config.Clock.Now())
		partitioned := zone.cut
		if n.zonePartitioned.Swap(partitioned) == partitioned {
			continue
		}
		if !partitioned {
			n.arriveAgain("the zone was cut off")
		}
		klog.InfoS("cut off changed", "cutOff", partitioned, "zone", n.config.Self.Zone, "targets", evidence.targets, "answering", evidence.answering,
			"otherZonesLost", evidence.otherZonesLost, "agreeing", evidence.agreeing)
		n.config.OnZonePartitioned(partitioned)
	}
}

// notifyZone has the linked proxies of this zone check for a partition, too: those that
// rely on statuses sampled by others, or use no targets, would notice it later or never.
func (n *Node) notifyZone(ctx context.Context, about string) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	n.mesh.QueryUntil(ctx, rosewire.Question{About: about}, n.linkedIn(func(z rosemary.Zone) bool { return z == n.config.Self.Zone }), nil)
}

// linkedIn returns the linked proxies of the zones that are accepted.
func (n *Node) linkedIn(accept func(rosemary.Zone) bool) []rosemary.ProxyID {
	var ids []rosemary.ProxyID
	for _, m := range n.mesh.LinkedMembers() {
		if accept(m.Zone) {
			ids = append(ids, m.Proxy)
		}
	}
	return ids
}

// ServedElsewhere reports whether clients should connect to another proxy, as this
// one's zone is cut off.
func (n *Node) ServedElsewhere() bool { return n.zonePartitioned.Load() }

// countTargets returns the number of targets that this proxy uses, and of those that
// answer.
func (n *Node) countTargets() (targets, answering int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		t, a := g.CountReachable()
		targets += t
		answering += a
	}
	return targets, answering
}

// sampleTargets has all targets sampled at once.
func (n *Node) sampleTargets() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		g.SampleAllNow()
	}
}

// otherZonesReachable reports whether a proxy of another zone answers. It
// returns true if no proxy is registered there, as then no other proxy could
// serve this proxy's clients.
func (n *Node) otherZonesReachable(ctx context.Context) bool {
	elsewhere := func(z rosemary.Zone) bool { return z != n.config.Self.Zone }
	if !slices.ContainsFunc(n.locks.Members(), func(m rosemary.Member) bool { return elsewhere(m.Zone) }) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, partitionQueryTimeout)
	defer cancel()
	linked := n.linkedIn(elsewhere)
	if len(linked) == 0 {
		// Links move when members come and go.
		<-ctx.Done()
		return len(n.linkedIn(elsewhere)) > 0
	}
	rand.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	// The question names no target; any reply shows that the peer is reachable.
	replies := n.mesh.QueryUntil(ctx, rosewire.Question{About: rosepeer.AboutReachability}, linked[:min(len(linked), maxPartitionQueries)],
		func(replies []rosepeer.PeerReply) bool { return len(replies) > 0 })
	return len(replies) > 0
}
