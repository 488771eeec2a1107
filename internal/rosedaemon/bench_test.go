package rosedaemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

type unresponsiveDialer struct{}

// Dial blocks until ctx ends.
func (unresponsiveDialer) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newContent returns a bundle's content with n databases of three targets each.
func newContent(n int) *rosebundle.Content {
	content := &rosebundle.Content{}
	for i := range n {
		d := rosebundle.Database{Name: fmt.Sprintf("db%d", i), Slots: 3, Connections: 20}
		for j := range 3 {
			d.Targets = append(d.Targets, rosebundle.Target{ID: fmt.Sprintf("db%d-%d", i, j), Address: "10.0.0.1:1", Zone: "a"})
		}
		content.Databases = append(content.Databases, d)
	}
	return content
}

// BenchmarkBackend reports the memory and the share of a CPU that one database
// takes in a proxy while no target can be reached.
func BenchmarkBackend(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	c := qt.New(b)
	keys, err := rosesession.NewKeys([]byte("a key that is long enough"))
	c.Assert(err, qt.IsNil)
	const count = 500
	for b.Loop() {
		daemon := rosedaemon.New(rosedaemon.Config{Name: "p", Zone: "a", Proxies: 6, Dialer: unresponsiveDialer{}, TokenKeys: keys})
		memoryBefore := usedMemory()
		daemon.Apply(newContent(count))
		time.Sleep(time.Second)
		b.ReportMetric(float64(usedMemory()-memoryBefore)/count/1024, "KB/database")
		cpuTimeBefore := cpuTime()
		const interval = 3 * time.Second
		time.Sleep(interval)
		b.ReportMetric((cpuTime()-cpuTimeBefore).Seconds()/interval.Seconds()/count*100, "cpu%/database")
		daemon.Close()
	}
}

func usedMemory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
