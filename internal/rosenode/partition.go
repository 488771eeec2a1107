package rosenode

import (
	"context"
	"math/rand/v2"
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
	// maxPartitionQueries is the number of proxies of other zones that are asked.
	maxPartitionQueries = 6
)

// watchZonePartition detects whether this proxy's availability zone is cut off
// from the others: most targets don't answer, and no proxy of another zone does.
// When a target is lost here or by a proxy of this zone, all are sampled at once, and
// the other zones' proxies asked meanwhile, as the partition may be of the zone.
func (n *Node) watchZonePartition(ctx context.Context) {
	lostBefore := 0
	var unreachableAt time.Time
	for roseclock.Sleep(ctx, partitionCheckInterval) {
		lost, _ := n.countTargets()
		newlyLost := lost > lostBefore
		lostBefore = lost
		if newlyLost {
			n.goroutines.Go(func() { n.notifyZone(ctx) })
		}
		suspected := n.zoneSuspected.Swap(false) || newlyLost
		if suspected {
			n.sampleTargets()
		}
		if (suspected || n.mostTargetsUnreachable()) && time.Since(unreachableAt) > partitionQueryTimeout && !n.otherZonesReachable(ctx) {
			unreachableAt = time.Now()
		}
		partitioned := time.Since(unreachableAt) <= partitionQueryTimeout && n.mostTargetsUnreachable()
		if n.zonePartitioned.Swap(partitioned) == partitioned {
			continue
		}
		klog.InfoS("cut off changed", "cutOff", partitioned, "zone", n.config.Self.Zone)
		n.config.OnZonePartitioned(partitioned)
	}
}

// notifyZone has the other proxies of this zone check for a partition, too: those that
// rely on statuses sampled by others would notice the loss of targets later.
func (n *Node) notifyZone(ctx context.Context) {
	var neighbours []rosemary.ProxyID
	for _, m := range n.locks.Members() {
		if m.Zone == n.config.Self.Zone && m.Proxy != n.config.Self.Proxy {
			neighbours = append(neighbours, m.Proxy)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	n.mesh.QueryUntil(ctx, rosewire.Question{About: rosepeer.AboutZoneSuspected}, neighbours, nil)
}

// ServedElsewhere reports whether clients should connect to another proxy, as this
// one's zone is cut off.
func (n *Node) ServedElsewhere() bool { return n.zonePartitioned.Load() }

// countTargets returns the number of targets that don't answer, and of all.
func (n *Node) countTargets() (lost, all int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		targets, answering := g.CountReachable()
		lost += targets - answering
		all += targets
	}
	return lost, all
}

// sampleTargets has all targets sampled at once.
func (n *Node) sampleTargets() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		g.SampleAllNow()
	}
}

// mostTargetsUnreachable reports whether so few targets answer that all of them
// may be in a single zone.
func (n *Node) mostTargetsUnreachable() bool {
	lost, all := n.countTargets()
	return all > 1 && float64(all-lost) <= maxZoneTargetShare*float64(all)
}

// otherZonesReachable reports whether a proxy of another zone answers. It
// returns true if no proxy is registered there, as then no other proxy could
// serve this proxy's clients.
func (n *Node) otherZonesReachable(ctx context.Context) bool {
	var elsewhere []rosemary.ProxyID
	for _, m := range n.locks.Members() {
		if m.Zone != n.config.Self.Zone {
			elsewhere = append(elsewhere, m.Proxy)
		}
	}
	if len(elsewhere) == 0 {
		return true
	}
	rand.Shuffle(len(elsewhere), func(i, j int) { elsewhere[i], elsewhere[j] = elsewhere[j], elsewhere[i] })
	ctx, cancel := context.WithTimeout(ctx, partitionQueryTimeout)
	defer cancel()
	// The question names no target; any reply shows that the peer is reachable.
	replies := n.mesh.QueryUntil(ctx, rosewire.Question{About: rosepeer.AboutReachability}, elsewhere[:min(len(elsewhere), maxPartitionQueries)],
		func(replies []rosepeer.PeerReply) bool { return len(replies) > 0 })
	return len(replies) > 0
}
