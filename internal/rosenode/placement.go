package rosenode

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roserelay"
)

const (
	// maxHomes bounds the homes that one statement is passed on to.
	maxHomes = 3
	// visitTime is how long a proxy keeps the targets of a group that it
	// served without being its home.
	visitTime = 10 * time.Second
)

// placement runs tasks on this proxy's own links if it is a home of their
// group, and at a home otherwise.
type placement struct {
	node *Node
}

var _ rosecaller.Executor = placement{}

// Run runs a statement outside a transaction.
func (p placement) Run(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	var last *rosecaller.Result
	for _, home := range p.homes(task) {
		result, delivery := p.node.homes.Run(ctx, home, task)
		if delivery == roserelay.Unanswered {
			result = rosecaller.ConnectionLostResult(task, result.Target, false, false)
		}
		if delivery != roserelay.NotSent && !p.elsewhere(ctx, task, home, result) {
			return result
		}
		if delivery != roserelay.NotSent {
			last = &result
		}
	}
	if last != nil {
		return *last
	}
	return here{p.node}.Run(ctx, task)
}

// Begin opens a transaction with its first statement.
func (p placement) Begin(ctx context.Context, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result) {
	var last *rosecaller.Result
	for _, home := range p.homes(task) {
		transaction, result, delivery := p.node.homes.Begin(ctx, home, task)
		if delivery == roserelay.Unanswered {
			result = rosecaller.ConnectionLostResult(task, result.Target, true, false)
		}
		if transaction != nil || delivery != roserelay.NotSent && !p.elsewhere(ctx, task, home, result) {
			return transaction, result
		}
		if delivery != roserelay.NotSent {
			last = &result
		}
	}
	if last != nil {
		return nil, *last
	}
	return here{p.node}.Begin(ctx, task)
}

// elsewhere reports whether a task that a home has answered may be passed on
// to another: nothing of it is kept, and there is time left.
func (p placement) elsewhere(ctx context.Context, task rosecaller.Task, home rosemary.Member, result rosecaller.Result) bool {
	refusal := result.Refusal
	if refusal == nil || ctx.Err() != nil || !time.Now().Before(task.Deadline) {
		return false
	}
	repeatable := refusal.Outcome == rosemary.OutcomeNotRun || !task.Statement.Writes && task.Statement.Kind != rosemary.StatementCommit
	if !repeatable || !p.node.budget.TryWithdraw() {
		return false
	}
	klog.InfoS("request passed on elsewhere", "request", task.Statement.ID, "group", task.Route.Group, "home", home.Proxy,
		"kind", refusal.Kind, "outcome", refusal.Outcome)
	return true
}

// here runs tasks on this proxy's own links. One that is no home of a task's
// group, or doesn't know yet that it is, gets the group's targets for a while.
type here struct {
	node *Node
}

var _ rosecaller.Executor = here{}

// Run runs a statement outside a transaction.
func (h here) Run(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	h.node.visit(task.Route.Group)
	return h.node.carrier.Run(ctx, task)
}

// Begin opens a transaction with its first statement.
func (h here) Begin(ctx context.Context, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result) {
	h.node.visit(task.Route.Group)
	return h.node.carrier.Begin(ctx, task)
}

// visit keeps the targets of a group that has its homes elsewhere. What this
// proxy knows of them may be old, so the first visit has them read anew.
func (n *Node) visit(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.groups[name]
	if g == nil || g.home {
		return
	}
	first := !g.visited()
	g.visitedTill = time.Now().Add(visitTime)
	if !first {
		return
	}
	klog.InfoS("group served without being its home", "group", name)
	select {
	case n.readTargets <- struct{}{}:
	default:
	}
}

// homes returns the proxies that a task is passed on to.
func (p placement) homes(task rosecaller.Task) []rosemary.Member {
	homes := p.node.RelayHomes(task.Route.Group)
	if len(homes) > 0 {
		p.node.budget.Deposit()
	}
	return homes
}

// RelayHomes returns the proxies that tasks of a group are passed on to, none if
// they are run here: those of this proxy's zone first.
func (n *Node) RelayHomes(group string) []rosemary.Member {
	c := n.configuration.Load()
	if c == nil {
		return nil
	}
	all := n.homesOf(group, c)
	if isHome(n.config.Self.Proxy, all) {
		return nil
	}
	live := make(map[rosemary.ProxyID]bool)
	for _, m := range n.mesh.LiveMembers() {
		live[m.Proxy] = true
	}
	var near, far []rosemary.Member
	for _, m := range all {
		switch {
		case !live[m.Proxy]:
		case m.Zone == n.config.Self.Zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	shuffle(near)
	shuffle(far)
	ordered := append(near, far...)
	return ordered[:min(len(ordered), maxHomes)]
}

func shuffle(members []rosemary.Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}
