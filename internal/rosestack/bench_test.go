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

// fastDeployment has no simulated delays and ample connections, so that
// benchmarks measure the proxy alone.
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

// BenchmarkStatements reports the lookups per second that one proxy serves to
// about 64 clients. Clients and targets share the process.
func BenchmarkStatements(b *testing.B) {
	c := qt.New(b)
	stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: fastDeployment(c)})
	c.Assert(err, qt.IsNil)
	defer stack.Close()
	time.Sleep(time.Second)
	runLookups(b, c, stack)
}

// runLookups runs lookups on the first proxy from about 64 clients, in a closed
// loop. Their exact number is a multiple of GOMAXPROCS.
func runLookups(b *testing.B, c *qt.C, stack *rosestack.Stack) {
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

// BenchmarkSkewedDemand reports the lookups per second of about 64 clients that
// are all connected to one of six proxies, with connection loans between proxies
// and with an even split.
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
			runLookups(b, c, stack)
		})
	}
}

// BenchmarkAddedLatency reports the p50 latencies of lookups sent alternately to
// a replica and to a proxy, and their difference.
func BenchmarkAddedLatency(b *testing.B) {
	c := qt.New(b)
	stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: fastDeployment(c)})
	c.Assert(err, qt.IsNil)
	defer stack.Close()
	time.Sleep(time.Second)
	ctx := context.Background()
	proxied := connect(c, stack, 0, nil)
	defer proxied.Close(ctx)
	replica := stack.Groups["licencias1"].Target(rosemary.TargetID("licencias1-2"))
	dialer := stack.Network.Dialer(rosenet.Host{Name: "direct", Zone: rosestack.CallerZone})
	direct, err := rosestack.Connect(ctx, dialer, replica.Address(), rosestack.CallerConfig{Tenant: "direct", Database: "licencias1"})
	c.Assert(err, qt.IsNil)
	defer direct.Close(ctx)
	var directTimes, proxiedTimes []time.Duration
	for b.Loop() {
		directTimes = append(directTimes, timeLookup(c, direct))
		proxiedTimes = append(proxiedTimes, timeLookup(c, proxied))
	}
	slices.Sort(directTimes)
	slices.Sort(proxiedTimes)
	p50 := func(times []time.Duration) float64 { return float64(times[len(times)/2].Nanoseconds()) / 1e6 }
	b.ReportMetric(p50(directTimes), "direct-ms")
	b.ReportMetric(p50(proxiedTimes), "proxied-ms")
	b.ReportMetric(p50(proxiedTimes)-p50(directTimes), "added-ms")
}

func timeLookup(c *qt.C, conn *pgconn.PgConn) time.Duration {
	started := time.Now()
	_, err := rosestack.Query(context.Background(), conn, benchRead)
	c.Assert(err, qt.IsNil)
	return time.Since(started)
}

// BenchmarkIdleCallers reports the proxy's memory per idle client. The clients
// share the process, so each keeps only its socket.
func BenchmarkIdleCallers(b *testing.B) {
	c := qt.New(b)
	stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: fastDeployment(c)})
	c.Assert(err, qt.IsNil)
	defer stack.Close()
	const clients = 2000
	for b.Loop() {
		before := memoryInUse()
		var conns []net.Conn
		for range clients {
			conns = append(conns, connectRaw(c, stack.Proxies[0].Address))
		}
		b.ReportMetric(float64(memoryInUse()-before)/clients/1024, "KB/caller")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// connectRaw completes the handshake without a driver, and reads nothing after
// it.
func connectRaw(c *qt.C, address string) net.Conn {
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

// memoryInUse returns the memory in use by the heap and goroutine stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
