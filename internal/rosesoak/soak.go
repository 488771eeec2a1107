// Package rosesoak runs real proxies as processes against the stand-ins, with
// faults from outside, and checks the promises from what callers and targets
// see.
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

// loopback asks for a free address on this machine.
const loopback = "127.0.0.1:0"

const (
	// replicaLag is how long replicas take to apply.
	replicaLag = 60 * time.Millisecond
	// workTime is how long a statement runs.
	workTime = 3 * time.Millisecond
	// promoteTime is how long a promotion takes.
	promoteTime = 300 * time.Millisecond
	// connections is the number that a target accepts.
	connections = 22
	// formTime is how long the installation has to form.
	formTime = 6 * time.Second
	// defaultBorderTime is the slack that a request's loss is judged with.
	defaultBorderTime = 200 * time.Millisecond
	// settleTime lets answers come after the last fault.
	settleTime = 3 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Config sets up a run.
type Config struct {
	// Program is the path of rosemaryd.
	Program string
	// Directory takes settings and logs.
	Directory string
	Seed      uint64
	Duration  time.Duration
	// ProxiesPerZone and Callers size the installation.
	ProxiesPerZone int
	Callers        int
	// BorderTime is how soon a connection that a proxy closes between two
	// requests ends: the later request was never read. Zero means
	// defaultBorderTime.
	IdleCloseTolerance time.Duration
	// Out is told of each fault; nil for nobody.
	Out io.Writer
}

// Report is what a run saw.
type Report struct {
	Outcomes   map[string]int
	Faults     int
	Violations []string
}

// soak is one run.
type soak struct {
	config    Config
	random    *rand.Rand
	started   time.Time
	store     *rosestandin.Store
	group     *rosestandin.Group
	promoter  *rosestandin.Promoter
	targets   []*target
	processes []*process
	closers   []func()
	tasks     sync.WaitGroup

	mu     sync.Mutex
	report Report
}

// target is a stand-in's target behind a wire.
type target struct {
	*rosestandin.Target
	id   rosemary.TargetID
	wire *wire
}

// Run plays one seed. The error is about the run itself; broken promises are in
// the report.
func Run(ctx context.Context, config Config) (Report, error) {
	if config.IdleCloseTolerance == 0 {
		config.IdleCloseTolerance = defaultBorderTime
	}
	if config.Out == nil {
		config.Out = io.Discard
	}
	s := &soak{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), started: time.Now(), store: rosestandin.NewStore(),
		report: Report{Outcomes: make(map[string]int)},
	}
	defer s.close()
	if err := s.open(ctx); err != nil {
		return s.report, err
	}
	if !sleep(ctx, formTime) {
		return s.report, ctx.Err()
	}
	playing, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	callers, ended := context.WithCancel(ctx)
	defer ended()
	var tasks sync.WaitGroup
	writers := make([]*writer, config.Callers)
	for n := range writers {
		writers[n] = &writer{soak: s, item: fmt.Sprint("i", n), random: rand.New(rand.NewPCG(config.Seed, uint64(n)+1))}
		tasks.Go(func() { writers[n].run(callers) })
	}
	s.play(playing)
	sleep(ctx, settleTime)
	ended()
	tasks.Wait()
	for _, w := range writers {
		w.judge()
	}
	return s.report, nil
}

// open starts the stand-ins and the proxies.
func (s *soak) open(ctx context.Context) error {
	listed := make([]rosemary.Target, len(zones))
	for n, zone := range zones {
		listed[n] = rosemary.Target{ID: rosemary.TargetID(fmt.Sprint("t-", n+1)), Zone: rosemary.Zone(zone)}
	}
	s.group = rosestandin.NewGroup(rosestandin.GroupConfig{
		Name: rosestandin.GroupName, Targets: listed, ApplyDelay: replicaLag, StatementDuration: workTime, PromoteDelay: promoteTime, MaxConnections: connections,
	})
	s.closers = append(s.closers, s.group.Close)
	s.promoter = rosestandin.NewPromoter(s.group)
	for _, l := range listed {
		if err := s.serveTarget(ctx, l); err != nil {
			return err
		}
	}
	store, err := s.serve(s.store.Handler())
	if err != nil {
		return err
	}
	promoter, err := s.serve(s.promoter.Handler())
	if err != nil {
		return err
	}
	rosestandin.PutConfiguration(s.store, 1, connections)
	for n := range s.config.ProxiesPerZone * len(zones) {
		p, err := newProcess(s.config.Directory, s.config.Program, fmt.Sprint("proxy-", n+1), zones[n%len(zones)], store, promoter)
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

// serveTarget opens a target on an address that it keeps over restarts.
func (s *soak) serveTarget(ctx context.Context, listed rosemary.Target) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	before, err := newWire(address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.closers = append(s.closers, before.close)
	listed.Address = before.address()
	t := &target{s.group.Target(listed.ID), listed.ID, before}
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
	beating, cancel := context.WithCancel(ctx)
	s.closers = append(s.closers, cancel)
	s.tasks.Go(func() { rosestandin.RunHeartbeat(beating, s.store, t.Target, listed) })
	return nil
}

func (s *soak) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	server := &http.Server{Handler: handler}
	s.closers = append(s.closers, func() { _ = server.Close() })
	s.tasks.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// close ends what the run started.
func (s *soak) close() {
	var tasks sync.WaitGroup
	for _, p := range s.processes {
		tasks.Go(p.stop)
	}
	tasks.Wait()
	for _, p := range s.processes {
		p.store.close()
	}
	for n := len(s.closers) - 1; n >= 0; n-- {
		s.closers[n]()
	}
	s.tasks.Wait()
}

// violate records a broken promise.
func (s *soak) violate(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%.2f s: ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, values...)
	s.report.Violations = append(s.report.Violations, text)
	fmt.Fprintln(s.config.Out, "BROKEN", text)
}

func (s *soak) count(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Outcomes[outcome]++
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// NewDirectory returns a directory for a run's settings and logs.
func NewDirectory(seed uint64) (string, error) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("rosemary-soak-%d-", seed))
	return directory, trace.ConvertSystemError(err)
}
