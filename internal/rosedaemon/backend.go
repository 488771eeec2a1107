// Package rosedaemon puts the parts of a proxy together: what serves callers,
// what follows the groups, and what the operators look at.
package rosedaemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/roselend"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
	"github.com/rosemarywell/rosemarywell/pkg/roseroute"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
)

// trimInterval separates looks at connections that have been idle for long.
const trimInterval = 30 * time.Second

const (
	// leastWatchWait is how long a target holds a watch without news when
	// there are few targets.
	leastWatchWait = 200 * time.Millisecond
	// watchSpacing is the time that each watched target adds.
	watchSpacing = 27 * time.Millisecond
)

// backend is everything that serves one database.
type backend struct {
	database rosebundle.Database
	group    *rosegroup.Monitor
	pools    map[rosemary.TargetID]*rosepool.Pool
	queues   map[rosemary.TargetID]*roseadmit.Queue
	router   *roseroute.Router
	// supervisor keeps the group led.
	supervisor *rosesupervisor.Supervisor
	share      roselend.Quota
	loans      map[rosemary.TargetID]loan
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// newBackend builds and starts what serves a database.
func (d *Daemon) newBackend(database rosebundle.Database) *backend {
	group := database.Group()
	b := &backend{
		database: database,
		pools:    make(map[rosemary.TargetID]*rosepool.Pool),
		queues:   make(map[rosemary.TargetID]*roseadmit.Queue),
		loans:    make(map[rosemary.TargetID]loan),
	}
	controls := make(map[rosemary.TargetID]rosemary.TargetControl)
	probes := make(map[rosemary.TargetID]rosemary.TargetControl)
	b.share = d.divide(group.MaxConnections)
	share := b.share.Reserved
	for _, t := range group.Targets {
		config := rosepool.Config{
			Target:      t,
			Dialer:      d.dialer,
			Credentials: d.credentials(group.Database),
			Limit:       share,
		}
		b.pools[t.ID] = rosepool.NewPool(config)
		b.queues[t.ID] = roseadmit.NewQueue(roseadmit.Config{
			MaxInFlight:     share,
			OnQueued:        d.noteQueued,
			FirstInFirstOut: d.config.Baseline.FirstInFirstOut,
		})
		controls[t.ID] = rosepool.NewControl(config)
		probes[t.ID] = rosepool.NewPooledControl(b.pools[t.ID])
	}
	b.group = rosegroup.NewMonitor(rosegroup.Config{
		Group:    group,
		Controls: controls,
		Probes:   probes,
		// The wait grows with what there is to watch, so that watching
		// stays within its share of the network.
		WatchTimeout: max(leastWatchWait, time.Duration(d.targets)*watchSpacing),
		Leaving:      d.leaving,
		OnChange:     func(change rosegroup.Change) { d.groupChanged(b, change) },
	})
	b.router = roseroute.NewRouter(roseroute.Config{
		Group:        b.group,
		Zone:         d.config.Zone,
		Pools:        b.pools,
		Queues:       b.queues,
		Leaving:      d.leaving,
		PrimaryReads: d.config.Baseline.PrimaryReads,
	})
	b.supervisor = d.newSupervisor(b)
	b.start()
	return b
}

// resize takes over limits that changed.
func (b *backend) resize(d *Daemon, database rosebundle.Database) {
	b.database = database
	b.share = d.divide(database.Connections)
	for id := range b.pools {
		b.limit(id)
	}
}

func (b *backend) start() {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.done.Go(func() { _ = b.group.Run(ctx) })
	b.done.Go(func() { b.supervisor.Run(ctx) })
	b.done.Go(func() { b.trim(ctx) })
}

func (b *backend) trim(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, p := range b.pools {
				p.Trim()
			}
		case <-ctx.Done():
			return
		}
	}
}

// close stops following the group. Connections in use are closed when they
// are released.
func (b *backend) close() {
	b.cancel()
	b.done.Wait()
	for _, p := range b.pools {
		p.Close()
	}
}

// groupChanged reacts to a change at once: connections to a target that went
// down or lost its role are not used again.
func (d *Daemon) groupChanged(b *backend, change rosegroup.Change) {
	if change.Down != "" {
		klog.InfoS("target down", "proxy", d.config.Name, "database", change.Database, "target", change.Down)
		b.pools[change.Down].Invalidate()
		return
	}
	klog.InfoS("primary changed", "proxy", d.config.Name, "database", change.Database, "primary", change.Primary, "term", change.Term)
}

func (d *Daemon) divide(connections int) roselend.Quota {
	if d.config.Baseline.EvenSplit {
		return roselend.DivideEvenly(connections, d.config.Proxies)
	}
	return roselend.Divide(connections, d.config.Proxies)
}

func (d *Daemon) credentials(database string) rosepool.Credentials {
	return rosepool.Credentials{User: d.config.TargetUser, Password: d.config.TargetPassword, Database: database}
}
