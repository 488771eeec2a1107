package rosecommand

import (
	"context"
	"encoding/json"
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
	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	roseplatform "github.com/rosemarywell/rosemarywell/platform"
)

const (
	// platformBalancerDelay is how long the load balancer may still send clients to
	// a proxy that is no longer ready: it needs two health checks, one second apart.
	platformBalancerDelay = 2200 * time.Millisecond
	// shutdownMargin is the part of the grace time that is left after the last
	// connections are closed, for the node to stop and the log to be flushed.
	shutdownMargin = 300 * time.Millisecond
	// gcPercent is how far the heap may grow before the next collection, in percent
	// of the live memory.
	gcPercent = 100
	// memoryLimitShare is the share of the VM's memory set as the soft memory
	// limit, near which collections become frequent.
	memoryLimitShare = 0.7
	// weightPerCore is the rosemary.Member.Weight of a proxy with one core.
	weightPerCore = 1000
	// keepAliveIdle is how long a connection may be silent before keep-alive
	// probes are sent; two unanswered ones end it.
	keepAliveIdle = 3 * time.Second
)

// keepAliveDialer opens TCP connections with short keep-alive times, to detect an
// unresponsive peer early.
type keepAliveDialer struct{}

// Dial opens a connection to address.
func (keepAliveDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 2,
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// runPlatform runs a proxy in platform mode until ctx ends: it speaks the
// platform's protocol, and reads targets and configuration from its store.
func runPlatform(ctx context.Context, path string) error {
	settings, err := rosesettings.LoadPlatform(path)
	if err != nil {
		return usageError{err}
	}
	logWriter := roselog.NewWriter(os.Stdout)
	go logWriter.Run()
	defer logWriter.Flush()
	klog.LogToStderr(false)
	klog.SetOutput(logWriter)
	debug.SetGCPercent(gcPercent)
	if settings.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMb<<20) * memoryLimitShare))
	}
	drainer := &drainer{}
	node := newNode(settings, drainer.onZonePartitioned)
	node.Metrics().TrackDroppedLogLines(logWriter.Dropped)
	drainer.server = roseplatform.NewServer(node)
	return servePlatform(ctx, path, settings, node, drainer)
}

func newNode(settings rosesettings.PlatformSettings, onZonePartitioned func(bool)) *rosenode.Node {
	store := roseplatform.NewStore(settings.Store.Address, keepAliveDialer{})
	return rosenode.New(rosenode.Config{
		Self: rosemary.Member{
			Proxy: rosemary.ProxyID(settings.Name), Zone: rosemary.Zone(settings.Zone), Address: settings.Listen.Peers,
			Weight: int(settings.Limits.CoreShare * weightPerCore),
		},
		Incarnation:       strconv.FormatInt(time.Now().UnixNano(), 36),
		FirstStart:        settings.FirstStart,
		LeavingTime:       time.Duration(settings.Limits.LeavingTime),
		ConfigurationTime: time.Duration(settings.Limits.ConfigurationTime),
		CapPolicy: rosecap.Policy{
			Window: time.Duration(settings.Limits.CapWindow), Excess: settings.Limits.CapExcess, Slack: settings.Limits.CapSlack,
		},
		Store:          store,
		Targets:        roseplatform.TargetRegistry{Store: store},
		Configurations: roseplatform.ConfigurationStore{Store: store},
		Promoter: roseplatform.NewPromoter(roseplatform.PromoterConfig{
			Address: settings.Promoter.Address, Dialer: keepAliveDialer{}, Clock: roseclock.BootTime{},
		}),
		TargetDialer:      roseplatform.TargetDialer{Dialer: keepAliveDialer{}},
		PeerDialer:        keepAliveDialer{},
		Clock:             roseclock.BootTime{},
		OnZonePartitioned: onZonePartitioned,
	})
}

func servePlatform(ctx context.Context, path string, settings rosesettings.PlatformSettings, node *rosenode.Node, drainer *drainer) error {
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
	nodeCtx, stopNode := context.WithCancel(context.Background())
	defer stopNode()
	ready := &http.Server{Handler: roseplatform.ReadyHandler(node.Ready), ReadHeaderTimeout: adminHeaderTimeout}
	admin := &http.Server{Handler: adminHandler(node, drainer.server), ReadHeaderTimeout: adminHeaderTimeout}
	tasks := &errgroup.Group{}
	tasks.Go(func() error { return drainer.server.Serve(listeners[0]) })
	tasks.Go(func() error { return ignoreClosed(ready.Serve(listeners[1])) })
	tasks.Go(func() error { return ignoreClosed(admin.Serve(listeners[2])) })
	tasks.Go(func() error { return ignoreClosed(node.ServePeers(listeners[3])) })
	tasks.Go(func() error {
		node.Run(nodeCtx)
		return nil
	})
	go checkSettingsOnHangup(nodeCtx, path, settings)
	klog.InfoS("proxy started", "proxy", settings.Name, "zone", settings.Zone, "callers", settings.Listen.Callers,
		"store", settings.Store.Address)
	<-ctx.Done()
	shutDown(listeners[0], settings, node, drainer)
	stopNode()
	_ = ready.Close()
	_ = admin.Close()
	listeners[3].Close()
	return tasks.Wait()
}

// drainer closes sessions so that clients reconnect to other proxies: all sessions
// at a shutdown, and idle ones while the VM's zone is partitioned from the others.
type drainer struct {
	server *roseplatform.Server

	mu           sync.Mutex
	shuttingDown bool
}

// onZonePartitioned handles the beginning and the end of a partition of the zone.
// During one, idle sessions are closed, but only after the load balancer has had
// time to notice, so that their clients reconnect to a proxy of another zone.
func (d *drainer) onZonePartitioned(partitioned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.shuttingDown:
	case partitioned:
		d.server.SetDrainDeadlines(rosecaller.DrainDeadlines{IdleSessions: time.Now().Add(platformBalancerDelay)})
	default:
		d.server.SetDrainDeadlines(rosecaller.DrainDeadlines{})
	}
}

// beginShutdown sets the deadlines of a shutdown. A later change of the zone's
// partition doesn't replace them.
func (d *drainer) beginShutdown(drainDeadlines rosecaller.DrainDeadlines) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shuttingDown = true
	d.server.SetDrainDeadlines(drainDeadlines)
}

// shutDown closes idle sessions, then rolls back open transactions, and finally
// closes all connections that are left, within the grace time.
func shutDown(clientListener net.Listener, settings rosesettings.PlatformSettings, node *rosenode.Node, drainer *drainer) {
	server := drainer.server
	started := time.Now()
	grace := time.Duration(settings.Limits.GraceTime)
	klog.InfoS("proxy stopping", "proxy", settings.Name, "callers", server.Callers(), "grace", grace)
	node.BeginDrain()
	idleDeadline := started.Add(min(platformBalancerDelay, grace/3))
	drainDeadlines := rosecaller.DrainDeadlines{IdleSessions: idleDeadline, OpenTransactions: started.Add(grace / 2)}
	node.DrainRelayed(drainDeadlines)
	drainer.beginShutdown(drainDeadlines)
	time.Sleep(time.Until(idleDeadline))
	clientListener.Close()
	deadline := started.Add(grace - shutdownMargin)
	done := make(chan struct{})
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		server.Wait()
		node.WaitRelayed(ctx)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(deadline)):
		klog.InfoS("proxy stops with callers left", "callers", server.Callers())
		server.Close()
	}
	klog.InfoS("proxy stopped", "proxy", settings.Name, "took", time.Since(started))
}

// checkSettingsOnHangup checks the settings file on SIGHUP and logs the result. No
// setting can change while the process runs; a change takes a restart.
func checkSettingsOnHangup(ctx context.Context, path string, settings rosesettings.PlatformSettings) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		reloaded, err := rosesettings.LoadPlatform(path)
		klog.InfoS("settings read anew", "proxy", settings.Name, "sameListeners", reloaded.Listen == settings.Listen,
			"sameStore", reloaded.Store == settings.Store, "err", roselog.ErrorMessage(err))
	}
}

func adminHandler(node *rosenode.Node, server *roseplatform.Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { node.Metrics().WriteText(w) })
	mux.HandleFunc("GET "+teamsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(node.TeamsState(server.CallersByKey())); err != nil {
			klog.InfoS("teams not sent", "err", roselog.ErrorMessage(err))
		}
	})
	mux.HandleFunc("GET "+targetsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client is gone.
		_ = json.NewEncoder(w).Encode(node.TargetUses())
	})
	return mux
}
