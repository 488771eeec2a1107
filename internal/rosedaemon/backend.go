// Package rosedaemon assembles a proxy: the server for clients, the monitoring
// and supervision of groups (a group is the targets that replicate one database),
// the connections to peers and the admin interface.
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

// trimInterval is the interval at which long-idle connections are closed.
const trimInterval = 30 * time.Second

const (
	// minWatchTimeout is the minimum of rosegroup.Config.WatchTimeout, how long
	// a target delays its answer to a watch while its status doesn't change.
	minWatchTimeout = 200 * time.Millisecond
	// watchTimeoutPerTarget is the timeout per watched target. It applies if the
	// total is above minWatchTimeout.
	watchTimeoutPerTarget = 27 * time.Millisecond
)

// backend holds the components that serve one database.
type backend struct {
	database rosebundle.Database
	monitor  *rosegroup.Monitor
	pools    map[rosemary.TargetID]*rosepool.Pool
	queues   map[rosemary.TargetID]*roseadmit.Queue
	router   *roseroute.Router
	// supervisor replaces the group's primary when needed.
	supervisor *rosesupervisor.Supervisor
	quota      roselend.Quota
	// loans holds the loans from the targets' lenders to this proxy.
	loans  map[rosemary.TargetID]loan
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// newBackend creates and starts the backend of a database.
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
	b.quota = d.newQuota(group.MaxConnections)
	reserved := b.quota.Reserved
	for _, t := range group.Targets {
		config := rosepool.Config{
			Target:      t,
			Dialer:      d.dialer,
			Credentials: d.credentials(group.Database),
			Limit:       reserved,
		}
		b.pools[t.ID] = rosepool.NewPool(config)
		b.queues[t.ID] = roseadmit.NewQueue(roseadmit.Config{
			MaxInFlight:     reserved,
			OnQueued:        d.signalQueued,
			FirstInFirstOut: d.config.Baseline.FirstInFirstOut,
		})
		controls[t.ID] = rosepool.NewControl(config)
		probes[t.ID] = rosepool.NewPooledControl(b.pools[t.ID])
	}
	b.monitor = rosegroup.NewMonitor(rosegroup.Config{
		Group:    group,
		Controls: controls,
		Probes:   probes,
		// The timeout grows with the number of targets, so that watches stay
		// within their share of the network bandwidth.
		WatchTimeout: max(minWatchTimeout, time.Duration(d.targetCount)*watchTimeoutPerTarget),
		Leaving:      d.leaving,
		OnChange:     func(change rosegroup.Change) { d.groupChanged(b, change) },
	})
	b.router = roseroute.NewRouter(roseroute.Config{
		Group:        b.monitor,
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

// resize applies changed connection limits.
func (b *backend) resize(d *Daemon, database rosebundle.Database) {
	b.database = database
	b.quota = d.newQuota(database.Connections)
	for id := range b.pools {
		b.applyLimit(id)
	}
}

func (b *backend) start() {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.tasks.Go(func() { _ = b.monitor.Run(ctx) })
	b.tasks.Go(func() { b.supervisor.Run(ctx) })
	b.tasks.Go(func() { b.trimPools(ctx) })
}

func (b *backend) trimPools(ctx context.Context) {
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

// close stops the monitoring and supervision of the group and closes the pools.
// Connections in use are closed when they are released.
func (b *backend) close() {
	b.cancel()
	b.tasks.Wait()
	for _, p := range b.pools {
		p.Close()
	}
}

// groupChanged handles a change of the group. Pooled connections to a target
// that went down are not used again.
func (d *Daemon) groupChanged(b *backend, change rosegroup.Change) {
	if change.Down != "" {
		klog.InfoS("target down", "proxy", d.config.Name, "database", change.Database, "target", change.Down)
		b.pools[change.Down].Invalidate()
		return
	}
	klog.InfoS("primary changed", "proxy", d.config.Name, "database", change.Database, "primary", change.Primary, "term", change.Term)
}

func (d *Daemon) newQuota(connections int) roselend.Quota {
	if d.config.Baseline.EvenSplit {
		return roselend.DivideEvenly(connections, d.config.Proxies)
	}
	return roselend.Divide(connections, d.config.Proxies)
}

func (d *Daemon) credentials(database string) rosepool.Credentials {
	return rosepool.Credentials{User: d.config.TargetUser, Password: d.config.TargetPassword, Database: database}
}
