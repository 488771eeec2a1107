package rosecommand

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/internal/rosenode"
	"github.com/rosemarywell/rosemarywell/internal/rosesettings"
	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	roseplatform "github.com/rosemarywell/rosemarywell/platform"
)

const (
	// rotationTime is how long the balancer may go on sending callers to a
	// proxy that isn't ready any more: two questions a second apart.
	rotationTime = 2200 * time.Millisecond
	// lastAnswerTime is left of the grace for answers under way.
	lastAnswerTime = 300 * time.Millisecond
	// collectPercent lets the heap grow to this share of what is live
	// before a collection; live memory is small against the VM's.
	collectPercent = 400
	// memoryShare is the share of the VM's memory at which collections
	// become frequent.
	memoryShare = 0.7
	// weightOfCore is the weight of a VM with a whole core.
	weightOfCore = 1000
	// linkSilence ends a connection whose peer acknowledges nothing.
	linkSilence = 3 * time.Second
)

// quickDialer opens connections that notice a silent peer.
type quickDialer struct{}

// Dial opens a stream to address.
func (quickDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: linkSilence, Interval: time.Second, Count: 2,
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// runVM serves on the platform until ctx ends.
func runVM(ctx context.Context, path string) error {
	settings, err := rosesettings.LoadVM(path)
	if err != nil {
		return usageError{err}
	}
	lines := roselog.NewWriter(os.Stdout)
	go lines.Run()
	defer lines.Flush()
	klog.LogToStderr(false)
	klog.SetOutput(lines)
	debug.SetGCPercent(collectPercent)
	if settings.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMb<<20) * memoryShare))
	}
	drainer := &drainer{}
	node := newNode(settings, drainer.cutOff)
	node.Metrics().TrackDroppedLogLines(lines.Dropped)
	drainer.front = roseplatform.NewServer(node)
	return serveVM(ctx, path, settings, node, drainer)
}

func newNode(settings rosesettings.VMSettings, onCut func(bool)) *rosenode.Node {
	store := roseplatform.NewStore(settings.Store.Address, quickDialer{})
	return rosenode.New(rosenode.Config{
		Self: rosemary.Member{
			Proxy: rosemary.ProxyID(settings.Name), Zone: rosemary.Zone(settings.Zone), Address: settings.Listen.Peers,
			Weight: int(settings.Limits.CoreShare * weightOfCore),
		},
		Incarnation:       strconv.FormatInt(time.Now().UnixNano(), 36),
		Store:             store,
		Targets:           roseplatform.TargetRegistry{Store: store},
		Configurations:    roseplatform.ConfigurationStore{Store: store},
		Promoter:          roseplatform.NewPromoter(settings.Promoter.Address, quickDialer{}),
		TargetDialer:      roseplatform.TargetDialer{Dialer: quickDialer{}},
		PeerDialer:        quickDialer{},
		Clock:             roseclock.BootTime{},
		OnZonePartitioned: onCut,
	})
}

func serveVM(ctx context.Context, path string, settings rosesettings.VMSettings, node *rosenode.Node, drainer *drainer) error {
	var config net.ListenConfig
	var listeners []net.Listener
	for _, address := range []string{settings.Listen.Callers, settings.Listen.Ready, settings.Listen.Admin, settings.Listen.Peers} {
		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer listener.Close()
		listeners = append(listeners, listener)
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	ready := &http.Server{Handler: roseplatform.ReadyHandler(node.Ready), ReadHeaderTimeout: adminHeaderTimeout}
	admin := &http.Server{Handler: adminHandler(node), ReadHeaderTimeout: adminHeaderTimeout}
	tasks := &errgroup.Group{}
	tasks.Go(func() error { return drainer.front.Serve(listeners[0]) })
	tasks.Go(func() error { return closedIsFine(ready.Serve(listeners[1])) })
	tasks.Go(func() error { return closedIsFine(admin.Serve(listeners[2])) })
	tasks.Go(func() error { return closedIsFine(node.ServePeers(listeners[3])) })
	tasks.Go(func() error {
		node.Run(running)
		return nil
	})
	go watchReload(running, path, settings)
	klog.InfoS("proxy started", "proxy", settings.Name, "zone", settings.Zone, "callers", settings.Listen.Callers,
		"store", settings.Store.Address)
	<-ctx.Done()
	shutDown(listeners[0], settings, node, drainer)
	stop()
	_ = ready.Close()
	_ = admin.Close()
	listeners[3].Close()
	return tasks.Wait()
}

// drainer sends callers elsewhere: all of them at a shutdown, and resting ones
// while the VM's zone is cut off.
type drainer struct {
	front *roseplatform.Server

	mu       sync.Mutex
	stopping bool
}

// cutOff has resting callers connect again once the balancer has had time to
// choose a proxy of another zone for them.
func (d *drainer) cutOff(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.stopping:
	case cut:
		d.front.SetDrain(rosecaller.DrainDeadlines{IdleSessions: time.Now().Add(rotationTime)})
	default:
		d.front.SetDrain(rosecaller.DrainDeadlines{})
	}
}

// stop begins the drain of a shutdown.
func (d *drainer) stop(drain rosecaller.DrainDeadlines) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	d.front.SetDrain(drain)
}

// shutDown ends every session at a border, within the grace.
func shutDown(callers net.Listener, settings rosesettings.VMSettings, node *rosenode.Node, drainer *drainer) {
	front := drainer.front
	started := time.Now()
	grace := time.Duration(settings.Limits.GraceTime)
	klog.InfoS("proxy stopping", "proxy", settings.Name, "callers", front.Callers(), "grace", grace)
	node.BeginDrain()
	idleFrom := started.Add(min(rotationTime, grace/3))
	drain := rosecaller.DrainDeadlines{IdleSessions: idleFrom, OpenTransactions: started.Add(grace / 2)}
	node.SetDrain(drain)
	drainer.stop(drain)
	time.Sleep(time.Until(idleFrom))
	callers.Close()
	deadline := started.Add(grace - lastAnswerTime)
	done := make(chan struct{})
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		front.Wait()
		node.WaitRelayed(ctx)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(deadline)):
		klog.InfoS("proxy stops with callers left", "callers", front.Callers())
		front.Close()
	}
	klog.InfoS("proxy stopped", "proxy", settings.Name, "took", time.Since(started))
}

// watchReload checks the settings file on SIGHUP. What it holds is bound to
// the process: a change of it takes a restart.
func watchReload(ctx context.Context, path string, settings rosesettings.VMSettings) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	for {
		select {
		case <-hangUps:
		case <-ctx.Done():
			return
		}
		reloaded, err := rosesettings.LoadVM(path)
		klog.InfoS("settings read anew", "proxy", settings.Name, "sameListeners", reloaded.Listen == settings.Listen,
			"sameStore", reloaded.Store == settings.Store, "err", roselog.Err(err))
	}
}

func adminHandler(node *rosenode.Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { node.Metrics().WriteText(w) })
	return mux
}
