package rosenode

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roserelay"
)

const (
	// maxRelayAttempts bounds the home proxies that a task is relayed to.
	maxRelayAttempts = 3
	// temporaryServeTime is how long a proxy keeps the targets of a group after
	// it has run a task without being the group's home.
	temporaryServeTime = 10 * time.Second
)

// placement runs tasks on this proxy's own connections if it is a home of their
// group, and relays them to a home proxy otherwise. If no home proxy can be
// reached, it runs them itself.
type placement struct {
	node *Node
}

var _ rosecaller.Executor = placement{}

// Run runs a statement outside a transaction.
func (p placement) Run(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	var last *rosecaller.Result
	for _, home := range p.relayCandidates(task) {
		result, delivery := p.node.relayClient.Run(ctx, home, task)
		if delivery == roserelay.Unanswered {
			result = rosecaller.ConnectionLostResult(task, result.Target, false, false)
		}
		if delivery != roserelay.NotSent && !p.mayRetryElsewhere(ctx, task, home, result) {
			return result
		}
		if delivery != roserelay.NotSent {
			last = &result
		}
	}
	if last != nil {
		return *last
	}
	return servingExecutor{p.node}.Run(ctx, task)
}

// Begin opens a transaction with its first statement.
func (p placement) Begin(ctx context.Context, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result) {
	var last *rosecaller.Result
	for _, home := range p.relayCandidates(task) {
		transaction, result, delivery := p.node.relayClient.Begin(ctx, home, task)
		if delivery == roserelay.Unanswered {
			result = rosecaller.ConnectionLostResult(task, result.Target, true, false)
		}
		if transaction != nil || delivery != roserelay.NotSent && !p.mayRetryElsewhere(ctx, task, home, result) {
			return transaction, result
		}
		if delivery != roserelay.NotSent {
			last = &result
		}
	}
	if last != nil {
		return nil, *last
	}
	return servingExecutor{p.node}.Begin(ctx, task)
}

// mayRetryElsewhere reports whether a task that a home proxy has refused may be
// relayed to another one: it left no lasting effect, and the deadline and the
// retry budget allow it.
func (p placement) mayRetryElsewhere(ctx context.Context, task rosecaller.Task, home rosemary.Member, result rosecaller.Result) bool {
	refusal := result.Refusal
	if refusal == nil || !homeSpecific(refusal.Kind) || ctx.Err() != nil || !time.Now().Before(task.Deadline) {
		return false
	}
	repeatable := refusal.Outcome == rosemary.OutcomeNotRun || !task.Statement.Writes && task.Statement.Kind != rosemary.StatementCommit
	if !repeatable || !leaving(refusal) && !p.node.retryBudget.TryWithdraw() {
		return false
	}
	klog.InfoS("request passed on elsewhere", "request", task.Statement.ID, "group", task.Route.Group, "home", home.Proxy,
		"kind", refusal.Kind, "outcome", refusal.Outcome)
	return true
}

// homeSpecific reports whether another home may decide otherwise than the one that refused a
// task. Usage caps are those of the whole fleet, and the session itself retries with a newer
// configuration.
func homeSpecific(kind rosemary.RefusalKind) bool {
	return kind != rosemary.KindOutdated && kind != rosemary.KindOverCap
}

// leaving reports whether a home refused a task because it is shutting down. It is one of a
// few at a time and its refusal cost its targets nothing, so the retry budget isn't for it.
func leaving(refusal *rosemary.Refusal) bool {
	return refusal.Kind == rosemary.KindDraining && refusal.Outcome == rosemary.OutcomeNotRun
}

// servingExecutor wraps rosecaller.LocalExecutor, which runs tasks on this proxy's
// own connections. If the proxy isn't a home of the task's group, or doesn't know
// yet that it is, it first starts to serve the group temporarily.
type servingExecutor struct {
	node *Node
}

var _ rosecaller.Executor = servingExecutor{}

// Run runs a statement outside a transaction.
func (e servingExecutor) Run(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	e.node.serveTemporarily(task.Route.Group)
	return e.node.executor.Run(ctx, task)
}

// Begin opens a transaction with its first statement.
func (e servingExecutor) Begin(ctx context.Context, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result) {
	e.node.serveTemporarily(task.Route.Group)
	return e.node.executor.Begin(ctx, task)
}

// serveTemporarily has this proxy serve a group whose homes are other proxies for
// temporaryServeTime. The targets known here may be outdated, so they are read
// again unless the group was already being served.
func (n *Node) serveTemporarily(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.groups[name]
	if g == nil || g.home {
		return
	}
	first := !g.servedTemporarily()
	g.temporaryUntil = time.Now().Add(temporaryServeTime)
	if !first {
		return
	}
	klog.InfoS("group served without being its home", "group", name)
	n.requestTargetsRead()
}

// relayCandidates returns the home proxies to try to relay a task to, then the standbys, and
// adds to the retry budget if there are any homes.
func (p placement) relayCandidates(task rosecaller.Task) []rosemary.Member {
	homes := p.node.RelayHomes(task.Route.Group)
	if len(homes) > 0 {
		p.node.retryBudget.Deposit()
	}
	return append(homes, p.node.liveStandbys(task.Route.Group)...)
}

// RelayHomes returns the live home proxies that tasks of a group are relayed to, in the
// order in which to try them. It returns none if this proxy is a home.
func (n *Node) RelayHomes(group string) []rosemary.Member {
	entry, known := n.homesOf(group)
	if !known || entry.home {
		return nil
	}
	live := n.mesh.FilterLive(entry.relay)
	shuffle(live)
	homes := make([]rosedecision.Home, 0, len(live))
	for _, m := range live {
		sameZone := m.Zone == n.config.Self.Zone
		if !sameZone && n.zonePartitioned.Load() && len(entry.sameZone) > 0 {
			// It can't be reached.
			continue
		}
		homes = append(homes, rosedecision.Home{
			Member: m, SameZone: sameZone, Record: n.relayClient.Record(m), Reserved: entry.few && !isAmong(m.Proxy, entry.settled),
		})
	}
	homes = rosedecision.OrderHomes(homes, time.Now())
	ordered := make([]rosemary.Member, min(len(homes), maxRelayAttempts))
	for i := range ordered {
		ordered[i] = homes[i].Member
	}
	return ordered
}

// liveStandbys returns live standbys of a group in random order, none if this proxy is one: a
// proxy that reaches no home relays to them, so that few proxies serve the group without
// being its homes.
func (n *Node) liveStandbys(group string) []rosemary.Member {
	entry, _ := n.homesOf(group)
	if entry.home || isAmong(n.config.Self.Proxy, entry.standbys) {
		return nil
	}
	live := n.mesh.FilterLive(entry.standbys)
	shuffle(live)
	return live[:min(len(live), maxRelayAttempts)]
}

// reachesGroups reports whether there is a live home to relay to for each group that this
// proxy isn't a home of.
func (n *Node) reachesGroups() bool {
	d := n.directory.Load()
	if d == nil || !d.few() {
		return true
	}
	for name, entry := range d.groups {
		if !entry.home && len(n.RelayHomes(name)) == 0 {
			return false
		}
	}
	return true
}

func shuffle(members []rosemary.Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}
