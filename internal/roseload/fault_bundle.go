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
	// rollouts is the number of bundles that bundle-rollout brings.
	rollouts = 5
	// rolloutPause separates them.
	rolloutPause = 200 * time.Millisecond
)

func init() {
	addFault(fault{name: "bundle-rollout", strike: strikeRollout})
	addFault(fault{name: "bundle-race", strike: strikeRace})
	addFault(fault{name: "target-leaving", strike: strikeLeaving})
	addFault(fault{name: "target-leaving-sign", strike: strikeLeavingSign})
	addFault(fault{name: "proxy-restart", strike: strikeRestart})
	addFault(fault{name: "zone-cut+bundle", strike: strikeCutBundle, heal: healCutBundle, stopsWrites: true})
	addFault(fault{name: "store-down-at-boot", strike: strikeBoot, heal: healStore})
}

// raiseWeight is a small change of a bundle.
func raiseWeight(content *rosebundle.Content) { content.Classes[0].Weight++ }

func (f *faults) propose(ctx context.Context, change func(*rosebundle.Content)) {
	if err := f.run.bundles.propose(ctx, change); err != nil {
		klog.InfoS("bundle not accepted", "err", err)
	}
}

func strikeRollout(ctx context.Context, f *faults) {
	for range rollouts {
		f.propose(ctx, raiseWeight)
		roseclock.Sleep(ctx, rolloutPause)
	}
}

// strikeRace lets two operators propose at once, five times.
func strikeRace(ctx context.Context, f *faults) {
	for range rollouts {
		var operators sync.WaitGroup
		for range 2 {
			operators.Go(func() { f.propose(ctx, raiseWeight) })
		}
		operators.Wait()
		roseclock.Sleep(ctx, rolloutPause)
	}
}

// strikeLeaving takes a replica of the first database out of service.
func strikeLeaving(ctx context.Context, f *faults) {
	id := string(f.replicas()[0].Status().Target)
	f.propose(ctx, func(content *rosebundle.Content) {
		for i := range content.Databases {
			for j, t := range content.Databases[i].Targets {
				if t.ID == id {
					content.Databases[i].Targets[j].Leaving = true
				}
			}
		}
	})
	f.run.leaving(id)
}

// strikeLeavingSign lets a replica itself ask for no new work.
func strikeLeavingSign(_ context.Context, f *faults) {
	replica := f.replicas()[0]
	replica.SetLeaving(true)
	f.run.leaving(string(replica.Status().Target))
}

// strikeRestart replaces proxies, whose VMs keep nothing, while bundles come.
func strikeRestart(ctx context.Context, f *faults) {
	for i := range len(f.run.stack.Proxies) / 2 {
		f.run.bundles.excuse("", f.run.stack.Proxies[i].Name)
		f.run.stack.Proxies[i].Kill()
		f.propose(ctx, raiseWeight)
		roseclock.Sleep(ctx, restartAfter)
		f.restart(i)
		f.run.bundles.healed()
	}
}

// strikeCutBundle splits a zone off and accepts a bundle meanwhile.
func strikeCutBundle(ctx context.Context, f *faults) {
	zone := f.zoneOf(f.primary())
	f.run.bundles.excuse(zone, "")
	f.run.stack.Network.SetBlocked(cutZone(zone))
	f.propose(ctx, raiseWeight)
}

func healCutBundle(f *faults) {
	healNetwork(f)
	f.run.bundles.healed()
}

// strikeBoot takes the store down and then replaces a proxy: it has to get
// the bundle from its peers.
func strikeBoot(ctx context.Context, f *faults) {
	f.propose(ctx, raiseWeight)
	roseclock.Sleep(ctx, time.Second)
	f.run.stack.Platform.SetDown(true)
	f.run.stack.Proxies[0].Kill()
	roseclock.Sleep(ctx, restartAfter)
	f.restart(0)
	f.run.bundles.awaitServing(ctx, f.run.stack.Proxies[0])
}

// awaitServing notes how long a new proxy took to have a bundle in force.
func (b *bundles) awaitServing(ctx context.Context, p *rosestack.Proxy) {
	started := time.Now()
	for p.BundleVersion() == 0 && roseclock.Sleep(ctx, observeInterval) {
		continue
	}
	klog.InfoS("proxy serves without the store", "proxy", p.Name, "after", time.Since(started))
}
