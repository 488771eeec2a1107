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
	// watchersPerZone is the number of proxies of a zone that watch the store:
	// one and a backup. The others learn of a bundle from their peers.
	watchersPerZone = 2
	// watcherPollInterval is the interval at which a watcher also reads the
	// store, in case the watch stopped delivering.
	watcherPollInterval = 2 * time.Second
	// isolatedPollInterval is the interval at which a proxy without a connected peer
	// reads the store if it isn't a watcher.
	isolatedPollInterval = 5 * time.Second
	// updateTimeout bounds the update to one bundle.
	updateTimeout = 5 * time.Second
	// watchRetryInterval separates attempts to open a watch.
	watchRetryInterval = 500 * time.Millisecond
)

// newUpdater returns the updater that puts new bundles into force at this proxy.
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

// followStore puts new bundles from the store into force while this proxy is one
// of its zone's watchers or has no connected peer.
func (d *Daemon) followStore(ctx context.Context) {
	if d.config.Store == nil {
		return
	}
	for ctx.Err() == nil {
		switch {
		case d.watcherRank() < watchersPerZone:
			d.watchStore(ctx)
			roseclock.Sleep(ctx, watchRetryInterval)
		case len(d.mesh.LinkedPeers()) == 0:
			d.readStore(ctx)
			roseclock.Sleep(ctx, isolatedPollInterval)
		default:
			roseclock.Sleep(ctx, watchRetryInterval)
		}
	}
}

// watcherRank returns this proxy's rank among the proxies of its zone. The
// first watchersPerZone watch the store.
func (d *Daemon) watcherRank() int {
	var zone []rosemary.Member
	for _, m := range d.mesh.LiveMembers() {
		if m.Zone == d.config.Zone {
			zone = append(zone, m)
		}
	}
	return rosepeer.RendezvousRank("watch/"+string(d.config.Zone), zone, d.config.Name)
}

// watchStore puts new bundles into force until the watch ends or this proxy is no
// longer one of the zone's watchers.
func (d *Daemon) watchStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.readStore(ctx)
	changes, err := rosebundle.WatchCurrent(ctx, d.config.Store)
	if err != nil {
		return
	}
	poll := time.NewTicker(watcherPollInterval)
	defer poll.Stop()
	for d.watcherRank() < watchersPerZone {
		select {
		case entry, open := <-changes:
			if !open {
				return
			}
			d.updateBundle(ctx, string(entry.Value), d.storeFetcher())
		case <-poll.C:
			d.readStore(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	text, err := rosebundle.ReadCurrent(ctx, d.config.Store)
	if err != nil {
		if !trace.IsNotFound(err) && ctx.Err() == nil {
			klog.V(1).InfoS("store not read", "proxy", d.config.Name, "err", err)
		}
		return
	}
	d.updateBundle(ctx, text, d.storeFetcher())
}

func (d *Daemon) storeFetcher() rosebundle.FetchFunc {
	return rosebundle.FetchFromStore(d.config.Store)
}

// followPeers fetches newer bundles from the peers that have them.
func (d *Daemon) followPeers(ctx context.Context) {
	for {
		select {
		case from := <-d.newerBundleFrom:
			d.fetchFromPeer(ctx, from)
		case <-ctx.Done():
			return
		}
	}
}

// fetchFromPeer puts a peer's bundle into force. Parts that the peer can't send
// come from the store.
func (d *Daemon) fetchFromPeer(ctx context.Context, from rosemary.ProxyID) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	// An empty digest requests the manifest in force.
	text, err := d.mesh.FetchPart(ctx, from, "")
	if err != nil {
		return
	}
	d.updateBundle(ctx, text, func(ctx context.Context, digest string) (string, error) {
		part, err := d.mesh.FetchPart(ctx, from, digest)
		if err != nil && d.config.Store != nil {
			return d.storeFetcher()(ctx, digest)
		}
		return part, err
	})
}

func (d *Daemon) updateBundle(ctx context.Context, text string, fetch rosebundle.FetchFunc) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	if err := d.updater.Update(ctx, text, fetch); err != nil {
		klog.InfoS("bundle refused", "proxy", d.config.Name, "err", err)
	}
}

// handleBundleVersion queues a fetch if the peer has a newer bundle. It drops the
// event if one is queued already, because each heartbeat of the peer repeats it.
func (d *Daemon) handleBundleVersion(event rosepeer.Event) {
	current, _ := d.updater.Current()
	if event.BundleVersion <= current.Version {
		return
	}
	select {
	case d.newerBundleFrom <- event.From:
	default:
	}
}

// BundleVersion returns the version of the bundle in force, or zero without
// one.
func (d *Daemon) BundleVersion() uint64 {
	current, _ := d.updater.Current()
	return current.Version
}
