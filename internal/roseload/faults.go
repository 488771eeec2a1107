package roseload

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosetarget"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// fault is injected after a third of the run and healed after two thirds.
type fault struct {
	name string
	// inject starts the fault. It may be nil.
	inject func(ctx context.Context, f *injector)
	// heal ends the fault. It may be nil.
	heal func(f *injector)
	// stopsWrites is set if writes to the first database stop for some time.
	stopsWrites bool
}

// faultsByName holds the faults that registerFault added.
var faultsByName = map[string]fault{}

func registerFault(f fault) { faultsByName[f.name] = f }

// FaultNames returns the sorted names of all faults, with "none" among them.
func FaultNames() []string {
	names := []string{"none"}
	for name := range faultsByName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// injector injects and heals the faults of one run.
type injector struct {
	run      *run
	selected []fault

	mu             sync.Mutex
	random         *rand.Rand
	injectedAt     time.Time
	overloadTenant string
	healOnce       sync.Once
	tasks          sync.WaitGroup
}

func newInjector(r *run, names []string) (*injector, error) {
	f := &injector{run: r, random: rand.New(rand.NewPCG(r.config.Seed, 3))}
	for _, name := range names {
		if name == "none" {
			continue
		}
		selected, found := faultsByName[name]
		if !found {
			return nil, trace.NotFound("unknown fault %q; use one of %v", name, FaultNames())
		}
		f.selected = append(f.selected, selected)
	}
	return f, nil
}

// injectAndHeal injects the faults after a third of the run, and heals them
// another third later.
func (f *injector) injectAndHeal(ctx context.Context) error {
	third := f.run.config.Duration / 3
	if len(f.selected) == 0 || !roseclock.Sleep(ctx, third) {
		return nil
	}
	f.mu.Lock()
	f.injectedAt = time.Now()
	f.mu.Unlock()
	for _, s := range f.selected {
		if s.inject != nil {
			s.inject(ctx, f)
		}
	}
	roseclock.Sleep(ctx, third)
	f.heal()
	return nil
}

// heal ends the selected faults and waits for their background tasks. Only the
// first call has an effect.
func (f *injector) heal() {
	f.healOnce.Do(func() {
		for _, s := range f.selected {
			if s.heal != nil {
				s.heal(f)
			}
		}
		f.tasks.Wait()
	})
}

// nextOverloadRequest returns the overloading tenant, if any, and whether the
// next request is one that the overload adds.
func (f *injector) nextOverloadRequest(random *rand.Rand) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.overloadTenant, f.overloadTenant != "" && random.Float64() < f.run.overloadShare()
}

// intervalFactor returns the factor by which an overload shortens the time
// between requests.
func (f *injector) intervalFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overloadTenant != "" {
		return 1 - f.run.overloadShare()
	}
	return 1
}

// randomInt returns a number below n from the run's seeded generator.
func (f *injector) randomInt(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// database returns the database that faults affect if they affect only one.
func (f *injector) database() string { return f.run.config.Deployment.Databases[0] }

// primary returns the target that leads the highest term of the database, or nil
// if there is none.
func (f *injector) primary() *rosetarget.Target {
	var primary *rosetarget.Target
	term := uint64(0)
	for _, t := range f.run.stack.Groups[f.database()].Targets() {
		if status := t.Status(); status.LeadsTerm() && status.Term > term {
			primary, term = t, status.Term
		}
	}
	return primary
}

// replicas returns the database's targets with the role of a replica, sorted by
// identifier.
func (f *injector) replicas() []*rosetarget.Target {
	var replicas []*rosetarget.Target
	for _, t := range f.run.stack.Groups[f.database()].Targets() {
		if t.Status().Role == rosemary.RoleReplica {
			replicas = append(replicas, t)
		}
	}
	slices.SortFunc(replicas, func(a, b *rosetarget.Target) int {
		return slices.Compare([]byte(a.Status().Target), []byte(b.Status().Target))
	})
	return replicas
}

// SplitFaults splits fault names joined by "+". A fault whose own name contains
// "+" takes precedence over its parts.
func SplitFaults(text string) []string {
	var names []string
	for name, f := range faultsByName {
		if strings.Contains(name, "+") && strings.Contains(text, f.name) {
			names = append(names, name)
			text = strings.Trim(strings.ReplaceAll(text, name, ""), "+")
		}
	}
	for part := range strings.SplitSeq(text, "+") {
		if part != "" {
			names = append(names, part)
		}
	}
	return names
}
