package rosenode

import (
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// TestConfigurationNeverGoesBack applies versions concurrently, as the store and a
// peer may deliver them at the same moment.
func TestConfigurationNeverGoesBack(t *testing.T) {
	const rounds, versions = 200, 16
	for range rounds {
		n := New(Config{Self: rosemary.Member{Proxy: "proxy-1"}})
		var tasks sync.WaitGroup
		for _, version := range rand.Perm(versions) {
			tasks.Go(func() {
				n.apply(&rosemary.Configuration{Version: int64(version + 1)}, sourceRead)
				qt.Check(t, n.configuration.Load().Version > int64(version), qt.IsTrue)
			})
		}
		tasks.Wait()
		qt.Check(t, n.configuration.Load().Version, qt.Equals, int64(versions))
	}
}
