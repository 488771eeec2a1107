package roseload

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

// supervisorPartitionTime is how long the first supervisor is partitioned from
// all other hosts.
const supervisorPartitionTime = 3 * time.Second

func init() {
	registerFault(fault{name: "store-down", inject: injectStoreDown, heal: healStore})
	registerFault(fault{name: "store-lost-answers", inject: injectLostResponses, heal: healStore})
	registerFault(fault{name: "store-slow", inject: injectStoreDelay, heal: healStore})
	registerFault(fault{name: "store-from-past", inject: injectStaleStoreReads, heal: healStore})
	registerFault(fault{name: "supervisor-paused", inject: injectSupervisorPartition, heal: healNetwork, stopsWrites: true})
}

func injectStoreDown(_ context.Context, f *injector) { f.run.stack.Platform.SetDown(true) }

func injectLostResponses(_ context.Context, f *injector) { f.run.stack.Platform.SetDropResponses(true) }

// slowStoreDelay is the additional duration of each call to a slow store.
const slowStoreDelay = 700 * time.Millisecond

func injectStoreDelay(_ context.Context, f *injector) { f.run.stack.Platform.SetDelay(slowStoreDelay) }

// injectStaleStoreReads freezes the state that the store's reads return, and
// proposes bundles while proxies restart.
func injectStaleStoreReads(ctx context.Context, f *injector) {
	f.run.stack.Platform.SetStaleReads(true)
	injectProxyRestart(ctx, f)
}

func healStore(f *injector) {
	f.run.stack.Platform.SetDelay(0)
	f.run.stack.Platform.SetStaleReads(false)
	f.run.stack.Platform.SetDown(false)
	f.run.stack.Platform.SetDropResponses(false)
}

// injectSupervisorPartition partitions the proxy whose supervisor ranks first for
// the database, and then crashes the primary, so that the supervisor of another
// proxy has to promote a replica.
func injectSupervisorPartition(ctx context.Context, f *injector) {
	var members []rosemary.Member
	for _, p := range f.run.stack.RunningProxies() {
		members = append(members, rosemary.Member{Proxy: rosemary.ProxyID(p.Name)})
	}
	first := string(rosepeer.RendezvousOrder("supervise/"+f.database(), members)[0].Proxy)
	f.run.stack.Network.SetBlocked(func(from, to rosenet.Host) bool {
		return from.Name == first || to.Name == first
	})
	f.tasks.Go(func() {
		roseclock.Sleep(ctx, supervisorPartitionTime)
		healNetwork(f)
	})
	injectPrimaryCrash(ctx, f)
}
