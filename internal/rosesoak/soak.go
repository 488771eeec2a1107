// Package rosesoak runs proxies as processes against a simulated platform,
// injects faults from outside, and checks the proxies' guarantees by what clients
// and targets observe.
package rosesoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/platform/rosestandin"
)

// loopbackAnyPort makes the system choose a free port.
const loopbackAnyPort = "127.0.0.1:0"

const (
	// replicaApplyDelay is how long replicas take to apply a record.
	replicaApplyDelay = 60 * time.Millisecond
	// statementDuration is how long a statement runs at a target.
	statementDuration = 3 * time.Millisecond
	// promoteDelay is how long a promotion takes.
	promoteDelay = 300 * time.Millisecond
	// maxConnections is the number of connections that a target accepts.
	maxConnections = 22
	// startupTime is how long the proxies have to find each other and the targets
	// before load and faults begin.
	startupTime = 6 * time.Second
	// defaultIdleCloseTolerance is the default of Config.IdleCloseTolerance.
	defaultIdleCloseTolerance = 200 * time.Millisecond
	// settleTime lets outstanding answers arrive after the last fault.
	settleTime = 3 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Config configures a run.
type Config struct {
	// Program is the path of rosemaryd.
	Program string
	// Directory receives the proxies' settings and logs.
	Directory string
	Seed      uint64
	Duration  time.Duration
	// ProxiesPerZone is the number of proxies in each of three zones.
	ProxiesPerZone int
	// Clients is the number of concurrent clients.
	Clients int
	// IdleCloseTolerance excuses a connection that closes within this time after a
	// request was sent: the proxy may have closed the idle connection without
	// reading the request. Zero means defaultIdleCloseTolerance.
	IdleCloseTolerance time.Duration
	// Out receives a line for each fault and violation; nil discards them.
	Out io.Writer
}

// Report is the result of a run. Outcomes counts writes by outcome: acked, broken
// if the connection was lost, or the error code.
type Report struct {
	Outcomes   map[string]int
	Faults     int
	Violations []string
}

// soak is one run.
type soak struct {
	config  Config
	random  *rand.Rand
	started time.Time
	// addresses are those that the proxies and targets listen on.
	addresses *addressPool
	store     *rosestandin.Store
	group     *rosestandin.Group
	promoter  *rosestandin.Promoter
	targets   []*target
	processes []*process
	// closers are called in reverse order at the end of the run.
	closers []func()
	tasks   sync.WaitGroup

	mu     sync.Mutex
	report Report
}

// target is a simulated target behind a relay that injects faults.
type target struct {
	*rosestandin.Target
	id    rosemary.TargetID
	relay *tcpRelay
}

// Run runs one seed. The error is about the run itself; violations are in the
// report.
func Run(ctx context.Context, config Config) (Report, error) {
	if config.IdleCloseTolerance == 0 {
		config.IdleCloseTolerance = defaultIdleCloseTolerance
	}
	if config.Out == nil {
		config.Out = io.Discard
	}
	s := &soak{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), started: time.Now(), addresses: newAddressPool(), store: rosestandin.NewStore(),
		report: Report{Outcomes: make(map[string]int)},
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return s.report, err
	}
	if !sleep(ctx, startupTime) {
		return s.report, ctx.Err()
	}
	faultsCtx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	writersCtx, stopWriters := context.WithCancel(ctx)
	defer stopWriters()
	var tasks sync.WaitGroup
	writers := make([]*writer, config.Clients)
	for n := range writers {
		writers[n] = &writer{soak: s, key: fmt.Sprint("i", n), random: rand.New(rand.NewPCG(config.Seed, uint64(n)+1))}
		tasks.Go(func() { writers[n].run(writersCtx) })
	}
	s.injectFaults(faultsCtx)
	sleep(ctx, settleTime)
	stopWriters()
	tasks.Wait()
	for _, w := range writers {
		w.checkOutcomes()
	}
	return s.report, nil
}

// start starts the simulated platform and the proxies.
func (s *soak) start(ctx context.Context) error {
	targets := make([]rosemary.Target, len(zones))
	for n, zone := range zones {
		targets[n] = rosemary.Target{ID: rosemary.TargetID(fmt.Sprint("t-", n+1)), Zone: rosemary.Zone(zone)}
	}
	s.group = rosestandin.NewGroup(rosestandin.GroupConfig{
		Name: rosestandin.GroupName, Targets: targets, ApplyDelay: replicaApplyDelay, StatementDuration: statementDuration, PromoteDelay: promoteDelay, MaxConnections: maxConnections,
	})
	s.closers = append(s.closers, s.group.Close)
	s.promoter = rosestandin.NewPromoter(s.group)
	for _, t := range targets {
		if err := s.serveTarget(ctx, t); err != nil {
			return err
		}
	}
	storeAddress, err := s.serveHTTP(s.store.Handler())
	if err != nil {
		return err
	}
	promoterAddress, err := s.serveHTTP(s.promoter.Handler())
	if err != nil {
		return err
	}
	rosestandin.PutConfiguration(s.store, 1, maxConnections)
	for n := range s.config.ProxiesPerZone * len(zones) {
		p, err := newProcess(s.config.Directory, s.config.Program, s.addresses, fmt.Sprint("proxy-", n+1), zones[n%len(zones)], storeAddress, promoterAddress)
		if err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	return nil
}

// serveTarget starts a target on an address that it keeps across restarts, and
// registers it under the address of its relay.
func (s *soak) serveTarget(ctx context.Context, registered rosemary.Target) error {
	address, err := s.addresses.take()
	if err != nil {
		return err
	}
	relay, err := newTCPRelay(address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.closers = append(s.closers, relay.close)
	registered.Address = relay.address()
	t := &target{s.group.Target(registered.ID), registered.ID, relay}
	s.targets = append(s.targets, t)
	opened := make(chan struct{})
	first := true
	s.tasks.Go(func() {
		t.Serve(func() net.Listener {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				panic(err)
			}
			if first {
				first = false
				close(opened)
			}
			return listener
		})
	})
	<-opened
	s.closers = append(s.closers, t.Close)
	heartbeatCtx, stopHeartbeat := context.WithCancel(ctx)
	s.closers = append(s.closers, stopHeartbeat)
	s.tasks.Go(func() { rosestandin.RunHeartbeat(heartbeatCtx, s.store, t.Target, registered) })
	return nil
}

// serveHTTP serves handler on a free port and returns the address.
func (s *soak) serveHTTP(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	server := &http.Server{Handler: handler}
	s.closers = append(s.closers, func() { _ = server.Close() })
	s.tasks.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// close stops the proxies and the simulated platform.
func (s *soak) close() {
	var tasks sync.WaitGroup
	for _, p := range s.processes {
		tasks.Go(p.stop)
	}
	tasks.Wait()
	for _, p := range s.processes {
		p.storeRelay.close()
	}
	for n := len(s.closers) - 1; n >= 0; n-- {
		s.closers[n]()
	}
	s.tasks.Wait()
}

// addViolation records a violation of a guarantee.
func (s *soak) addViolation(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%.2f s: ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, values...)
	s.report.Violations = append(s.report.Violations, text)
	fmt.Fprintln(s.config.Out, "BROKEN", text)
}

func (s *soak) countOutcome(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Outcomes[outcome]++
}

// sleep waits for d, and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// NewDirectory creates a temporary directory for a run's settings and logs.
func NewDirectory(seed uint64) (string, error) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("rosemary-soak-%d-", seed))
	return directory, trace.ConvertSystemError(err)
}
