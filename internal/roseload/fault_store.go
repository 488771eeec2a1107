package roseload

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

// pausedFor is how long a paused supervisor is out of reach.
const pausedFor = 3 * time.Second

func init() {
	addFault(fault{name: "store-down", strike: strikeStoreDown, heal: healStore})
	addFault(fault{name: "store-lost-answers", strike: strikeLostAnswers, heal: healStore})
	addFault(fault{name: "store-slow", strike: strikeStoreSlow, heal: healStore})
	addFault(fault{name: "store-from-past", strike: strikeStorePast, heal: healStore})
	addFault(fault{name: "supervisor-paused", strike: strikePaused, heal: healNetwork, stopsWrites: true})
}

func strikeStoreDown(_ context.Context, f *faults) { f.run.stack.Platform.SetDown(true) }

func strikeLostAnswers(_ context.Context, f *faults) { f.run.stack.Platform.SetDropResponses(true) }

// slowStore is how much longer each call takes at a slow store.
const slowStore = 700 * time.Millisecond

func strikeStoreSlow(_ context.Context, f *faults) { f.run.stack.Platform.SetDelay(slowStore) }

// strikeStorePast accepts a bundle and then lets reads answer from before it.
func strikeStorePast(ctx context.Context, f *faults) {
	f.run.stack.Platform.SetStaleReads(true)
	strikeRestart(ctx, f)
}

func healStore(f *faults) {
	f.run.stack.Platform.SetDelay(0)
	f.run.stack.Platform.SetStaleReads(false)
	f.run.stack.Platform.SetDown(false)
	f.run.stack.Platform.SetDropResponses(false)
}

// strikePaused takes away the proxy that would replace the primary, and then
// the primary: the next supervisor has to act.
func strikePaused(ctx context.Context, f *faults) {
	var members []rosemary.Member
	for _, p := range f.run.stack.RunningProxies() {
		members = append(members, rosemary.Member{Proxy: rosemary.ProxyID(p.Name)})
	}
	first := string(rosepeer.RendezvousOrder("supervise/"+f.database(), members)[0].Proxy)
	f.run.stack.Network.SetBlocked(func(from, to rosenet.Host) bool {
		return from.Name == first || to.Name == first
	})
	f.tasks.Go(func() {
		roseclock.Sleep(ctx, pausedFor)
		healNetwork(f)
	})
	strikeCrash(ctx, f)
}
