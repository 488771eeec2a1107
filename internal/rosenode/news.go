package rosenode

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
)

const (
	// DefaultConfigurationTime is how old the news of the configuration may be by default.
	DefaultConfigurationTime = rosedecision.DefaultNewsBound
	// homeFetchTimeout bounds the wait for a version that a home has named.
	homeFetchTimeout = 300 * time.Millisecond
	// maxConfigurationBytes bounds a configuration that another proxy passes on.
	maxConfigurationBytes = 16 << 20
)

// watchConfigurationAge logs when the configuration in force may have been replaced for longer
// than the operators allow, and when it is known to be the newest again.
func (n *Node) watchConfigurationAge(ctx context.Context) {
	for roseclock.Sleep(ctx, newsCheckInterval) {
		configuration := n.configuration.Load()
		if configuration == nil {
			continue
		}
		outdated := !n.configurationConfirmed() || n.configurationAge() > n.config.ConfigurationTime
		if n.newsOutdated.Swap(outdated) != outdated {
			klog.InfoS("age of the configuration changed", "outdated", outdated, "version", configuration.Version,
				"ageMs", n.configurationAge().Milliseconds(), "bound", n.config.ConfigurationTime)
		}
	}
}

// configurationConfirmed reports whether the configuration in force was ever known to be the
// newest.
func (n *Node) configurationConfirmed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.configurationAt.IsZero()
}

// fetchFromHome fetches the version that the home at an address has named, and waits a while for
// it to be in force.
func (n *Node) fetchFromHome(ctx context.Context, address string, version int64) {
	if n.hasVersion(version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, homeFetchTimeout)
	defer cancel()
	for _, m := range n.locks.Members() {
		if m.Address == address {
			n.nameVersion(m.Proxy, version)
		}
	}
	n.awaitVersion(ctx, version)
}

// namedVersion is the newest version that another proxy has named.
type namedVersion struct {
	version int64
	at      time.Time
}

// recordNamed records that another proxy has named a version.
func (n *Node) recordNamed(from string, version int64) {
	if n.hasVersion(version) {
		return
	}
	n.mu.Lock()
	newer := version > n.named.version
	if newer {
		n.named = namedVersion{version, n.config.Clock.Now()}
	}
	n.mu.Unlock()
	if newer {
		klog.InfoS("configuration named", "version", version, "from", from)
	}
}

// configurationDelays returns for how long the version in force wasn't known to be the newest
// when a new one arrived, and since when that one or a newer one was named by another proxy;
// zero if none has.
func (n *Node) configurationDelays(version int64) (unconfirmed, named time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.configurationAt.IsZero() {
		unconfirmed = n.config.Clock.Now().Sub(n.configurationAt)
	}
	if n.named.version >= version {
		named = n.config.Clock.Now().Sub(n.named.at)
	}
	return unconfirmed, named
}

// hasVersion reports whether the configuration in force has at least a version.
func (n *Node) hasVersion(version int64) bool {
	current := n.configuration.Load()
	return current != nil && current.Version >= version
}

// isNewerNamed reports whether another proxy has named a version newer than the one in force.
func (n *Node) isNewerNamed() bool {
	n.mu.Lock()
	named := n.named.version
	n.mu.Unlock()
	return !n.hasVersion(named)
}

// awaitNewer has the store asked for a version that another proxy has been told of, unless it
// arrives by itself.
func (n *Node) awaitNewer(version int64) {
	ctx := n.runContext()
	if ctx.Err() != nil || !n.awaitingNewer.CompareAndSwap(false, true) {
		return
	}
	n.goroutines.Go(func() {
		defer n.awaitingNewer.Store(false)
		if roseclock.Sleep(ctx, peerFetchDelay) && !n.hasVersion(version) {
			wake(n.transfer.readNow)
		}
	})
}
