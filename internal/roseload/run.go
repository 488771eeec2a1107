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

// Config sets up a run.
type Config struct {
	Deployment rosestack.Deployment
	// For is how long requests arrive.
	Duration time.Duration
	Seed     uint64
	// Rate is the number of requests that arrive in a second.
	Rate float64
	// Faults are the names of the faults to bring about, together.
	Faults   []string
	Baseline rosedaemon.Baseline
	InMemory bool
	// Progress gets a line a second; nil is silent.
	Progress io.Writer
}

const (
	// defaultRate suits both deployments without a fault.
	defaultRate = 600
	// maxSessions bounds the sessions of a run; requests that find none
	// idle are not sent.
	maxSessions = 1500
	// warmUp is how long a stack runs before its load.
	warmUp = 700 * time.Millisecond
	// settleTime is how long replicas get to catch up at the end.
	settleTime = 3 * time.Second
)

// run is one run of a load.
type run struct {
	config  Config
	mix     mix
	stack   *rosestack.Stack
	history history
	value   atomic.Int64
	unsent  atomic.Int64
	seeds   atomic.Uint64
	fault   *faults
	bundles *bundles
	// left names the target that is leaving, and since when.
	left leavingTarget

	mu   sync.Mutex
	idle map[string][]*session
	all  int
}

// Run runs a load and returns its report.
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
	if r.fault, err = newFaults(r, config.Faults); err != nil {
		return nil, err
	}
	r.bundles = newBundles(r)
	r.seeds.Store(config.Seed)
	time.Sleep(warmUp)
	observing, stop := context.WithCancel(ctx)
	var observer sync.WaitGroup
	observer.Go(func() { r.bundles.observe(observing) })
	err = r.load(ctx)
	r.fault.heal()
	time.Sleep(settleTime)
	stop()
	observer.Wait()
	if err != nil {
		return nil, err
	}
	return r.report(), nil
}

// load lets requests arrive, whatever becomes of those before them.
func (r *run) load(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	random := rand.New(rand.NewPCG(r.config.Seed, 1))
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return r.fault.play(ctx) })
	var requests sync.WaitGroup
	started := time.Now()
	nextLine := started.Add(time.Second)
	for due := started; due.Sub(started) < r.config.Duration; {
		due = due.Add(time.Duration(random.ExpFloat64() / r.config.Rate * r.fault.pace() * float64(time.Second)))
		time.Sleep(time.Until(due))
		kind, tenant := r.choose(random)
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
	r.hangUp()
	return err
}

// choose picks the kind of the next request and who sends it.
func (r *run) choose(random *rand.Rand) (Kind, string) {
	m := r.mix
	if tenant, flooding := r.fault.flood(random); flooding {
		return KindRead, tenant
	}
	switch share := random.Float64(); {
	case share < m.read:
		return KindRead, m.readTenant
	case share < m.read+m.list:
		return KindRead, m.listTenant
	case share < m.read+m.list+m.write:
		return KindWrite, m.writeTenant
	case share < m.read+m.list+m.write+m.once:
		return KindInsert, m.writeTenant
	}
	return KindSwap, m.writeTenant
}

func (r *run) dispatch(ctx context.Context, requests *sync.WaitGroup, kind Kind, tenant, database string, due time.Time) {
	s := r.take(tenant, database)
	if s == nil {
		r.unsent.Add(1)
		return
	}
	requests.Go(func() {
		s.perform(ctx, kind, due)
		r.giveBack(s)
	})
}

// take returns an idle session, or a new one while there are few.
func (r *run) take(tenant, database string) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := tenant + "/" + database
	if idle := r.idle[pool]; len(idle) > 0 {
		at := int(r.value.Load()) % len(idle)
		s := idle[at]
		r.idle[pool] = slices.Delete(idle, at, at+1)
		return s
	}
	if r.all >= maxSessions {
		return nil
	}
	r.all++
	return &session{
		run:      r,
		random:   rand.New(rand.NewPCG(r.seeds.Add(1), 2)),
		dialer:   r.stack.CallerDialer(fmt.Sprintf("caller-%d", r.all)),
		database: database,
		tenant:   tenant,
	}
}

func (r *run) giveBack(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool := s.tenant + "/" + s.database
	r.idle[pool] = append(r.idle[pool], s)
}

func (r *run) hangUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, idle := range r.idle {
		for _, s := range idle {
			s.hangUp()
		}
	}
}

// addresses lists the proxies that the balancer sends callers to.
func (r *run) addresses() []string {
	var list []string
	for _, p := range r.stack.RunningProxies() {
		list = append(list, p.Address)
	}
	return list
}

func (r *run) nextValue() int64 { return r.value.Add(1) }

// leavingTarget is a target that is to get no new work.
type leavingTarget struct {
	id    string
	since time.Time
}

// leaving notes that a target is on its way out.
func (r *run) leaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = leavingTarget{id, time.Now()}
}
