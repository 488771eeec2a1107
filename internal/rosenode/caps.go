package rosenode

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// capReportBatch is how long a report waits for others to the same host.
	capReportBatch = 2 * time.Millisecond
	// capCheckInterval is how often proxies check whether reports have become due, and whether
	// they are hosts.
	capCheckInterval = 100 * time.Millisecond
	// capReportTimeout bounds the wait for a host's answer.
	capReportTimeout = 60 * time.Millisecond
)

// usageCaps keeps the teams within their usage caps. Operations that run here need tokens from
// the hosts; if this proxy is one, it grants them.
type usageCaps struct {
	node    *Node
	policy  rosecap.Policy
	limiter *rosecap.Limiter

	mu sync.Mutex
	// teams and layout are those that the limiter was given last.
	teams  *roseteam.Directory
	layout rosecap.Layout
	// hosting is whether this proxy is a host, and pool what it grants, nil if it isn't.
	hosting hosting
	pool    *rosecap.Pool
	// busy holds the hosts with a report that isn't answered yet.
	busy map[rosemary.ProxyID]bool
	// reports is set once this proxy runs operations, and is to be linked to hosts.
	reports bool
}

func newUsageCaps(n *Node) *usageCaps {
	c := &usageCaps{node: n, policy: n.config.CapPolicy, busy: make(map[rosemary.ProxyID]bool)}
	if c.policy.Window <= 0 {
		c.policy.Window = rosecap.DefaultWindow
	}
	c.limiter = rosecap.NewLimiter(rosecap.LimiterConfig{Self: n.config.Self, Policy: c.policy, Clock: n.config.Clock})
	return c
}

// TeamShares returns what this proxy has of the teams' usage caps.
func (n *Node) TeamShares() []rosecap.TeamShare { return n.caps.limiter.Shares() }

// followUsageCaps reports to the hosts until ctx ends. It sleeps while the configuration has
// no teams.
func (n *Node) followUsageCaps(ctx context.Context) {
	ticker := time.NewTicker(capCheckInterval)
	defer ticker.Stop()
	ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.caps.limiter.Due():
			roseclock.Sleep(ctx, capReportBatch)
		case <-ticker.C:
			n.caps.followHosts(ctx)
		}
		teams, changed := n.caps.update()
		if changed && teams {
			ticker.Reset(capCheckInterval)
		} else if changed {
			ticker.Stop()
		}
		if teams {
			n.caps.report(ctx)
		}
	}
}

// update follows the configuration and the hosts. It reports whether there are teams, and
// whether that has changed.
func (c *usageCaps) update() (teams, changed bool) {
	configuration, directory := c.node.configuration.Load(), c.node.directory.Load()
	if configuration == nil || directory == nil {
		return false, false
	}
	relink := false
	defer func() {
		if relink {
			c.node.linkCompanions(directory)
		}
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.teams
	if configuration.Teams == nil && former == nil {
		return false, false
	}
	layout := newCapLayout(c.node.locks.UsageHosts())
	if former == configuration.Teams && layout.Equal(c.layout) {
		return c.teams != nil, false
	}
	relink = !layout.Equal(c.layout)
	c.teams, c.layout = configuration.Teams, layout
	c.limiter.SetTeams(c.teams, c.layout)
	if c.pool != nil && c.teams != nil {
		c.pool.SetTeams(c.node.config.Clock.Now(), c.teams, c.layout)
	}
	if former != c.teams {
		logCapChanges(former, c.teams)
		c.node.metrics.trackOverCap(c.teams, c.limiter)
	}
	return c.teams != nil, (former == nil) != (c.teams == nil)
}

// logCapChanges logs the caps that differ between two versions of the teams.
func logCapChanges(former, next *roseteam.Directory) {
	if former == nil || next == nil {
		return
	}
	for _, t := range next.Teams() {
		before, known := former.ByName(t.Name)
		if known && t.Cap != nil && before.Cap != nil && *t.Cap != *before.Cap {
			klog.InfoS("usage cap changed", "team", t.Name, "version", next.Version(), "rate", t.Cap.Rate, "burst", t.Cap.Burst,
				"fromRate", before.Cap.Rate, "fromBurst", before.Cap.Burst)
		}
	}
}

// report sends the reports that are due.
func (c *usageCaps) report(ctx context.Context) {
	c.mu.Lock()
	reports := c.limiter.Pending(func(host rosemary.ProxyID) bool { return c.busy[host] })
	for _, r := range reports {
		c.busy[r.Host] = true
	}
	first := !c.reports && len(reports) > 0
	c.reports = c.reports || first
	c.mu.Unlock()
	if first {
		c.node.linkCompanions(c.node.directory.Load())
	}
	for _, pending := range reports {
		if c.exchangeHere(pending) {
			continue
		}
		c.node.goroutines.Go(func() { c.exchange(ctx, pending) })
	}
}

// exchangeHere answers a report that needs no message: to this proxy itself, or to one that
// it isn't linked to.
func (c *usageCaps) exchangeHere(pending rosecap.PendingReport) bool {
	if pending.Host == c.node.config.Self.Proxy {
		grants, _ := c.grant(pending.Teams)
		c.conclude(pending, grants)
		return true
	}
	if !slices.Contains(c.node.mesh.LinkedPeers(), pending.Host) {
		c.free(pending.Host)
		c.limiter.Unreachable(pending)
		return true
	}
	return false
}

// exchange sends a report to a host and applies the answer.
func (c *usageCaps) exchange(ctx context.Context, pending rosecap.PendingReport) {
	ctx, cancel := context.WithTimeout(ctx, capReportTimeout)
	defer cancel()
	reply, answered := c.node.mesh.Query(ctx, pending.Host, encodeCapReport(pending))
	if !answered || !reply.Known {
		c.conclude(pending, nil)
		return
	}
	c.conclude(pending, decodeCapGrants(reply.Caps))
}

// conclude applies the answer to a report, nil for none.
func (c *usageCaps) conclude(pending rosecap.PendingReport, grants []int) {
	c.free(pending.Host)
	if grants == nil {
		c.limiter.Unanswered(pending)
		return
	}
	c.limiter.Receive(pending, grants)
}

// free allows the next report to a host.
func (c *usageCaps) free(host rosemary.ProxyID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, host)
}

// grant answers a report if this proxy is a host.
func (c *usageCaps) grant(report []rosecap.TeamReport) (grants []int, hosts bool) {
	now := c.node.config.Clock.Now()
	c.mu.Lock()
	pool := c.pool
	if c.hosting.stoodStill(now) {
		pool = nil
	}
	c.mu.Unlock()
	if pool == nil {
		return nil, false
	}
	return pool.Grant(now, report), true
}

// answerCaps answers a peer's report.
func (n *Node) answerCaps(question rosewire.Question) rosewire.Reply {
	report := make([]rosecap.TeamReport, len(question.Caps))
	for i, r := range question.Caps {
		report[i] = rosecap.TeamReport{Team: r.Team, Want: int(min(r.Want, math.MaxInt32))}
	}
	grants, hosts := n.caps.grant(report)
	reply := rosewire.Reply{Yes: hosts, Known: hosts}
	for _, g := range grants {
		reply.Caps = append(reply.Caps, uint64(g))
	}
	return reply
}

// linkCompanions links this proxy to the companions in the directory and, if it runs
// operations of teams with caps, to hosts of those.
func (n *Node) linkCompanions(d *directory) {
	n.mesh.SetCompanions(n.caps.withHosts(d.companions))
	n.caps.limiter.Wake()
}

// withHosts returns companions, which are sorted, with the hosts that this proxy asks.
func (c *usageCaps) withHosts(companions []rosemary.ProxyID) []rosemary.ProxyID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.teams == nil || !c.reports {
		return companions
	}
	self := c.node.config.Self
	all := slices.Concat(companions, c.layout.Hosts(self))
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(id rosemary.ProxyID) bool { return id == self.Proxy })
}

func encodeCapReport(pending rosecap.PendingReport) rosewire.Question {
	question := rosewire.Question{About: rosepeer.AboutCaps}
	for _, t := range pending.Teams {
		question.Caps = append(question.Caps, rosewire.CapReport{Team: t.Team, Want: uint64(t.Want)})
	}
	return question
}

func decodeCapGrants(caps []uint64) []int {
	grants := make([]int, len(caps))
	for i, c := range caps {
		grants[i] = int(min(c, math.MaxInt32))
	}
	return grants
}
