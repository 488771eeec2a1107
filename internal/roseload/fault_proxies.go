package roseload

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

const (
	// restartAfter is how long a proxy that ended stays away.
	restartAfter = 500 * time.Millisecond
	// drainTime bounds a graceful shutdown.
	drainTime = 20 * time.Second
)

func init() {
	addFault(fault{name: "proxy-kill", strike: strikeKill})
	addFault(fault{name: "proxy-drain", strike: strikeDrain})
}

// strikeKill ends half of the proxies at once, one after the other.
func strikeKill(ctx context.Context, f *faults) {
	for i := range len(f.run.stack.Proxies) / 2 {
		f.run.stack.Proxies[i].Kill()
		if !roseclock.Sleep(ctx, restartAfter) {
			return
		}
		f.restart(i)
	}
}

// strikeDrain shuts half of the proxies down gracefully.
func strikeDrain(ctx context.Context, f *faults) {
	for i := range len(f.run.stack.Proxies) / 2 {
		draining, cancel := context.WithTimeout(context.Background(), drainTime)
		if err := f.run.stack.Proxies[i].Drain(draining); err != nil {
			klog.InfoS("drain did not end", "err", err)
		}
		cancel()
		if !roseclock.Sleep(ctx, restartAfter) {
			return
		}
		f.restart(i)
	}
}

func (f *faults) restart(i int) {
	if _, err := f.run.stack.StartProxy(i); err != nil {
		klog.InfoS("proxy did not start again", "proxy", i, "err", err)
	}
}
