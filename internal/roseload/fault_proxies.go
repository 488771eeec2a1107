package roseload

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

const (
	// restartDelay is the time between the end of a proxy and its restart.
	restartDelay = 500 * time.Millisecond
	drainTimeout = 20 * time.Second
)

func init() {
	registerFault(fault{name: "proxy-kill", inject: injectProxyKill})
	registerFault(fault{name: "proxy-drain", inject: injectProxyDrain})
}

// injectProxyKill kills and restarts half of the proxies, one after the other.
func injectProxyKill(ctx context.Context, f *injector) {
	for i := range len(f.run.stack.Proxies) / 2 {
		f.run.stack.Proxies[i].Kill()
		if !roseclock.Sleep(ctx, restartDelay) {
			return
		}
		f.restartProxy(i)
	}
}

// injectProxyDrain drains and restarts half of the proxies, one after the other.
func injectProxyDrain(ctx context.Context, f *injector) {
	for i := range len(f.run.stack.Proxies) / 2 {
		drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		if err := f.run.stack.Proxies[i].Drain(drainCtx); err != nil {
			klog.InfoS("drain did not end", "err", err)
		}
		cancel()
		if !roseclock.Sleep(ctx, restartDelay) {
			return
		}
		f.restartProxy(i)
	}
}

func (f *injector) restartProxy(i int) {
	if _, err := f.run.stack.StartProxy(i); err != nil {
		klog.InfoS("proxy did not start again", "proxy", i, "err", err)
	}
}
