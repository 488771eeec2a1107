package rosenode

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
)

const (
	// DefaultConfigurationTime is how old the news of the configuration may be by default.
	DefaultConfigurationTime = rosedecision.DefaultNewsBound
	// configurationPath is the HTTP path at which a proxy serves its configuration.
	configurationPath = "/configuration"
	// homeFetchTimeout bounds the fetch of a configuration from a home.
	homeFetchTimeout = 300 * time.Millisecond
	// maxConfigurationBytes bounds a configuration that another proxy passes on.
	maxConfigurationBytes = 16 << 20
	// maxPulls is the number of peers that are asked for a version that the store doesn't
	// give.
	maxPulls = 3
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

// serveConfiguration serves the configuration in force to another proxy.
func (n *Node) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	text, found := n.configurationText("")
	if !found {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, text)
}

// fetchFromHome fetches the configuration from the home at an address, which has named its
// version. Requests at the same time share a fetch.
func (n *Node) fetchFromHome(ctx context.Context, address string, version int64) {
	if n.hasVersion(version) {
		return
	}
	n.recordNamed(address, version)
	done := n.homeFetches.DoChan(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(n.runContext(), homeFetchTimeout)
		defer cancel()
		text, err := n.fetchText(ctx, address)
		if err != nil {
			klog.InfoS("configuration not fetched", "from", address, "version", version, "err", roselog.ErrorMessage(err))
			return nil, err
		}
		n.applyText(text, address)
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
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

// fetchText returns the text of the configuration in force at another proxy.
func (n *Node) fetchText(ctx context.Context, address string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configurationPath, nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	client := http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.config.PeerDialer.Dial(ctx, address)
		},
		DisableKeepAlives: true,
	}}
	response, err := client.Do(request)
	if err != nil {
		return "", trace.ConnectionProblem(err, "the proxy at %s didn't answer", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", trace.ConnectionProblem(nil, "the proxy at %s responded %s", address, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxConfigurationBytes))
	if err != nil {
		return "", trace.ConnectionProblem(err, "the response of the proxy at %s is incomplete", address)
	}
	return string(body), nil
}

// awaitNewer fetches a version that another proxy has named, from the store or else from a
// few peers, unless it arrives by itself.
func (n *Node) awaitNewer(version int64) {
	ctx := n.runContext()
	if ctx.Err() != nil || !n.awaitingNewer.CompareAndSwap(false, true) {
		return
	}
	n.goroutines.Go(func() {
		defer n.awaitingNewer.Store(false)
		if !roseclock.Sleep(ctx, peerFetchDelay) || n.hasVersion(version) {
			return
		}
		readCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		configuration, _, err := n.config.Configurations.Fetch(readCtx, 0)
		cancel()
		if err == nil {
			n.apply(configuration, sourceRead)
		}
		peers := n.mesh.LinkedPeers()
		for _, id := range peers[:min(len(peers), maxPulls)] {
			if n.hasVersion(version) {
				return
			}
			pullCtx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
			n.pull(pullCtx, id, version)
			cancel()
		}
	})
}
