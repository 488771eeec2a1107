package rosenode

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
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

// silentSource has version 2 from just after its first read, answers no watch, and not its
// second read.
type silentSource struct {
	rosemary.ConfigurationSource
	reads int
}

// Fetch returns the newest version.
func (s *silentSource) Fetch(ctx context.Context, _ int64) (*rosemary.Configuration, rosemary.ConfigurationRevision, error) {
	s.reads++
	switch s.reads {
	case 1:
		return &rosemary.Configuration{Version: 1}, rosemary.ConfigurationRevision{Item: 1, Store: 1}, nil
	case 2:
		<-ctx.Done()
		return nil, rosemary.ConfigurationRevision{}, ctx.Err()
	}
	return &rosemary.Configuration{Version: 2}, rosemary.ConfigurationRevision{Item: 2, Store: 2}, nil
}

// Await waits until ctx ends.
func (s *silentSource) Await(ctx context.Context, revision int64, _ time.Duration) (*rosemary.Configuration, rosemary.ConfigurationRevision, error) {
	<-ctx.Done()
	return nil, rosemary.ConfigurationRevision{Store: revision}, ctx.Err()
}

// TestUnansweredReadAfterWatch guards against a change that is in force too late because the
// store answers neither a watch nor the read that follows it.
func TestUnansweredReadAfterWatch(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			n := New(Config{
				Self: rosemary.Member{Proxy: "p"}, Clock: roseclock.Runtime{}, Store: emptyStore{}, Configurations: &silentSource{}, ConfigurationTime: bound,
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				n.followConfiguration(ctx)
			}()
			time.Sleep(bound)
			qt.Check(t, n.hasVersion(2), qt.IsTrue, qt.Commentf("%s", bound))
			cancel()
			<-done
		})
	}
}
