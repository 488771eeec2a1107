// Package rosenode runs a proxy that finds its targets, its configuration and
// the other proxies in the platform's metadata store. A proxy holds connections
// to the targets of its home groups, and relays requests for other groups to the
// home proxies of those.
package rosenode

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/roserelay"
	"github.com/rosemarywell/rosemarywell/pkg/rosesupervisor"
)

// Config configures a Node.
type Config struct {
	Self rosemary.Member
	// Incarnation differs for each start of this proxy.
	Incarnation string
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// LeavingTime is how long after its report a leaving target may get new work;
	// rosefleet.DefaultLeavingTime if zero.
	LeavingTime time.Duration
	// ConfigurationTime is the time in which a change of the configuration has to be in
	// force; DefaultConfigurationTime if zero.
	ConfigurationTime time.Duration
	// CapPolicy is how far teams may exceed their usage caps.
	CapPolicy      rosecap.Policy
	Store          rosemary.MetadataStore
	Targets        rosemary.TargetSource
	Configurations rosemary.ConfigurationSource
	Promoter       rosemary.Promoter
	TargetDialer   rosemary.TargetDialer
	// PeerDialer connects to other proxies.
	PeerDialer rosemary.Dialer
	// Clock has to advance while the VM is suspended.
	Clock roseclock.Clock
	// Omit leaves out mechanisms, to measure what they are worth.
	Omit Omissions
	// OnZonePartitioned is called when this proxy's zone is cut off from the
	// other availability zones, and when it no longer is. It must not block, and
	// may be nil.
	OnZonePartitioned func(partitioned bool)
}

// Omissions are mechanisms that tests and experiments leave out.
type Omissions struct {
	// Guarantees of lock holders keep primary leases valid.
	Guarantees bool
	// Pieces of a configuration are passed on, not whole texts, as by builds before.
	Pieces bool
}

// keyPrefix is put before this product's keys in the store.
const keyPrefix = "Rosemarywell/"

// Node is a proxy on the platform. Its methods may be called concurrently.
type Node struct {
	config      Config
	locks       *rosesupervisor.LockManager
	retryBudget *roseadmit.RetryBudget
	mesh        *rosepeer.Mesh
	executor    *rosecaller.LocalExecutor
	relayServer *roserelay.Server
	relayClient *roserelay.Client
	metrics     *Metrics
	caps        *usageCaps
	startedAt   time.Time
	transfer    *transfer
	// awaitingNewer is set while this proxy waits for a version that another one has named.
	awaitingNewer atomic.Bool
	// newsOutdated is set while the configuration may not be the newest.
	newsOutdated atomic.Bool
	// readTargetsNow makes followTargets read the targets at once.
	readTargetsNow chan struct{}
	// targetSetsKnown is set once this proxy knows the groups' target sets.
	targetSetsKnown atomic.Bool
	// isolated is whether isIsolated was last seen to hold, for the logs.
	isolated atomic.Bool
	// zonePartitioned is set while this proxy's zone is cut off from the others.
	zonePartitioned atomic.Bool
	// zoneSuspected is set when a peer of the zone has lost targets, or a source of
	// statuses doesn't answer.
	zoneSuspected atomic.Bool
	// zoneLostAt is when another proxy of the zone last told that it has lost the other
	// zones, in nanoseconds of Config.Clock.
	zoneLostAt atomic.Int64

	// applying is held while a configuration is compared with the one in force and
	// replaces it.
	applying      sync.Mutex
	configuration atomic.Pointer[rosemary.Configuration]
	directory     atomic.Pointer[directory]
	draining      atomic.Bool

	mu     sync.Mutex
	groups map[string]*group
	// roster is which members count for homes, and rosterAt when it was last brought up to date.
	roster        rosedecision.Roster
	rosterAt      time.Time
	registrations []rosemary.TargetRegistration
	targetsLoaded bool
	// targetsReadAt is when the read of registrations was sent.
	targetsReadAt time.Time
	// configurationAt is when the configuration in force was last known to be the newest.
	configurationAt time.Time
	named           namedVersion
	// context is the context of Run, nil before Run.
	context    context.Context
	goroutines sync.WaitGroup
}

// group is a group of targets with the replacer of its primary. Every proxy has
// one for each configured group, but without targets unless it serves the group.
type group struct {
	*rosefleet.Group
	replacer *rosesupervisor.Replacer
	cancel   context.CancelFunc
	// home is set while this proxy is a home proxy of the group. Otherwise it
	// serves the group only until temporaryUntil. Both are guarded by the node's
	// lock.
	home           bool
	temporaryUntil time.Time
	// handover is what this proxy may use of the targets' connections, guarded likewise.
	handover rosedecision.Handover
}

// servedTemporarily reports whether this proxy may serve the group without being
// its home.
func (g *group) servedTemporarily() bool { return time.Now().Before(g.temporaryUntil) }

var (
	_ rosecaller.ConfigProvider = (*Node)(nil)
	_ rosecaller.Observer       = (*Node)(nil)
)

// New returns a node; Run starts it.
func New(config Config) *Node {
	if config.ConfigurationTime == 0 {
		config.ConfigurationTime = DefaultConfigurationTime
	}
	if config.OnZonePartitioned == nil {
		config.OnZonePartitioned = func(bool) {}
	}
	n := &Node{
		config:      config,
		retryBudget: roseadmit.NewRetryBudget(),
		metrics:     NewMetrics(),
		startedAt:   time.Now(),
		groups:      make(map[string]*group),

		transfer:       newTransfer(),
		readTargetsNow: make(chan struct{}, 1),
	}
	n.metrics.trackTargetsAge(n.targetsAge)
	n.metrics.trackConfigurationAge(n.configurationAge, n.newsOutdated.Load)
	n.caps = newUsageCaps(n)
	n.mesh = n.newMesh()
	n.metrics.trackUnusedBytes(func() uint64 { return n.mesh.SentTraffic().UnusedBytes })
	n.executor = rosecaller.NewLocalExecutor(rosecaller.LocalExecutorConfig{Group: n.Group, RetryBudget: n.retryBudget, Usage: n.caps.limiter, TeamPriority: n.teamPriority})
	if config.Clock != nil {
		n.roster = rosedecision.NewRoster(config.Self, config.FirstStart, config.Clock.Now())
	}
	n.relayServer = roserelay.NewServer(roserelay.ServerConfig{Executor: servingExecutor{n}, CheckTeam: n.checkTeam, OnSettled: n.observeSettled, Wait: n.connectionWait})
	n.relayClient = roserelay.NewClient(roserelay.ClientConfig{Dialer: config.PeerDialer, OnOutdated: n.fetchFromHome, Settled: n.longSettled})
	n.locks = rosesupervisor.NewLockManager(rosesupervisor.LockManagerConfig{
		Store:          config.Store,
		Clock:          config.Clock,
		Self:           config.Self,
		Incarnation:    config.Incarnation,
		FirstStart:     config.FirstStart,
		Prefix:         keyPrefix,
		Groups:         n.homeGroups,
		Contenders:     n.homesAmong,
		Peers:          n.peers(),
		PrimaryZone:    n.primaryZone,
		PrimaryMissing: n.primaryMissing,
		PrimaryAnswers: n.primaryAnswers,
		OnTargetSet:    n.adoptTargetSet,
		OnRestore:      n.metrics.countStoreRestore,
	})
	return n
}

// peers returns the requests to the other proxies.
func (n *Node) peers() peers {
	return peers{n.mesh, n.config.Self.Proxy, n.config.PeerDialer, func(group string) []rosemary.Member {
		entry, _ := n.homesOf(group)
		return entry.homes
	}}
}

// Run follows the store and the other proxies until ctx ends, and then closes
// the groups.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.context = ctx
	n.mu.Unlock()
	var loops errgroup.Group
	for _, loop := range []func(context.Context){n.followConfiguration, n.followTargets, n.followPeerTargets, n.followReaders, n.fetchNamed, n.followMembers, n.watchConfigurationAge, n.pollStatuses, n.pollGuarantees, n.followUsageCaps, n.watchZonePartition, n.mesh.Run, n.locks.Run} {
		loops.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	_ = loops.Wait()
	n.mu.Lock()
	groups := n.groups
	n.groups = make(map[string]*group)
	n.mu.Unlock()
	for _, g := range groups {
		g.cancel()
	}
	n.goroutines.Wait()
	n.relayClient.Close()
	n.relayServer.Close()
	for _, g := range groups {
		g.Close()
	}
}

// primaryMissing reports whether a home group of this proxy has no valid primary.
func (n *Node) primaryMissing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.groups {
		if g.home && !g.PrimaryValid() {
			return true
		}
	}
	return false
}

// primaryZone returns the availability zone of a group's primary and when this
// proxy learned of the primary.
func (n *Node) primaryZone(name string) (rosemary.Zone, time.Time) {
	g, found := n.Group(name)
	if !found {
		return "", time.Time{}
	}
	view := g.View()
	if !view.HasPrimaryTarget {
		return "", time.Time{}
	}
	return view.PrimaryTarget.Zone, view.PrimarySince
}

// primaryAnswers reports whether a group's primary is valid and answers this proxy.
func (n *Node) primaryAnswers(name string) bool {
	g, found := n.Group(name)
	if !found {
		return false
	}
	view := g.View()
	return view.PrimaryValid && view.HasPrimaryTarget && view.PrimaryTarget.UnreachableFor == 0
}

// runContext returns the context of Run, or a canceled one before Run.
func (n *Node) runContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.context != nil {
		return n.context
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	return canceled
}

// homeGroups returns the names of the groups that this proxy is a home proxy of.
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

// Route returns the route of a database in the configuration in force.
func (n *Node) Route(database string) (rosemary.Route, bool) {
	configuration := n.configuration.Load()
	if configuration == nil {
		return rosemary.Route{}, false
	}
	route, found := configuration.Routes[database]
	return route, found
}

// Group returns the group with that name.
func (n *Node) Group(name string) (*rosefleet.Group, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.groups[name]
	if g == nil {
		return nil, false
	}
	return g.Group, true
}

// defaultTransactionIdleTimeout applies unless the configuration sets another.
const defaultTransactionIdleTimeout = 10 * time.Second

// TransactionIdleTimeout is how long a transaction may be idle.
func (n *Node) TransactionIdleTimeout() time.Duration {
	if configuration := n.configuration.Load(); configuration != nil && configuration.TransactionIdleTimeout > 0 {
		return configuration.TransactionIdleTimeout
	}
	return defaultTransactionIdleTimeout
}

// Served counts and logs a successful answer.
func (n *Node) Served(task rosecaller.Task, result rosecaller.Result, took time.Duration) {
	n.metrics.observeStatement(task.Route.Class.Name, task.Statement.Kind, result.Primary, took)
	n.metrics.countTeamRequest(task.Team, outcomeServed)
	if objective := task.Route.LatencyObjective; objective > 0 && took > objective {
		n.logLate(task, result, took)
		return
	}
	klog.InfoS("request served", "request", task.Statement.ID, "database", task.Route.Database, "group", task.Route.Group,
		"kind", task.Statement.Kind, "target", result.Target, "primary", result.Primary, "us", took.Microseconds())
}

// logLate logs an answer after its objective with where the time went.
func (n *Node) logLate(task rosecaller.Task, result rosecaller.Result, took time.Duration) {
	spent := result.Spent
	klog.InfoS("request served", "request", task.Statement.ID, "database", task.Route.Database, "group", task.Route.Group,
		"kind", task.Statement.Kind, "target", result.Target, "primary", result.Primary, "us", took.Microseconds(),
		"late", true, "class", task.Route.Class.Name, "zone", n.config.Self.Zone, "team", task.Team, "tries", spent.Tries,
		"targetWaitUs", spent.TargetWait.Microseconds(), "connWaitUs", spent.ConnWait.Microseconds(),
		"failedUs", spent.Failed.Microseconds(), "targetUs", spent.Target.Microseconds())
}

// Refused counts and logs a refusal.
func (n *Node) Refused(request rosecaller.RefusedRequest) {
	refusal := request.Refusal
	n.metrics.countRefusal(refusal)
	n.metrics.countTeamRequest(request.Team, teamOutcome(refusal))
	version := int64(0)
	if configuration := n.configuration.Load(); configuration != nil {
		version = configuration.Version
	}
	route, _ := n.Route(request.Database)
	klog.InfoS("request refused", "request", request.ID, "database", request.Database, "group", route.Group, "team", request.Team,
		"class", route.Class.Name, "zone", n.config.Self.Zone, "kind", refusal.Kind, "outcome", refusal.Outcome, "target", request.Target, "us", request.Took.Microseconds(),
		"configuration", version, "retryAfterMs", refusal.RetryAfter.Milliseconds(), "message", refusal.Message)
}

// maxPrimaryWait is how long after its start a proxy waits for the primaries of
// its home groups before it accepts clients without them.
const maxPrimaryWait = 4 * time.Second

// Ready reports whether the load balancer should send new clients to this proxy.
func (n *Node) Ready() bool {
	if n.draining.Load() || n.zonePartitioned.Load() || n.configuration.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.targetsLoaded {
		return false
	}
	if time.Since(n.startedAt) > maxPrimaryWait {
		return true
	}
	for _, g := range n.groups {
		if g.home && !g.PrimaryValid() {
			return false
		}
	}
	return n.reachesGroups()
}

// BeginDrain makes the proxy not ready, so that the load balancer sends new
// clients elsewhere, and leaves the mesh of proxies.
func (n *Node) BeginDrain() {
	n.draining.Store(true)
	n.mesh.Leave()
}

// DrainRelayed sets the deadlines for tasks and transactions that other proxies
// relay to this one.
func (n *Node) DrainRelayed(drain rosecaller.DrainDeadlines) { n.relayServer.SetDrainDeadlines(drain) }

// WaitRelayed blocks until no relayed task or transaction of other proxies is
// left, or until ctx ends.
func (n *Node) WaitRelayed(ctx context.Context) { n.relayServer.Wait(ctx) }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *Metrics { return n.metrics }

// ReadsStore reports whether this proxy reads targets and configuration for the others.
func (n *Node) ReadsStore() bool { return n.readsForOthers() }

// AskedReaders returns the proxies that this one asks for what they know of the store.
func (n *Node) AskedReaders() []rosemary.ProxyID { return n.askedReaders() }

// TargetUses returns the use of the targets that this proxy is connected to, in the order of
// their groups and IDs.
func (n *Node) TargetUses() []rosefleet.TargetUse {
	uses := []rosefleet.TargetUse{}
	for _, name := range n.groupNames() {
		if g, found := n.Group(name); found {
			uses = append(uses, g.Uses()...)
		}
	}
	slices.SortFunc(uses, func(a, b rosefleet.TargetUse) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Target, b.Target))
	})
	return uses
}

// HoldsLock reports whether this proxy holds the failover lock of a group.
func (n *Node) HoldsLock(group string) bool {
	_, _, holds := n.locks.Holds(group)
	return holds
}

// LinkTraffic returns the number of other proxies that this one is linked to, and the
// traffic sent to them so far.
func (n *Node) LinkTraffic() (int, rosepeer.Traffic) {
	return len(n.mesh.LinkedPeers()), n.mesh.SentTraffic()
}

// Zone returns the availability zone that the proxy runs in.
func (n *Node) Zone() rosemary.Zone { return n.config.Self.Zone }
