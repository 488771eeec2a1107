package rosedaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// memberPollInterval is the interval at which a zone's watchers read the
	// platform's VM list.
	memberPollInterval = 5 * time.Second
	// nonWatcherMemberPollInterval is the interval of the zone's other proxies.
	nonWatcherMemberPollInterval = time.Minute
	// isolatedMemberPollInterval is the interval of a proxy without a linked
	// peer.
	isolatedMemberPollInterval = 500 * time.Millisecond
	// peerHeaderTimeout bounds the wait for the request header on a peer's
	// connection.
	peerHeaderTimeout = 5 * time.Second
)

func (d *Daemon) newMesh() {
	self := rosemary.Member{Proxy: d.config.Name, Zone: d.config.Zone, Address: d.config.PeerAddress}
	d.mesh = rosepeer.NewMesh(rosepeer.Config{
		Node:                rosepeer.NodeConfig{Self: self, Incarnation: uint64(time.Now().UnixMilli())},
		Dialer:              d.config.Dialer,
		TLS:                 d.config.PeerTLS,
		OnEvent:             d.handlePeerEvent,
		OnCancel:            func(pid, secret uint32) { d.server.Cancel(pid, secret) },
		BundlePart:          func(digest string) (string, bool) { return d.updater.Part(digest) },
		OnConnectionRequest: d.lend,
		OnConnectionGrant:   d.applyGrant,
		AllowTunnel:         d.isTargetAddress,
	})
	d.mesh.AddMembers(d.config.Seeds)
	d.dialer = rosepeer.NewTunnelDialer(d.config.Dialer, func() *rosepeer.Mesh { return d.mesh })
}

// ServePeers accepts peers from listener until it is closed.
func (d *Daemon) ServePeers(listener net.Listener) error {
	server := &http.Server{
		Handler:           d.mesh.Handler(),
		ReadHeaderTimeout: peerHeaderTimeout,
		TLSConfig:         d.config.PeerTLS,
	}
	if d.config.PeerTLS != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

// followMembers adds the members of the platform's VM list. The list may be
// stale and the platform unreachable, so a member counts as live only once it or
// a peer has reported it.
func (d *Daemon) followMembers(ctx context.Context) {
	if d.config.MemberSource == nil {
		return
	}
	for ctx.Err() == nil {
		members, err := d.config.MemberSource.Members(ctx)
		if err == nil {
			d.mesh.AddMembers(members)
		} else if ctx.Err() == nil {
			klog.InfoS("VM list not read", "proxy", d.config.Name, "err", err)
		}
		roseclock.Sleep(ctx, d.memberPollDelay())
	}
}

// memberPollDelay returns the time until the next read of the VM list. Most
// proxies learn of members from their peers and read it rarely, which keeps the
// load on the platform low with many proxies.
func (d *Daemon) memberPollDelay() time.Duration {
	switch {
	case len(d.mesh.LinkedPeers()) == 0:
		return isolatedMemberPollInterval
	case d.watcherRank() < watchersPerZone:
		return memberPollInterval
	}
	return nonWatcherMemberPollInterval
}

func (d *Daemon) handlePeerEvent(event rosepeer.Event) {
	switch {
	case event.Primary != nil:
		d.observePrimary(*event.Primary)
	case event.BundleVersion > 0:
		d.handleBundleVersion(event)
	case event.Member.Proxy != "":
		klog.InfoS("peer changed", "proxy", d.config.Name, "peer", event.Member.Proxy, "zone", event.Member.Zone, "state", event.State)
	}
}

// observePrimary records a primary announced by a peer, so that requests reach
// it before this proxy's own watch reports it.
func (d *Daemon) observePrimary(primary rosewire.Lead) {
	d.mu.RLock()
	b := d.backends[primary.Database]
	d.mu.RUnlock()
	history, err := rosemary.ParseHistory(primary.History)
	if b == nil || err != nil {
		return
	}
	b.monitor.Observe(rosegroup.Observation{Status: rosemary.Status{
		Target:   rosemary.TargetID(primary.Target),
		Term:     primary.Term,
		Position: rosemary.Position{LogTerm: primary.Term, Offset: primary.Offset},
		Role:     rosemary.RolePrimary,
		Primary:  rosemary.TargetID(primary.Target),
		History:  history,
	}})
}

// announcePrimary tells the peers of a new primary.
func (d *Daemon) announcePrimary(database string, status rosemary.Status) {
	d.mesh.AnnouncePrimary(rosewire.Lead{
		Database: database,
		Target:   string(status.Target),
		Term:     status.Term,
		Offset:   status.Position.Offset,
		History:  status.History.String(),
	})
}

// isTargetAddress reports whether a target of the bundle in force has the
// address. Peers may tunnel to no other address through this proxy.
func (d *Daemon) isTargetAddress(address string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, database := range d.content.Databases {
		for _, t := range database.Targets {
			if t.Address == address {
				return true
			}
		}
	}
	return false
}

func (d *Daemon) newSupervisor(b *backend) *rosesupervisor.Supervisor {
	database := b.database.Name
	return rosesupervisor.NewSupervisor(rosesupervisor.Config{
		Self:  d.config.Name,
		Group: b.monitor,
		Control: func(id rosemary.TargetID) rosemary.TargetControl {
			return rosepool.NewPooledControl(b.pools[id])
		},
		Store: d.config.Store,
		Rank: func() int {
			return rosepeer.RendezvousRank("supervise/"+database, d.mesh.LiveMembers(), d.config.Name)
		},
		Announce: func(status rosemary.Status) { d.announcePrimary(database, status) },
		Leaving:  d.leaving,
		OnPromotion: func(took time.Duration) {
			d.metrics.Set().GetOrCreateHistogram(`rosemary_promotion_seconds{database="` + database + `"}`).Update(took.Seconds())
		},
	})
}

// MovePrimary makes the target to, or a chosen one if to is empty or lacks
// acknowledged writes, the primary of a database. It returns the new primary.
func (d *Daemon) MovePrimary(ctx context.Context, database string, to rosemary.TargetID) (rosemary.TargetID, error) {
	d.mu.RLock()
	b := d.backends[database]
	d.mu.RUnlock()
	if b == nil {
		return "", unknownDatabase(database)
	}
	return b.supervisor.MovePrimary(ctx, to)
}
