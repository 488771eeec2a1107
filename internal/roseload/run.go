package roseload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

// Config configures a run.
type Config struct {
	Deployment rosestack.Deployment
	// Duration is the time during which requests are sent.
	Duration time.Duration
	Seed     uint64
	// Rate is the mean number of requests per second. Zero means defaultRate.
	Rate float64
	// Faults are the names of the faults to inject, one after the other without
	// a pause.
	Faults []string
	// Baseline replaces policies of the proxies, for comparison.
	Baseline rosedaemon.Baseline
	// InMemory is as in rosestack.Config.
	InMemory bool
	// Progress receives a line per second. It may be nil.
	Progress io.Writer
}

const (
	// defaultRate is a rate that both deployments sustain without a fault.
	defaultRate = 600
	// maxSessions bounds the sessions of a run. At this bound, a request that
	// finds no idle session is counted as unsent.
	maxSessions = 1500
	// warmUp is how long the stack runs before the load starts.
	warmUp = 700 * time.Millisecond
	// settleTime is how long the stack runs after the load, so that replicas and
	// bundles can catch up.
	settleTime = 3 * time.Second
)

// run holds the state of one run.
type run struct {
	config  Config
	mix     mix
	stack   *rosestack.Stack
	history history
	// lastValue is the last number that nextValue returned. Values are unique, so
	// that each identifies its write.
	lastValue       atomic.Int64
	unsent          atomic.Int64
	lastSessionSeed atomic.Uint64
	injector        *injector
	bundles         *bundleTracker
	leaving         leavingTarget

	mu sync.Mutex
	// idle holds the idle sessions by tenant and database.
	idle         map[string][]*session
	sessionCount int
}

// Run starts a stack, generates load and injects faults, and returns a report
// with the results of the checks.
func Run(ctx context.Context, config Config) (*Report, error) {
	if config.Rate == 0 {
		config.Rate = defaultRate
	}
	stack, err := rosestack.Start(ctx, rosestack.Config{
		Deployment: config.Deployment,
		InMemory:   config.InMemory,
		Baseline:   config.Baseline,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer stack.Close()
	r := &run{config: config, mix: mixFor(config.Deployment.Name), stack: stack, idle: make(map[string][]*session)}
	if r.injector, err = newInjector(r, config.Faults); err != nil {
		return nil, err
	}
	r.bundles = newBundleTracker(r)
	r.lastSessionSeed.Store(config.Seed)
	time.Sleep(warmUp)
	observerCtx, stop := context.WithCancel(ctx)
	var observer sync.WaitGroup
	observer.Go(func() { r.bundles.observe(observerCtx) })
	err = r.generateLoad(ctx)
	r.injector.heal()
	time.Sleep(settleTime)
	stop()
	observer.Wait()
	if err != nil {
		return nil, err
	}
	return r.report(), nil
}

// generateLoad sends requests in an open loop with exponentially distributed
// intervals: requests do not wait for earlier ones.
func (r *run) generateLoad(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	random := rand.New(rand.NewPCG(r.config.Seed, 1))
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return r.injector.injectAndHeal(ctx) })
	var requests sync.WaitGroup
	started := time.Now()
	nextLine := started.Add(time.Second)
	for due := started; due.Sub(started) < r.config.Duration; {
		due = due.Add(time.Duration(random.ExpFloat64() / r.config.Rate * r.injector.intervalFactor() * float64(time.Second)))
		time.Sleep(time.Until(due))
		kind, tenant := r.chooseRequest(random)
		database := r.config.Deployment.Databases[random.IntN(len(r.config.Deployment.Databases))]
		r.dispatch(ctx, &requests, kind, tenant, database, due)
		if r.config.Progress != nil && due.After(nextLine) {
			fmt.Fprintf(r.config.Progress, "elapsed=%s operations=%d unsent=%d\n",
				due.Sub(started).Round(time.Second), r.history.size(), r.unsent.Load())
			nextLine = nextLine.Add(time.Second)
		}
	}
	requests.Wait()
	cancel()
	err := tasks.Wait()
	r.disconnectIdle()
	return err
}

// chooseRequest returns the kind and the tenant of the next request.
func (r *run) chooseRequest(random *rand.Rand) (Kind, string) {
	m := r.mix
	if tenant, overload := r.injector.nextOverloadRequest(random); overload {
		return KindRead, tenant
	}
	switch share := random.Float64(); {
	case share < m.readShare:
		return KindRead, m.readTenant
	case share < m.readShare+m.scanShare:
		return KindRead, m.scanTenant
	case share < m.readShare+m.scanShare+m.writeShare:
		return KindWrite, m.writeTenant
	case share < m.readShare+m.scanShare+m.writeShare+m.insertShare:
		return KindInsert, m.writeTenant
	}
	return KindSwap, m.writeTenant
}

func (r *run) dispatch(ctx context.Context, requests *sync.WaitGroup, kind Kind, tenant, database string, due time.Time) {
	s := r.takeSession(tenant, database)
	if s == nil {
		r.unsent.Add(1)
		return
	}
	requests.Go(func() {
		s.perform(ctx, kind, due)
		r.returnSession(s)
	})
}

// takeSession returns an idle session or a new one, or nil if there are
// maxSessions already.
func (r *run) takeSession(tenant, database string) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := tenant + "/" + database
	if idle := r.idle[key]; len(idle) > 0 {
		// lastValue only varies which session is taken.
		i := int(r.lastValue.Load()) % len(idle)
		s := idle[i]
		r.idle[key] = slices.Delete(idle, i, i+1)
		return s
	}
	if r.sessionCount >= maxSessions {
		return nil
	}
	r.sessionCount++
	return &session{
		run:      r,
		random:   rand.New(rand.NewPCG(r.lastSessionSeed.Add(1), 2)),
		dialer:   r.stack.CallerDialer(fmt.Sprintf("caller-%d", r.sessionCount)),
		database: database,
		tenant:   tenant,
	}
}

func (r *run) returnSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := s.tenant + "/" + s.database
	r.idle[key] = append(r.idle[key], s)
}

func (r *run) disconnectIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, idle := range r.idle {
		for _, s := range idle {
			s.disconnect()
		}
	}
}

// addresses returns the addresses of the running proxies, among which a load
// balancer would choose.
func (r *run) addresses() []string {
	var addresses []string
	for _, p := range r.stack.RunningProxies() {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

func (r *run) nextValue() int64 { return r.lastValue.Add(1) }

// leavingTarget is a target that was marked as leaving, and when it was.
type leavingTarget struct {
	id    string
	since time.Time
}

// markLeaving records that a target is leaving from now on.
func (r *run) markLeaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leavingTarget{id, time.Now()}
}
