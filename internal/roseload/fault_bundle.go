package roseload

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

const (
	// rolloutCount is the number of rounds of proposals in bundle-rollout and
	// bundle-race.
	rolloutCount = 5
	// rolloutPause is the time between two rounds.
	rolloutPause = 200 * time.Millisecond
)

func init() {
	registerFault(fault{name: "bundle-rollout", inject: injectBundleRollout})
	registerFault(fault{name: "bundle-race", inject: injectBundleRace})
	registerFault(fault{name: "target-leaving", inject: injectTargetLeaving})
	registerFault(fault{name: "target-leaving-sign", inject: injectLeavingStatus})
	registerFault(fault{name: "proxy-restart", inject: injectProxyRestart})
	registerFault(fault{name: "zone-cut+bundle", inject: injectBundleInPartition, heal: healBundleInPartition, stopsWrites: true})
	registerFault(fault{name: "store-down-at-boot", inject: injectStoreDownAtBoot, heal: healStore})
}

// raiseWeight makes a minimal change to a bundle.
func raiseWeight(content *rosebundle.Content) { content.Classes[0].Weight++ }

func (f *injector) proposeBundle(ctx context.Context, change func(*rosebundle.Content)) {
	if err := f.run.bundles.propose(ctx, change); err != nil {
		klog.InfoS("bundle not accepted", "err", err)
	}
}

func injectBundleRollout(ctx context.Context, f *injector) {
	for range rolloutCount {
		f.proposeBundle(ctx, raiseWeight)
		roseclock.Sleep(ctx, rolloutPause)
	}
}

// injectBundleRace makes two operators propose concurrently, rolloutCount times.
func injectBundleRace(ctx context.Context, f *injector) {
	for range rolloutCount {
		var operators sync.WaitGroup
		for range 2 {
			operators.Go(func() { f.proposeBundle(ctx, raiseWeight) })
		}
		operators.Wait()
		roseclock.Sleep(ctx, rolloutPause)
	}
}

// injectTargetLeaving marks a replica of the first database as leaving in the
// bundle.
func injectTargetLeaving(ctx context.Context, f *injector) {
	id := string(f.replicas()[0].Status().Target)
	f.proposeBundle(ctx, func(content *rosebundle.Content) {
		for i := range content.Databases {
			for j, t := range content.Databases[i].Targets {
				if t.ID == id {
					content.Databases[i].Targets[j].Leaving = true
				}
			}
		}
	})
	f.run.markLeaving(id)
}

// injectLeavingStatus makes a replica report in its status that it is leaving.
func injectLeavingStatus(_ context.Context, f *injector) {
	replica := f.replicas()[0]
	replica.SetLeaving(true)
	f.run.markLeaving(string(replica.Status().Target))
}

// injectProxyRestart kills and restarts half of the proxies, one at a time, and
// proposes a bundle while each is down. A restarted proxy has no bundle at first.
func injectProxyRestart(ctx context.Context, f *injector) {
	for i := range len(f.run.stack.Proxies) / 2 {
		f.run.bundles.markUnreachable("", f.run.stack.Proxies[i].Name)
		f.run.stack.Proxies[i].Kill()
		f.proposeBundle(ctx, raiseWeight)
		roseclock.Sleep(ctx, restartDelay)
		f.restartProxy(i)
		f.run.bundles.markReachable()
	}
}

// injectBundleInPartition partitions the primary's zone from the others and
// proposes a bundle meanwhile.
func injectBundleInPartition(ctx context.Context, f *injector) {
	zone := f.zoneOf(f.primary())
	f.run.bundles.markUnreachable(zone, "")
	f.run.stack.Network.SetBlocked(zonePartition(zone))
	f.proposeBundle(ctx, raiseWeight)
}

func healBundleInPartition(f *injector) {
	healNetwork(f)
	f.run.bundles.markReachable()
}

// injectStoreDownAtBoot takes the store down and then kills and restarts a proxy,
// which has to fetch the bundle from its peers.
func injectStoreDownAtBoot(ctx context.Context, f *injector) {
	f.proposeBundle(ctx, raiseWeight)
	roseclock.Sleep(ctx, time.Second)
	f.run.stack.Platform.SetDown(true)
	f.run.stack.Proxies[0].Kill()
	roseclock.Sleep(ctx, restartDelay)
	f.restartProxy(0)
	f.run.bundles.awaitBundle(ctx, f.run.stack.Proxies[0])
}

// awaitBundle waits until a restarted proxy has a bundle in force, and logs how
// long that took.
func (b *bundleTracker) awaitBundle(ctx context.Context, p *rosestack.Proxy) {
	started := time.Now()
	for p.BundleVersion() == 0 && roseclock.Sleep(ctx, observeInterval) {
		continue
	}
	klog.InfoS("proxy serves without the store", "proxy", p.Name, "after", time.Since(started))
}
