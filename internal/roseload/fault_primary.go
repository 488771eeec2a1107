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
	// crashedFor is how long a crashed target stays down.
	crashedFor = 1500 * time.Millisecond
	// secondCrashAfter separates two crashes of primaries.
	secondCrashAfter = 2500 * time.Millisecond
)

func init() {
	addFault(fault{name: "primary-crash", strike: strikeCrash, stopsWrites: true})
	addFault(fault{name: "primary-crash-twice", strike: strikeCrashTwice, stopsWrites: true})
	addFault(fault{name: "primary-silent", strike: strikeIsolate(false), heal: healNetwork, stopsWrites: true})
	addFault(fault{name: "primary-cut", strike: strikeIsolate(true), heal: healNetwork, stopsWrites: true})
	addFault(fault{name: "zone-cut", strike: strikeZoneCut, heal: healNetwork, stopsWrites: true})
	addFault(fault{name: "primary-move", strike: strikeMove, stopsWrites: true})
}

// strikeCrash ends the primary's process; it starts again after a while with
// all that it had.
func strikeCrash(ctx context.Context, f *faults) {
	primary := f.primary()
	primary.Crash()
	f.startLater(ctx, primary)
}

func strikeCrashTwice(ctx context.Context, f *faults) {
	strikeCrash(ctx, f)
	if roseclock.Sleep(ctx, secondCrashAfter) {
		strikeCrash(ctx, f)
	}
}

func (f *faults) startLater(ctx context.Context, t *rosetarget.Target) {
	f.tasks.Go(func() {
		roseclock.Sleep(ctx, crashedFor)
		if err := t.Start(); err != nil {
			klog.InfoS("target did not start again", "err", err)
		}
	})
}

// strikeIsolate splits the primary from everything, or from all but the
// proxies of its own zone.
func strikeIsolate(zoneStays bool) func(context.Context, *faults) {
	return func(_ context.Context, f *faults) {
		name := string(f.primary().Status().Target)
		zone := f.zoneOf(f.primary())
		f.run.stack.Network.SetBlocked(func(from, to rosenet.Host) bool {
			if from.Name != name && to.Name != name {
				return false
			}
			return !zoneStays || from.Zone != zone || to.Zone != zone
		})
	}
}

// strikeZoneCut splits the primary's zone from the others and the platform.
// Callers still reach every proxy.
func strikeZoneCut(_ context.Context, f *faults) {
	zone := f.zoneOf(f.primary())
	f.run.stack.Network.SetBlocked(cutZone(zone))
}

// cutZone returns the predicate that splits a zone from the others.
func cutZone(zone string) func(from, to rosenet.Host) bool {
	return func(from, to rosenet.Host) bool {
		if from.Zone == rosestack.CallerZone || to.Zone == rosestack.CallerZone {
			return false
		}
		return (from.Zone == zone) != (to.Zone == zone)
	}
}

func healNetwork(f *faults) { f.run.stack.Network.SetBlocked(nil) }

// strikeMove moves the primary as an operator would.
func strikeMove(ctx context.Context, f *faults) {
	p := f.run.stack.RunningProxies()[f.pick(len(f.run.stack.RunningProxies()))]
	if _, err := p.Daemon.MovePrimary(ctx, f.database(), ""); err != nil {
		klog.InfoS("primary not moved", "err", err)
	}
}

func (f *faults) zoneOf(t *rosetarget.Target) string {
	id := string(t.Status().Target)
	for _, d := range f.run.stack.BundleContent.Databases {
		for _, target := range d.Targets {
			if target.ID == id {
				return target.Zone
			}
		}
	}
	return ""
}
