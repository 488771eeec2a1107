// Package rosenode puts together a proxy whose targets, configuration and
// peers are all found in the platform's store.
package rosenode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/roserelay"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
)

// Config sets up a Node.
type Config struct {
	Self rosemary.Member
	// Incarnation tells the starts of this proxy apart.
	Incarnation    string
	Store          rosemary.MetadataStore
	Targets        rosemary.TargetSource
	Configurations rosemary.ConfigurationSource
	Promoter       rosemary.Promoter
	TargetDialer   rosemary.TargetDialer
	// Dialer reaches the other proxies.
	PeerDialer rosemary.Dialer
	// Clock counts suspended time.
	Clock roseclock.Clock
	// OnCut is told when this proxy's zone is cut off from the others, and
	// when it no longer is. It must not block; nil is told nothing.
	OnZonePartitioned func(cut bool)
}

// keyPrefix is put before this product's keys in the store.
const keyPrefix = "Rosemarywell/"

// Node is one proxy. Its methods may be called concurrently.
type Node struct {
	config  Config
	duty    *rosesupervisor.LockManager
	budget  *roseadmit.RetryBudget
	mesh    *rosepeer.Mesh
	carrier *rosecaller.LocalExecutor
	relays  *roserelay.Server
	homes   *roserelay.Client
	metrics *Metrics
	started time.Time
	pulling atomic.Bool
	// readTargets asks for the targets at once.
	readTargets chan struct{}
	// isolated is set while neither the store nor a peer hears this proxy.
	isolated atomic.Bool
	// cut is set while this proxy's zone is cut off from the others.
	cut atomic.Bool

	configuration atomic.Pointer[rosemary.Configuration]
	draining      atomic.Bool

	mu       sync.Mutex
	groups   map[string]*group
	listings []rosemary.TargetRegistration
	listed   bool
	context  context.Context
	tasks    sync.WaitGroup
}

// group is one group with the task that replaces its primary.
type group struct {
	*rosefleet.Group
	replacer *rosesupervisor.Replacer
	cancel   context.CancelFunc
	// home is set while this proxy is one of the group's, and visitedTill is
	// until when it keeps targets to serve the group without being one. Both
	// are under the node's lock.
	home        bool
	visitedTill time.Time
}

// visited reports whether the group is served here without being at home.
func (g *group) visited() bool { return time.Now().Before(g.visitedTill) }

var (
	_ rosecaller.Directory = (*Node)(nil)
	_ rosecaller.Observer  = (*Node)(nil)
)

// New returns a node; Run starts it.
func New(config Config) *Node {
	if config.OnZonePartitioned == nil {
		config.OnZonePartitioned = func(bool) {}
	}
	n := &Node{
		config:  config,
		budget:  roseadmit.NewRetryBudget(),
		metrics: NewMetrics(),
		started: time.Now(),
		groups:  make(map[string]*group),

		readTargets: make(chan struct{}, 1),
	}
	n.mesh = n.newMesh()
	n.carrier = rosecaller.NewLocalExecutor(rosecaller.LocalExecutorConfig{Group: n.Group, RetryBudget: n.budget})
	n.relays = roserelay.NewServer(roserelay.ServerConfig{Executor: here{n}})
	n.homes = roserelay.NewClient(roserelay.ClientConfig{Dialer: config.PeerDialer})
	n.duty = rosesupervisor.NewLockManager(rosesupervisor.LockManagerConfig{
		Store:          config.Store,
		Clock:          config.Clock,
		Self:           config.Self,
		Incarnation:    config.Incarnation,
		Prefix:         keyPrefix,
		Groups:         n.homeGroups,
		Peers:          peers{n.mesh},
		PrimaryZone:    n.primaryZone,
		PrimaryMissing: n.lacksPrimary,
	})
	return n
}

// Run keeps the node's knowledge up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.context = ctx
	n.mu.Unlock()
	var tasks errgroup.Group
	for _, task := range []func(context.Context){n.followConfiguration, n.followTargets, n.followPeers, n.followFacts, n.watchCut, n.mesh.Run, n.duty.Run} {
		tasks.Go(func() error {
			task(ctx)
			return nil
		})
	}
	_ = tasks.Wait()
	n.mu.Lock()
	groups := n.groups
	n.groups = make(map[string]*group)
	n.mu.Unlock()
	for _, g := range groups {
		g.cancel()
	}
	n.tasks.Wait()
	n.homes.Close()
	n.relays.Close()
	for _, g := range groups {
		g.Close()
	}
}

// lacksPrimary reports whether a group has no certain primary.
func (n *Node) lacksPrimary() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		if g.home && !g.PrimaryValid() {
			return true
		}
	}
	return false
}

// primaryZone names the zone of a group's primary and since when it leads.
func (n *Node) primaryZone(name string) (rosemary.Zone, time.Time) {
	g, found := n.Group(name)
	if !found {
		return "", time.Time{}
	}
	view := g.View()
	if !view.HasPrimaryView {
		return "", time.Time{}
	}
	return view.PrimaryView.Zone, view.PrimarySince
}

// runContext is the context of Run, or one that has ended before and after.
func (n *Node) runContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.context != nil {
		return n.context
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return ended
}

// homeGroups names the groups that this proxy is a home of.
func (n *Node) homeGroups() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name, g := range n.groups {
		if g.home {
			names = append(names, name)
		}
	}
	return names
}

func (n *Node) groupNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name := range n.groups {
		names = append(names, name)
	}
	return names
}

// Open returns a session on a database.
func (n *Node) Open(database string) (*rosecaller.Session, *rosemary.Refusal) {
	if _, found := n.Route(database); !found {
		refusal := &rosemary.Refusal{
			Kind: rosemary.KindUnknownDatabase, Outcome: rosemary.OutcomeNotRun,
			Message: "there is no such database", Remedy: "look at the configuration in force",
		}
		n.Refused(database, "", refusal, "", 0)
		return nil, refusal
	}
	return rosecaller.New(rosecaller.Config{Directory: n, Database: database, Executor: placement{n}, Observer: n}), nil
}

// Route returns the route of a database in the configuration in force.
func (n *Node) Route(database string) (rosemary.Route, bool) {
	c := n.configuration.Load()
	if c == nil {
		return rosemary.Route{}, false
	}
	route, found := c.Routes[database]
	return route, found
}

// Group returns the targets of a group.
func (n *Node) Group(name string) (*rosefleet.Group, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.groups[name]
	if g == nil {
		return nil, false
	}
	return g.Group, true
}

// defaultTransactionIdle holds before a configuration says otherwise.
const defaultTransactionIdle = 10 * time.Second

// TransactionIdleTimeout is how long a transaction may rest.
func (n *Node) TransactionIdleTimeout() time.Duration {
	if c := n.configuration.Load(); c != nil && c.TransactionIdleTimeout > 0 {
		return c.TransactionIdleTimeout
	}
	return defaultTransactionIdle
}

// Served counts and logs an answer.
func (n *Node) Served(task rosecaller.Task, result rosecaller.Result, took time.Duration) {
	n.metrics.served(task.Route.Class.Name, task.Statement.Kind, result.Primary, took)
	klog.InfoS("request served", "request", task.Statement.ID, "database", task.Route.Database, "group", task.Route.Group,
		"kind", task.Statement.Kind, "target", result.Target, "primary", result.Primary, "us", took.Microseconds())
}

// Refused counts and logs a refusal.
func (n *Node) Refused(database, id string, refusal *rosemary.Refusal, target rosemary.TargetID, took time.Duration) {
	n.metrics.refused(refusal)
	version := int64(0)
	if c := n.configuration.Load(); c != nil {
		version = c.Version
	}
	route, _ := n.Route(database)
	klog.InfoS("request refused", "request", id, "database", database, "group", route.Group, "kind", refusal.Kind, "outcome", refusal.Outcome,
		"target", target, "us", took.Microseconds(), "configuration", version, "retryAfterMs", refusal.RetryAfter.Milliseconds(), "message", refusal.Message)
}

// readyAfter is how long a proxy waits for every group's primary before it
// takes callers without.
const readyAfter = 4 * time.Second

// Ready reports whether the proxy should get new callers.
func (n *Node) Ready() bool {
	if n.draining.Load() || n.cut.Load() || n.configuration.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.listed {
		return false
	}
	if time.Since(n.started) > readyAfter {
		return true
	}
	for _, g := range n.groups {
		if g.home && !g.PrimaryValid() {
			return false
		}
	}
	return true
}

// BeginDrain takes the proxy out of the balancer's rotation.
func (n *Node) BeginDrain() {
	n.draining.Store(true)
	n.mesh.Leave()
}

// SetDrain ends the transactions that other proxies have open here.
func (n *Node) SetDrain(drain rosecaller.DrainDeadlines) { n.relays.SetDrain(drain) }

// WaitRelayed returns once nothing is under way here for other proxies, or ctx ends.
func (n *Node) WaitRelayed(ctx context.Context) { n.relays.Wait(ctx) }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *Metrics { return n.metrics }

// Zone is the availability zone that the proxy runs in.
func (n *Node) Zone() rosemary.Zone { return n.config.Self.Zone }
