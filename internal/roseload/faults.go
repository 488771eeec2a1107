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

// fault is something that goes wrong during a run: it strikes at a third of
// the run and is healed at two thirds.
type fault struct {
	name string
	// strike brings the fault about. Nil needs no act.
	strike func(ctx context.Context, f *faults)
	// heal ends it. Nil needs no end.
	heal func(f *faults)
	// stopsWrites is set when writes of the first database stop for a time.
	stopsWrites bool
}

// catalogue lists the faults by name; each adds itself.
var catalogue = map[string]fault{}

func addFault(f fault) { catalogue[f.name] = f }

// FaultNames lists the faults that a run can have.
func FaultNames() []string {
	names := []string{"none"}
	for name := range catalogue {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// faults brings about the faults of one run.
type faults struct {
	run    *run
	chosen []fault

	mu       sync.Mutex
	random   *rand.Rand
	struckAt time.Time
	flooding string
	healing  sync.Once
	tasks    sync.WaitGroup
}

func newFaults(r *run, names []string) (*faults, error) {
	f := &faults{run: r, random: rand.New(rand.NewPCG(r.config.Seed, 3))}
	for _, name := range names {
		if name == "none" {
			continue
		}
		chosen, found := catalogue[name]
		if !found {
			return nil, trace.NotFound("no fault %q; use one of %v", name, FaultNames())
		}
		f.chosen = append(f.chosen, chosen)
	}
	return f, nil
}

// play brings the faults about and heals them.
func (f *faults) play(ctx context.Context) error {
	third := f.run.config.Duration / 3
	if len(f.chosen) == 0 || !roseclock.Sleep(ctx, third) {
		return nil
	}
	f.mu.Lock()
	f.struckAt = time.Now()
	f.mu.Unlock()
	for _, chosen := range f.chosen {
		if chosen.strike != nil {
			chosen.strike(ctx, f)
		}
	}
	roseclock.Sleep(ctx, third)
	f.heal()
	return nil
}

func (f *faults) heal() {
	f.healing.Do(func() {
		for _, chosen := range f.chosen {
			if chosen.heal != nil {
				chosen.heal(f)
			}
		}
		f.tasks.Wait()
	})
}

// flood returns the tenant whose requests crowd out the others, and whether
// the next request is one of these.
func (f *faults) flood(random *rand.Rand) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flooding, f.flooding != "" && random.Float64() < f.run.floodShare()
}

// pace returns the factor on the time between requests.
func (f *faults) pace() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.flooding != "" {
		return 1 - f.run.floodShare()
	}
	return 1
}

// pick returns a number below n that depends on the seed alone.
func (f *faults) pick(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// database returns the database that a fault of a group hits.
func (f *faults) database() string { return f.run.config.Deployment.Databases[0] }

// primary returns the target that leads the database now.
func (f *faults) primary() *rosetarget.Target {
	var primary *rosetarget.Target
	term := uint64(0)
	for _, t := range f.run.stack.Clusters[f.database()].Targets() {
		if status := t.Status(); status.LeadsTerm() && status.Term > term {
			primary, term = t, status.Term
		}
	}
	return primary
}

// replicas returns the other targets of the database.
func (f *faults) replicas() []*rosetarget.Target {
	var replicas []*rosetarget.Target
	for _, t := range f.run.stack.Clusters[f.database()].Targets() {
		if t.Status().Role == rosemary.RoleReplica {
			replicas = append(replicas, t)
		}
	}
	slices.SortFunc(replicas, func(a, b *rosetarget.Target) int {
		return slices.Compare([]byte(a.Status().Target), []byte(b.Status().Target))
	})
	return replicas
}

// SplitFaults splits names joined by "+"; a fault whose own name has one goes
// before its parts.
func SplitFaults(text string) []string {
	var names []string
	for name, f := range catalogue {
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
