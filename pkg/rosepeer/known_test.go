package rosepeer_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// deathTime is how long a proxy is silent before its peers take it for dead.
	deathTime = 7 * heartbeatInterval
)

// bootClock is the runtime's clock and the time for which the VM was suspended.
type bootClock struct{ suspended atomic.Int64 }

func (b *bootClock) Now() time.Time { return time.Now().Add(time.Duration(b.suspended.Load())) }

// knownTest is two linked proxies, a and b.
type knownTest struct {
	c       *qt.C
	network *rosenet.Network
	clock   bootClock
	a, b    *rosepeer.Mesh
	// memberB is b, and stopA and stopB end them.
	memberB      rosemary.Member
	stopA, stopB context.CancelFunc
}

func runKnownTest(t *testing.T, run func(k *knownTest)) {
	synctest.Test(t, func(t *testing.T) {
		k := &knownTest{c: qt.New(t), network: rosenet.NewNetwork(rosenet.Config{InMemory: true})}
		defer k.network.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ctxA, stopA := context.WithCancel(ctx)
		ctxB, stopB := context.WithCancel(ctx)
		k.stopA, k.stopB = stopA, stopB
		k.b, k.memberB = startMesh(ctxB, k.c, k.network, "b", "")
		k.a = k.startA(ctxA)
		time.Sleep(2 * time.Second)
		k.c.Assert(k.a.KnownToMost(k.clock.Now()), qt.IsTrue)
		k.c.Assert(k.b.KnownToMost(time.Now()), qt.IsTrue)
		run(k)
	})
}

func (k *knownTest) startA(ctx context.Context) *rosepeer.Mesh {
	mesh, _ := startMeshWithClock(ctx, k.c, k.network, "a", "", &k.clock, k.memberB)
	return mesh
}

// silenceA has nothing that a sends arrive.
func (k *knownTest) silenceA() {
	k.network.SetBlockedOneWay(func(sender, _ rosenet.Host) bool { return sender.Name == "a" })
}

// TestHeardProxyIsNotKnown guards against a proxy that takes it that its peers know it, as it hears
// them, while they don't hear it and take it for dead.
func TestHeardProxyIsNotKnown(t *testing.T) {
	runKnownTest(t, func(k *knownTest) {
		k.silenceA()
		for startedAt := time.Now(); time.Since(startedAt) < 3*deathTime; time.Sleep(10 * time.Millisecond) {
			if len(k.b.LiveOthers()) == 0 {
				k.c.Assert(k.a.KnownToMost(k.clock.Now()), qt.IsFalse, qt.Commentf("%v after the cut", time.Since(startedAt)))
			}
		}
		k.c.Check(k.b.LiveOthers(), qt.HasLen, 0)
		k.network.SetBlockedOneWay(nil)
		time.Sleep(5 * time.Second)
		k.c.Check(k.a.KnownToMost(k.clock.Now()), qt.IsTrue)
	})
}

// TestSuspendedProxyIsNotKnown guards against a proxy that takes it that its peers know it though it
// was suspended for longer than they wait, or by what they sent before.
func TestSuspendedProxyIsNotKnown(t *testing.T) {
	runKnownTest(t, func(k *knownTest) {
		k.silenceA()
		k.clock.suspended.Add(int64(deathTime))
		for range 50 {
			k.c.Assert(k.a.KnownToMost(k.clock.Now()), qt.IsFalse)
			time.Sleep(10 * time.Millisecond)
		}
		k.network.SetBlockedOneWay(nil)
		time.Sleep(3 * heartbeatInterval)
		k.c.Check(k.a.KnownToMost(k.clock.Now()), qt.IsTrue)
	})
}

// TestRestartedProxyIsNotKnown guards against a proxy that takes the echo of a heartbeat of its
// process before for one of its own.
func TestRestartedProxyIsNotKnown(t *testing.T) {
	runKnownTest(t, func(k *knownTest) {
		k.stopA()
		time.Sleep(heartbeatInterval)
		k.silenceA()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		restarted := k.startA(ctx)
		for range 50 {
			k.c.Assert(restarted.KnownToMost(k.clock.Now()), qt.IsFalse)
			time.Sleep(10 * time.Millisecond)
		}
		k.network.SetBlockedOneWay(nil)
		time.Sleep(5 * time.Second)
		k.c.Check(restarted.KnownToMost(k.clock.Now()), qt.IsTrue)
	})
}

// TestKnownProxyIsRequired guards against a proxy that is known to most, through others, while the
// proxy that has a primary replaced takes it for dead and doesn't wait for it.
func TestKnownProxyIsRequired(t *testing.T) {
	runKnownTest(t, func(k *knownTest) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		holder, _ := startMesh(ctx, k.c, k.network, "holder", "", k.memberB)
		time.Sleep(2 * time.Second)
		k.network.SetBlocked(func(from, to rosenet.Host) bool {
			return from.Name == "a" && to.Name == "holder" || from.Name == "holder" && to.Name == "a"
		})
		known := 0
		for range 2000 {
			if k.a.KnownToMost(k.clock.Now()) {
				known++
				k.c.Assert(slices.Contains(holder.LiveOthers(), "a"), qt.IsTrue)
			}
			time.Sleep(5 * time.Millisecond)
		}
		k.c.Check(known > 1000, qt.IsTrue, qt.Commentf("%d", known))
	})
}

// TestEndedPeerKnowsNobody guards against a proxy that relies on what a process knew that has ended;
// the next one knows nothing of it.
func TestEndedPeerKnowsNobody(t *testing.T) {
	runKnownTest(t, func(k *knownTest) {
		k.stopB()
		time.Sleep(100 * time.Millisecond)
		k.c.Check(k.a.KnownToMost(k.clock.Now()), qt.IsFalse)
	})
}
