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
	// dialTimeout bounds the opening of a connection to anything.
	dialTimeout = 2 * time.Second
	// balancerTime is how long a proxy that isn't ready any more still takes
	// callers, until the balancer has noticed.
	balancerTime = 2 * time.Second
	// adminHeaderTimeout bounds the start of an operator's request.
	adminHeaderTimeout = 5 * time.Second
)

// netDialer opens connections over TCP.
type netDialer struct{}

// Dial opens a stream to address.
func (netDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return dialer.DialContext(ctx, "tcp", address)
}

// RunDaemon runs a proxy until ctx ends, and returns the exit code.
func RunDaemon(ctx context.Context, environment IOStreams, args []string) int {
	return exitCode(environment, runDaemon(ctx, environment, args))
}

func runDaemon(ctx context.Context, environment IOStreams, args []string) error {
	flags := flag.NewFlagSet("rosemaryd", flag.ContinueOnError)
	path := flags.String("settings", "/etc/rosemarywell/rosemaryd.toml", "settings file")
	check := flags.Bool("check", false, "check the settings and exit")
	onPlatform := flags.Bool("platform", false, "find targets and configuration in the platform's store")
	verbosity := flags.Int("v", 0, "verbosity of the log")
	if err := parse(flags, environment, args); err != nil {
		return err
	}
	var level klog.Level
	if err := level.Set(fmt.Sprint(*verbosity)); err != nil {
		return usageError{trace.BadParameter("bad verbosity %d", *verbosity)}
	}
	if *onPlatform && !*check {
		return runVM(ctx, *path)
	}
	if err := checkSettings(*path, *onPlatform); err != nil {
		return usageError{err}
	}
	if *check {
		fmt.Fprintln(environment.Out, "settings are in order")
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

// checkSettings returns the faults of a settings file.
func checkSettings(path string, onPlatform bool) error {
	if onPlatform {
		_, err := rosesettings.LoadVM(path)
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
		Dialer:  netDialer{},
	})
	address := settings.Peers.Address
	if address == "" {
		address = settings.Listen.Peers
	}
	return rosedaemon.New(rosedaemon.Config{
		Name:           rosemary.ProxyID(settings.Name),
		Zone:           rosemary.Zone(settings.Zone),
		Proxies:        settings.Proxies,
		Dialer:         netDialer{},
		Keys:           keys,
		TLS:            callerTLS,
		RequireTLS:     settings.TLS.Required,
		MaxCallers:     settings.Limits.Callers,
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

// serveDaemon serves until ctx ends or an operator asks for a drain, and then
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
	tasks.Go(func() error { return closedIsFine(daemon.ServePeers(listeners[1])) })
	tasks.Go(func() error { return closedIsFine(admin.Serve(listeners[2])) })
	klog.InfoS("proxy started", "proxy", settings.Name, "zone", settings.Zone, "callers", listeners[0].Addr().String(),
		"peers", listeners[1].Addr().String(), "admin", listeners[2].Addr().String())
	select {
	case <-ctx.Done():
	case <-daemon.DrainRequested:
	}
	daemon.MarkUnready()
	time.Sleep(balancerTime)
	listeners[0].Close()
	draining, cancel := context.WithTimeout(context.Background(), time.Duration(settings.Limits.DrainTime))
	defer cancel()
	err := daemon.Drain(draining)
	listeners[1].Close()
	_ = admin.Close()
	if wait := tasks.Wait(); wait != nil {
		return wait
	}
	return trace.Wrap(err)
}

func closedIsFine(err error) error {
	if err == nil || trace.IsEOF(err) || isClosed(err) {
		return nil
	}
	return trace.Wrap(err)
}
