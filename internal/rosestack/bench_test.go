package rosestack_test

import (
	"context"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/internal/rosestack"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// fastDeployment has no delays and ample connections, so that the proxy itself
// is what is measured.
func fastDeployment(c *qt.C) rosestack.Deployment {
	d, err := rosestack.FindDeployment("costa-rica")
	c.Assert(err, qt.IsNil)
	d.Databases = d.Databases[:1]
	d.Proxies = 1
	d.Slots, d.MaxConnections = 64, 200
	d.ZoneDelay, d.CallerDelay, d.ConnectTime = 0, 0, 0
	d.ReadTime, d.WriteTime, d.ScanTime = 0, 0, 0
	return d
}

const benchRead = "SELECT id, version FROM licences WHERE id = 7 /*class='lookup'*/"

// BenchmarkStatements reports the look-ups a second that one proxy serves to
// 64 callers, with callers and targets in the same process.
func BenchmarkStatements(b *testing.B) {
	c := qt.New(b)
	stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: fastDeployment(c)})
	c.Assert(err, qt.IsNil)
	defer stack.Close()
	time.Sleep(time.Second)
	lookUp(b, c, stack)
}

// lookUp lets 64 callers of the first proxy look up as fast as they can.
func lookUp(b *testing.B, c *qt.C, stack *rosestack.Stack) {
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		conn := connect(c, stack, 0, nil)
		defer conn.Close(context.Background())
		for pb.Next() {
			if _, err := rosestack.Query(context.Background(), conn, benchRead); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

// BenchmarkSkewedDemand reports the look-ups a second of 64 callers that all
// reached one of six proxies, with loans and with an even split.
func BenchmarkSkewedDemand(b *testing.B) {
	for name, baseline := range map[string]rosedaemon.Baseline{"loans": {}, "even": {EvenSplit: true}} {
		b.Run(name, func(b *testing.B) {
			c := qt.New(b)
			deployment, err := rosestack.FindDeployment("costa-rica")
			c.Assert(err, qt.IsNil)
			stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: deployment, Baseline: baseline})
			c.Assert(err, qt.IsNil)
			defer stack.Close()
			time.Sleep(time.Second)
			lookUp(b, c, stack)
		})
	}
}

// BenchmarkAddedLatency reports the p50 of a look-up sent to a replica
// directly and through a proxy, in turns.
func BenchmarkAddedLatency(b *testing.B) {
	c := qt.New(b)
	stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: fastDeployment(c)})
	c.Assert(err, qt.IsNil)
	defer stack.Close()
	time.Sleep(time.Second)
	ctx := context.Background()
	through := connect(c, stack, 0, nil)
	defer through.Close(ctx)
	replica := stack.Clusters["licencias1"].Target(rosemary.TargetID("licencias1-2"))
	dialer := stack.Network.Dialer(rosenet.Host{Name: "direct", Zone: rosestack.CallerZone})
	direct, err := rosestack.Connect(ctx, dialer, replica.Address(), rosestack.CallerConfig{Tenant: "direct", Database: "licencias1"})
	c.Assert(err, qt.IsNil)
	defer direct.Close(ctx)
	var directTimes, throughTimes []time.Duration
	for b.Loop() {
		directTimes = append(directTimes, timed(c, direct))
		throughTimes = append(throughTimes, timed(c, through))
	}
	slices.Sort(directTimes)
	slices.Sort(throughTimes)
	p50 := func(times []time.Duration) float64 { return float64(times[len(times)/2].Nanoseconds()) / 1e6 }
	b.ReportMetric(p50(directTimes), "direct-ms")
	b.ReportMetric(p50(throughTimes), "proxied-ms")
	b.ReportMetric(p50(throughTimes)-p50(directTimes), "added-ms")
}

func timed(c *qt.C, conn *pgconn.PgConn) time.Duration {
	started := time.Now()
	_, err := rosestack.Query(context.Background(), conn, benchRead)
	c.Assert(err, qt.IsNil)
	return time.Since(started)
}

// BenchmarkIdleCallers reports the memory of one idle caller at the proxy,
// with a client that keeps nothing but its socket.
func BenchmarkIdleCallers(b *testing.B) {
	c := qt.New(b)
	stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: fastDeployment(c)})
	c.Assert(err, qt.IsNil)
	defer stack.Close()
	const callers = 2000
	for b.Loop() {
		before := heap()
		var conns []net.Conn
		for range callers {
			conns = append(conns, bareCaller(c, stack.Proxies[0].Address))
		}
		b.ReportMetric(float64(heap()-before)/callers/1024, "KB/caller")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// bareCaller completes a handshake and reads nothing more.
func bareCaller(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "counter", "database": "licencias1"},
	}).Encode(nil)
	c.Assert(err, qt.IsNil)
	_, err = conn.Write(startup)
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 4096))
	c.Assert(err, qt.IsNil)
	return conn
}

// heap returns the memory in use for heap and stacks.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
