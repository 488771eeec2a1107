package rosecommand

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
	"github.com/rosemarywell/rosemarywell/internal/rosesettings"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestore"
)

const (
	// dialTimeout bounds the dialing of every outgoing connection.
	dialTimeout = 2 * time.Second
	// balancerDelay is how long a proxy that is no longer ready still accepts
	// clients, since the load balancer takes a while to notice.
	balancerDelay = 2 * time.Second
	// adminHeaderTimeout bounds the reading of an HTTP request's header.
	adminHeaderTimeout = 5 * time.Second
)

// tcpDialer opens TCP connections.
type tcpDialer struct{}

// Dial opens a connection to address.
func (tcpDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return dialer.DialContext(ctx, "tcp", address)
}

// RunDaemon runs a proxy until ctx ends, and returns the exit code.
func RunDaemon(ctx context.Context, streams IOStreams, args []string) int {
	return exitCode(streams, runDaemon(ctx, streams, args))
}

func runDaemon(ctx context.Context, streams IOStreams, args []string) error {
	flags := flag.NewFlagSet("rosemaryd", flag.ContinueOnError)
	path := flags.String("settings", "/etc/rosemarywell/rosemaryd.toml", "settings file")
	check := flags.Bool("check", false, "check the settings file and exit")
	onPlatform := flags.Bool("platform", false, "use the protocol of the hosting platform, and its store for targets and configuration")
	verbosity := flags.Int("v", 0, "log verbosity")
	if err := parseFlags(flags, streams, args); err != nil {
		return err
	}
	var level klog.Level
	if err := level.Set(fmt.Sprint(*verbosity)); err != nil {
		return usageError{trace.BadParameter("invalid log verbosity %d", *verbosity)}
	}
	if *onPlatform && !*check {
		return runPlatform(ctx, *path)
	}
	if err := checkSettings(*path, *onPlatform); err != nil {
		return usageError{err}
	}
	if *check {
		fmt.Fprintln(streams.Out, "settings are in order")
		return nil
	}
	settings, err := rosesettings.Load(*path)
	if err != nil {
		return usageError{err}
	}
	daemon, err := newDaemon(settings)
	if err != nil {
		return usageError{err}
	}
	defer daemon.Close()
	return serveDaemon(ctx, daemon, settings)
}

// checkSettings returns an error that lists all faults of a settings file.
func checkSettings(path string, onPlatform bool) error {
	if onPlatform {
		_, err := rosesettings.LoadPlatform(path)
		return err
	}
	_, err := rosesettings.Load(path)
	return err
}

func newDaemon(settings rosesettings.Settings) (*rosedaemon.Daemon, error) {
	keys, err := settings.Keys()
	if err != nil {
		return nil, err
	}
	callerTLS, err := settings.CallerTLS()
	if err != nil {
		return nil, err
	}
	peerTLS, err := settings.PeerTLS()
	if err != nil {
		return nil, err
	}
	store := rosestore.NewClient(rosestore.Config{
		Address: settings.Store.Address,
		Prefix:  settings.Store.Prefix,
		Dialer:  tcpDialer{},
	})
	address := settings.Peers.Address
	if address == "" {
		address = settings.Listen.Peers
	}
	return rosedaemon.New(rosedaemon.Config{
		Name:           rosemary.ProxyID(settings.Name),
		Zone:           rosemary.Zone(settings.Zone),
		Proxies:        settings.Proxies,
		Dialer:         tcpDialer{},
		TokenKeys:      keys,
		TLS:            callerTLS,
		RequireTLS:     settings.TLS.Required,
		MaxClients:     settings.Limits.Callers,
		TargetUser:     settings.Targets.User,
		TargetPassword: settings.Targets.Password,
		PeerAddress:    address,
		PeerTLS:        peerTLS,
		Seeds:          settings.SeedMembers(),
		Operators:      rosebundle.OperatorList{Operators: settings.Operators, Signatures: settings.Signatures},
		Store:          store,
		MemberSource:   rosestore.NewMemberSource(store),
	}), nil
}

// serveDaemon serves until ctx ends or an operator requests a drain, and then
// shuts down gracefully.
func serveDaemon(ctx context.Context, daemon *rosedaemon.Daemon, settings rosesettings.Settings) error {
	var config net.ListenConfig
	var listeners []net.Listener
	for _, address := range []string{settings.Listen.Callers, settings.Listen.Peers, settings.Listen.Admin} {
		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer listener.Close()
		listeners = append(listeners, listener)
	}
	admin := &http.Server{Handler: daemon.Admin(), ReadHeaderTimeout: adminHeaderTimeout}
	tasks := &errgroup.Group{}
	tasks.Go(func() error { return daemon.Serve(listeners[0]) })
	tasks.Go(func() error { return ignoreClosed(daemon.ServePeers(listeners[1])) })
	tasks.Go(func() error { return ignoreClosed(admin.Serve(listeners[2])) })
	klog.InfoS("proxy started", "proxy", settings.Name, "zone", settings.Zone, "callers", listeners[0].Addr().String(),
		"peers", listeners[1].Addr().String(), "admin", listeners[2].Addr().String())
	select {
	case <-ctx.Done():
	case <-daemon.DrainRequested:
	}
	daemon.MarkUnready()
	time.Sleep(balancerDelay)
	listeners[0].Close()
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.Limits.DrainTime))
	defer cancel()
	err := daemon.Drain(drainCtx)
	listeners[1].Close()
	_ = admin.Close()
	if serveErr := tasks.Wait(); serveErr != nil {
		return serveErr
	}
	return trace.Wrap(err)
}

func ignoreClosed(err error) error {
	if err == nil || trace.IsEOF(err) || isServerClosed(err) {
		return nil
	}
	return trace.Wrap(err)
}
