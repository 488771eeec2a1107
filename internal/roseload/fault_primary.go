package roseload

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/internal/rosestack"
	"github.com/rosemarywell/rosemarywell/internal/rosetarget"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

const (
	// crashDuration is how long a crashed target stays down.
	crashDuration = 1500 * time.Millisecond
	// secondCrashDelay is the time between two crashes of primaries.
	secondCrashDelay = 2500 * time.Millisecond
)

func init() {
	registerFault(fault{name: "primary-crash", inject: injectPrimaryCrash, stopsWrites: true})
	registerFault(fault{name: "primary-crash-twice", inject: injectTwoPrimaryCrashes, stopsWrites: true})
	registerFault(fault{name: "primary-silent", inject: injectPrimaryPartition(false), heal: healNetwork, stopsWrites: true})
	registerFault(fault{name: "primary-cut", inject: injectPrimaryPartition(true), heal: healNetwork, stopsWrites: true})
	registerFault(fault{name: "zone-cut", inject: injectZonePartition, heal: healNetwork, stopsWrites: true})
	registerFault(fault{name: "primary-move", inject: injectSwitchover, stopsWrites: true})
}

// injectPrimaryCrash crashes the primary and restarts it after crashDuration
// with its log intact.
func injectPrimaryCrash(ctx context.Context, f *injector) {
	primary := f.primary()
	primary.Crash()
	f.restartTargetLater(ctx, primary)
}

func injectTwoPrimaryCrashes(ctx context.Context, f *injector) {
	injectPrimaryCrash(ctx, f)
	if roseclock.Sleep(ctx, secondCrashDelay) {
		injectPrimaryCrash(ctx, f)
	}
}

func (f *injector) restartTargetLater(ctx context.Context, t *rosetarget.Target) {
	f.tasks.Go(func() {
		roseclock.Sleep(ctx, crashDuration)
		if err := t.Start(); err != nil {
			klog.InfoS("target did not start again", "err", err)
		}
	})
}

// injectPrimaryPartition partitions the primary from all other hosts or, with
// keepZone, from all hosts in other zones.
func injectPrimaryPartition(keepZone bool) func(context.Context, *injector) {
	return func(_ context.Context, f *injector) {
		name := string(f.primary().Status().Target)
		zone := f.zoneOf(f.primary())
		f.run.stack.Network.SetBlocked(func(from, to rosenet.Host) bool {
			if from.Name != name && to.Name != name {
				return false
			}
			return !keepZone || from.Zone != zone || to.Zone != zone
		})
	}
}

// injectZonePartition partitions the primary's zone from the other zones and
// the platform. Clients can still reach every proxy.
func injectZonePartition(_ context.Context, f *injector) {
	zone := f.zoneOf(f.primary())
	f.run.stack.Network.SetBlocked(zonePartition(zone))
}

// zonePartition returns a predicate for rosenet's SetBlocked that partitions
// zone from all others except the clients'.
func zonePartition(zone string) func(from, to rosenet.Host) bool {
	return func(from, to rosenet.Host) bool {
		if from.Zone == rosestack.CallerZone || to.Zone == rosestack.CallerZone {
			return false
		}
		return (from.Zone == zone) != (to.Zone == zone)
	}
}

func healNetwork(f *injector) { f.run.stack.Network.SetBlocked(nil) }

// injectSwitchover moves the primary as an operator's command would.
func injectSwitchover(ctx context.Context, f *injector) {
	p := f.run.stack.RunningProxies()[f.randomInt(len(f.run.stack.RunningProxies()))]
	if _, err := p.Daemon.MovePrimary(ctx, f.database(), ""); err != nil {
		klog.InfoS("primary not moved", "err", err)
	}
}

func (f *injector) zoneOf(t *rosetarget.Target) string {
	id := string(t.Status().Target)
	for _, d := range f.run.stack.InitialBundle.Databases {
		for _, target := range d.Targets {
			if target.ID == id {
				return target.Zone
			}
		}
	}
	return ""
}
