package rosedaemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

const (
	// zoneWatchers is the number of proxies of a zone that watch the store:
	// one and a backup. The others hear of a bundle from their peers.
	zoneWatchers = 2
	// recheckInterval separates a watcher's own looks at the store, for a
	// watch that went silent.
	recheckInterval = 2 * time.Second
	// lonelyInterval is the same for a proxy that isn't a watcher but has
	// no peer to hear from.
	lonelyInterval = 5 * time.Second
	// takeTimeout bounds the fetching of one bundle.
	takeTimeout = 5 * time.Second
	// watchPause separates attempts to open a watch.
	watchPause = 500 * time.Millisecond
)

// newRollout returns the rollout that brings bundles into force here.
func (d *Daemon) newUpdater() *rosebundle.Updater {
	return rosebundle.NewUpdater(rosebundle.UpdaterConfig{
		TrustAnchors: d.config.Operators,
		Apply: func(content *rosebundle.Content, m rosebundle.Manifest) {
			d.Apply(content)
			d.mesh.SetBundleVersion(m.Version)
			klog.InfoS("bundle in force", "proxy", d.config.Name, "version", m.Version, "digest", m.Digest())
		},
	})
}

// followStore takes bundles from the store while this proxy is one of its
// zone's watchers, or alone.
func (d *Daemon) followStore(ctx context.Context) {
	if d.config.Store == nil {
		return
	}
	for ctx.Err() == nil {
		switch {
		case d.watcherRank() < zoneWatchers:
			d.watchStore(ctx)
			roseclock.Sleep(ctx, watchPause)
		case len(d.mesh.LinkedPeers()) == 0:
			d.readStore(ctx)
			roseclock.Sleep(ctx, lonelyInterval)
		default:
			roseclock.Sleep(ctx, watchPause)
		}
	}
}

// watcherRank is this proxy's place among the watchers of its zone.
func (d *Daemon) watcherRank() int {
	var zone []rosemary.Member
	for _, m := range d.mesh.LiveMembers() {
		if m.Zone == d.config.Zone {
			zone = append(zone, m)
		}
	}
	return rosepeer.RendezvousRank("watch/"+string(d.config.Zone), zone, d.config.Name)
}

// watchStore takes bundles as they change, until the watch breaks or others
// of the zone go before this proxy.
func (d *Daemon) watchStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.readStore(ctx)
	changes, err := rosebundle.WatchCurrent(ctx, d.config.Store)
	if err != nil {
		return
	}
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for d.watcherRank() < zoneWatchers {
		select {
		case entry, open := <-changes:
			if !open {
				return
			}
			d.take(ctx, string(entry.Value), d.fromStore())
		case <-recheck.C:
			d.readStore(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	text, err := rosebundle.ReadCurrent(ctx, d.config.Store)
	if err != nil {
		if !trace.IsNotFound(err) && ctx.Err() == nil {
			klog.V(1).InfoS("store not read", "proxy", d.config.Name, "err", err)
		}
		return
	}
	d.take(ctx, text, d.fromStore())
}

func (d *Daemon) fromStore() rosebundle.FetchFunc {
	return rosebundle.FetchFromStore(d.config.Store)
}

// followPeers pulls a bundle from the peer that told of it.
func (d *Daemon) followPeers(ctx context.Context) {
	for {
		select {
		case from := <-d.behind:
			d.pull(ctx, from)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) pull(ctx context.Context, from rosemary.ProxyID) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	text, err := d.mesh.FetchPart(ctx, from, "")
	if err != nil {
		return
	}
	d.take(ctx, text, func(ctx context.Context, digest string) (string, error) {
		part, err := d.mesh.FetchPart(ctx, from, digest)
		if err != nil && d.config.Store != nil {
			return d.fromStore()(ctx, digest)
		}
		return part, err
	})
}

func (d *Daemon) take(ctx context.Context, text string, fetch rosebundle.FetchFunc) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if err := d.updater.Update(ctx, text, fetch); err != nil {
		klog.InfoS("bundle refused", "proxy", d.config.Name, "err", err)
	}
}

// heardVersion notes that a peer has a newer bundle.
func (d *Daemon) heardVersion(event rosepeer.Event) {
	current, _ := d.updater.Current()
	if event.BundleVersion <= current.Version {
		return
	}
	select {
	case d.behind <- event.From:
	default:
	}
}

// BundleVersion returns the version of the bundle in force, zero for none.
func (d *Daemon) BundleVersion() uint64 {
	current, _ := d.updater.Current()
	return current.Version
}
