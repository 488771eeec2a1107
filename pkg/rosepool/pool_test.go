package rosepool_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/internal/rosetarget"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
)

// withPool runs test with a pool of up to two connections to a simulated target.
func withPool(t *testing.T, test func(*qt.C, *rosepool.Pool, *rosenet.Network)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := rosenet.NewNetwork(rosenet.Config{InMemory: true})
		cluster := rosetarget.NewGroup(network, []rosetarget.Config{{ID: "t", Zone: "a", Slots: 2, MaxConnections: 4}})
		c.Assert(cluster.Target("t").Start(), qt.IsNil)
		pool := rosepool.NewPool(rosepool.Config{
			Target: rosemary.Target{ID: "t", Address: cluster.Target("t").Address()},
			Dialer: network.Dialer(rosenet.Host{Name: "p", Zone: "a"}),
			Limit:  2,
		})
		test(c, pool, network)
		pool.Close()
		cluster.Close()
		network.Close()
	})
}

func TestAcquireWithCanceledContext(t *testing.T) {
	withPool(t, func(c *qt.C, pool *rosepool.Pool, _ *rosenet.Network) {
		conn, err := pool.Acquire(context.Background())
		c.Assert(err, qt.IsNil)
		pool.Release(conn)
		// The connection is due to be probed, but the context is canceled.
		time.Sleep(time.Minute)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = pool.Acquire(ctx)
		c.Check(errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
	})
}

func TestUnresponsiveIdleConnectionIsReplaced(t *testing.T) {
	withPool(t, func(c *qt.C, pool *rosepool.Pool, network *rosenet.Network) {
		conn, err := pool.Acquire(context.Background())
		c.Assert(err, qt.IsNil)
		pool.Release(conn)
		network.StallStreams("t")
		time.Sleep(time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		replacement, err := pool.Acquire(ctx)
		c.Assert(err, qt.IsNil)
		c.Check(replacement == conn, qt.IsFalse)
		rows, err := replacement.Query(ctx, "SELECT 1")
		c.Assert(err, qt.IsNil)
		c.Check(rows, qt.DeepEquals, [][]string{{"1"}})
		pool.Release(replacement)
	})
}

func TestConnectionLimit(t *testing.T) {
	withPool(t, func(c *qt.C, pool *rosepool.Pool, _ *rosenet.Network) {
		first, err := pool.Acquire(context.Background())
		c.Assert(err, qt.IsNil)
		second, err := pool.Acquire(context.Background())
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = pool.Acquire(ctx)
		c.Check(err, qt.ErrorMatches, ".*no free connection.*")
		status, err := rosepool.NewPooledControl(pool).Watch(context.Background(), rosemary.Status{}, 0)
		c.Assert(err, qt.IsNil, qt.Commentf("control calls must not wait for statements"))
		c.Check(status.Role, qt.Equals, rosemary.RolePrimary)
		pool.Release(first)
		third, err := pool.Acquire(context.Background())
		c.Assert(err, qt.IsNil)
		c.Check(third == first, qt.IsTrue)
		pool.Release(second)
		pool.Release(third)
		c.Check(pool.OpenCount(), qt.Equals, 2)
	})
}

// countingDialer counts the bytes sent and received on its connections.
type countingDialer struct {
	rosemary.Dialer
	bytes atomic.Int64
}

// countingConn is a connection of a countingDialer.
type countingConn struct {
	net.Conn
	dialer *countingDialer
}

// Dial opens a connection whose bytes are counted.
func (d *countingDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	return countingConn{conn, d}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.dialer.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.dialer.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdleWatch measures a watch without changes, including the target's
// side of it, and reports the bytes sent and received without TCP and IP headers.
func BenchmarkIdleWatch(b *testing.B) {
	c := qt.New(b)
	network := rosenet.NewNetwork(rosenet.Config{})
	defer network.Close()
	cluster := rosetarget.NewGroup(network, []rosetarget.Config{{ID: "t", Zone: "a", Slots: 2, MaxConnections: 4}})
	c.Assert(cluster.Target("t").Start(), qt.IsNil)
	defer cluster.Close()
	dialer := &countingDialer{Dialer: network.Dialer(rosenet.Host{Name: "p", Zone: "a"})}
	control := rosepool.NewControl(rosepool.Config{
		Target: rosemary.Target{ID: "t", Address: cluster.Target("t").Address()},
		Dialer: dialer,
	})
	defer control.Close()
	known, err := control.Watch(context.Background(), rosemary.Status{}, 0)
	c.Assert(err, qt.IsNil)
	dialer.bytes.Store(0)
	for b.Loop() {
		known, err = control.Watch(context.Background(), known, 0)
		c.Assert(err, qt.IsNil)
	}
	b.ReportMetric(float64(dialer.bytes.Load())/float64(b.N), "bytes/watch")
}
