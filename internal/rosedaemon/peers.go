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
	// rosterInterval separates looks at the platform's VM list.
	rosterInterval = 5 * time.Second
	// idleRosterInterval is the same for those that don't watch for their
	// zone.
	idleRosterInterval = time.Minute
	// lonelyRosterInterval is the same for a proxy without any peer.
	lonelyRosterInterval = 500 * time.Millisecond
	// peerHeaderTimeout bounds the start of a peer's connection.
	peerHeaderTimeout = 5 * time.Second
)

func (d *Daemon) newMesh() {
	self := rosemary.Member{Proxy: d.config.Name, Zone: d.config.Zone, Address: d.config.PeerAddress}
	d.mesh = rosepeer.NewMesh(rosepeer.Config{
		Node:                rosepeer.NodeConfig{Self: self, Incarnation: uint64(time.Now().UnixMilli())},
		Dialer:              d.config.Dialer,
		TLS:                 d.config.PeerTLS,
		OnEvent:             d.peerEvent,
		OnCancel:            func(pid, secret uint32) { d.front.Cancel(pid, secret) },
		BundlePart:          func(digest string) (string, bool) { return d.updater.Part(digest) },
		OnConnectionRequest: d.lend,
		OnConnectionGrant:   d.borrowed,
		AllowTunnel:         d.isTarget,
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

// followRoster learns of peers from the platform's list, which lags and may
// be out of reach: a member counts only once it was heard.
func (d *Daemon) followRoster(ctx context.Context) {
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
		roseclock.Sleep(ctx, d.rosterWait())
	}
}

// rosterWait returns the time to the next look at the list: most proxies hear
// of the others by news, so calls grow with zones and not with proxies.
func (d *Daemon) rosterWait() time.Duration {
	switch {
	case len(d.mesh.LinkedPeers()) == 0:
		return lonelyRosterInterval
	case d.watcherRank() < zoneWatchers:
		return rosterInterval
	}
	return idleRosterInterval
}

// peerEvent acts on what a peer told.
func (d *Daemon) peerEvent(event rosepeer.Event) {
	switch {
	case event.Primary != nil:
		d.takeLead(*event.Primary)
	case event.BundleVersion > 0:
		d.heardVersion(event)
	case event.Member.Proxy != "":
		klog.InfoS("peer changed", "proxy", d.config.Name, "peer", event.Member.Proxy, "zone", event.Member.Zone, "state", event.State)
	}
}

// takeLead routes to a new primary before the own watch sees it.
func (d *Daemon) takeLead(lead rosewire.Lead) {
	d.mu.RLock()
	b := d.backends[lead.Database]
	d.mu.RUnlock()
	history, err := rosemary.ParseHistory(lead.History)
	if b == nil || err != nil {
		return
	}
	b.group.Observe(rosegroup.Observation{Status: rosemary.Status{
		Target:   rosemary.TargetID(lead.Target),
		Term:     lead.Term,
		Position: rosemary.Position{LogTerm: lead.Term, Offset: lead.Offset},
		Role:     rosemary.RolePrimary,
		Primary:  rosemary.TargetID(lead.Target),
		History:  history,
	}})
}

// announce tells the peers of a new primary.
func (d *Daemon) announce(database string, status rosemary.Status) {
	d.mesh.AnnouncePrimary(rosewire.Lead{
		Database: database,
		Target:   string(status.Target),
		Term:     status.Term,
		Offset:   status.Position.Offset,
		History:  status.History.String(),
	})
}

// isTarget reports whether address is that of a target in force.
func (d *Daemon) isTarget(address string) bool {
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
	return rosesupervisor.New(rosesupervisor.Config{
		Self:  d.config.Name,
		Group: b.group,
		Control: func(id rosemary.TargetID) rosemary.TargetControl {
			return rosepool.NewPooledControl(b.pools[id])
		},
		Store: d.config.Store,
		Rank: func() int {
			return rosepeer.RendezvousRank("supervise/"+database, d.mesh.LiveMembers(), d.config.Name)
		},
		Announce: func(status rosemary.Status) { d.announce(database, status) },
		Leaving:  d.leaving,
		OnPromotion: func(took time.Duration) {
			d.metrics.Set().GetOrCreateHistogram(`rosemary_promotion_seconds{database="` + database + `"}`).Update(took.Seconds())
		},
	})
}

// MovePrimary makes another target of a database its primary.
func (d *Daemon) MovePrimary(ctx context.Context, database string, to rosemary.TargetID) (rosemary.TargetID, error) {
	d.mu.RLock()
	b := d.backends[database]
	d.mu.RUnlock()
	if b == nil {
		return "", unknownDatabase(database)
	}
	return b.supervisor.MovePrimary(ctx, to)
}
