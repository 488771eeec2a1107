package rosenode

import (
	"context"
	"maps"
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
	// capReportBatch is how long a report waits for others to the same lender.
	capReportBatch = 15 * time.Millisecond
	// capCheckInterval is how often holders check whether reports have become due.
	capCheckInterval = 100 * time.Millisecond
	// capReportTimeout bounds the wait for a lender's answer.
	capReportTimeout = 300 * time.Millisecond
	// groupsSettleTime is how long after a change of the groups lenders grant nothing, as teams
	// may have other lenders by an older configuration.
	groupsSettleTime = 5 * time.Second
	// maxHoldersTime is how long a proxy that is no longer known as a home counts as one.
	maxHoldersTime = time.Minute
	// homesCheckInterval is how often the homes are counted without a change.
	homesCheckInterval = time.Second
	// restartTime is for how long after its start a proxy takes it that others have counted it
	// as a home since before.
	restartTime = 15 * time.Second
)

// usageCaps keeps the teams within their usage caps. Settled homes have even parts of the caps;
// the holder of the lock of a group lends the rest.
type usageCaps struct {
	node    *Node
	policy  rosecap.Policy
	limiter *rosecap.Limiter

	mu sync.Mutex
	// directory and teams are what the fields below were worked out from.
	directory *directory
	teams     *roseteam.Directory
	// holders are the settled homes, groups the names of the groups.
	holders rosecap.Holders
	groups  []string
	// lastHomes are the homes of the last maxHoldersTime, as of checkedAt.
	lastHomes map[rosemary.ProxyID]lastHome
	checkedAt time.Time
	// countedSince is since when this proxy counts as a holder.
	countedSince time.Time
	// groupsAt is when groups last changed.
	groupsAt time.Time
	// lenders maps the groups whose locks this proxy holds to what it lends.
	lenders map[string]*groupLender
	// lentBy maps each group to the proxy that answered its last report, or to none if that
	// wasn't answered. busy holds the groups with a report that isn't answered yet.
	lentBy map[string]rosemary.ProxyID
	busy   map[string]bool
	// reports is set once this proxy has reported to a lender, and is to be linked to all.
	reports bool
}

// groupLender is the lender of the teams of a group under one claim of its lock.
type groupLender struct {
	*rosecap.Lender
	generation int64
}

func newUsageCaps(n *Node) *usageCaps {
	c := &usageCaps{
		node: n, policy: n.config.CapPolicy, lastHomes: make(map[rosemary.ProxyID]lastHome),
		lenders: make(map[string]*groupLender), lentBy: make(map[string]rosemary.ProxyID), busy: make(map[string]bool),
	}
	if c.policy.Window <= 0 {
		c.policy.Window = rosecap.DefaultWindow
	}
	c.limiter = rosecap.NewLimiter(rosecap.LimiterConfig{Policy: c.policy, Clock: n.config.Clock})
	return c
}

// TeamShares returns what this proxy holds of the teams' usage caps.
func (n *Node) TeamShares() []rosecap.TeamShare { return n.caps.limiter.Shares() }

// followUsageCaps reports to the lenders until ctx ends. It sleeps while the configuration
// has no teams.
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

// update follows the configuration and the homes. It reports whether there are teams, and
// whether that has changed.
func (c *usageCaps) update() (teams, changed bool) {
	configuration, directory := c.node.configuration.Load(), c.node.directory.Load()
	if configuration == nil || directory == nil || configuration.Teams == nil && c.teams == nil {
		return false, false
	}
	now := c.node.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.teams
	c.teams = configuration.Teams
	if former != c.teams {
		logCapChanges(former, c.teams)
	}
	outdated := former != c.teams
	if c.directory != directory || now.Sub(c.checkedAt) > homesCheckInterval {
		c.directory, c.checkedAt = directory, now
		groupsChanged := c.setGroups(now, slices.Sorted(maps.Keys(directory.groups)))
		homesChanged := c.setHomes(now, directory)
		outdated = outdated || groupsChanged || homesChanged
	}
	if outdated {
		groups := c.groups
		c.limiter.SetTeams(rosecap.LimiterTeams{
			Teams: c.teams, Holders: c.holders, CountedSince: c.countedSince,
			Lender: func(team string) string { return rosepeer.RendezvousChoice(team, groups) },
		})
	}
	if former != c.teams {
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

// setGroups records the configured groups, and reports whether they have changed. The caller
// holds the lock.
func (c *usageCaps) setGroups(now time.Time, groups []string) bool {
	if slices.Equal(groups, c.groups) {
		return false
	}
	if c.groups != nil {
		// Teams may have had other lenders until now.
		c.groupsAt = now
	}
	c.groups = groups
	return true
}

// lastHome is the weight of a home, and when it was last known as one.
type lastHome struct {
	weight int
	at     time.Time
}

// setHomes records the settled homes of all groups. Those of the last maxHoldersTime count, as
// they may not have noticed, or be cut off. It reports whether what counts has changed. The
// caller holds the lock.
func (c *usageCaps) setHomes(now time.Time, d *directory) bool {
	weights := make(map[rosemary.ProxyID]int)
	for name, entry := range d.groups {
		if d.slots[name] == 0 {
			// Before its targets are known a group seems to have more homes.
			continue
		}
		// Those that are homes for a moment do with tokens of the lender.
		homes := entry.settled
		if !entry.few {
			homes = entry.homes
		}
		for _, m := range homes {
			weights[m.Proxy]++
		}
	}
	for id, weight := range weights {
		c.lastHomes[id] = lastHome{weight, now}
	}
	maps.DeleteFunc(c.lastHomes, func(_ rosemary.ProxyID, h lastHome) bool { return now.Sub(h.at) > maxHoldersTime })
	holders := rosecap.Holders{Own: weights[c.node.config.Self.Proxy]}
	for _, h := range c.lastHomes {
		holders.All = append(holders.All, h.weight)
	}
	slices.Sort(holders.All)
	if holders.Own == c.holders.Own && slices.Equal(holders.All, c.holders.All) {
		return false
	}
	if holders.Own > c.holders.Own {
		c.countedSince = now
		if running := time.Since(c.node.startedAt); running < restartTime {
			// The others have counted it since before its restart.
			c.countedSince = now.Add(-running)
		}
	}
	c.holders = holders
	return true
}

// report sends the reports that are due.
func (c *usageCaps) report(ctx context.Context) {
	c.mu.Lock()
	busy, first := maps.Clone(c.busy), !c.reports
	c.mu.Unlock()
	reports := c.limiter.Pending(func(group string) bool { return busy[group] })
	if first && len(reports) > 0 {
		c.mu.Lock()
		c.reports = true
		c.mu.Unlock()
		c.node.linkCompanions(c.node.directory.Load())
	}
	for _, pending := range reports {
		c.mu.Lock()
		c.busy[pending.Group] = true
		c.mu.Unlock()
		c.node.goroutines.Go(func() {
			c.exchange(ctx, pending)
			c.mu.Lock()
			delete(c.busy, pending.Group)
			c.mu.Unlock()
		})
	}
}

// exchange sends a report to the lender and applies the answer.
func (c *usageCaps) exchange(ctx context.Context, pending rosecap.PendingReport) {
	ctx, cancel := context.WithTimeout(ctx, capReportTimeout)
	defer cancel()
	grants, lender := c.ask(ctx, pending)
	c.mu.Lock()
	former := c.lentBy[pending.Group]
	c.lentBy[pending.Group] = lender
	c.mu.Unlock()
	if former != lender {
		klog.InfoS("cap lender changed", "group", pending.Group, "from", former, "to", lender, "teams", len(pending.Teams))
		c.node.linkCompanions(c.node.directory.Load())
	}
	if lender == "" {
		c.limiter.Unanswered(pending)
		return
	}
	c.limiter.Receive(pending, grants)
}

// ask sends a report to the lender of a group, or to all linked homes of the group if the
// lender isn't known. It returns the grants and who lends.
func (c *usageCaps) ask(ctx context.Context, pending rosecap.PendingReport) ([]int, rosemary.ProxyID) {
	self := c.node.config.Self.Proxy
	if grants, lends := c.answer(pending.Group, pending.Teams); lends {
		return grants, self
	}
	c.mu.Lock()
	lender, asked := c.lentBy[pending.Group]
	c.mu.Unlock()
	if !asked {
		lender, _ = c.node.locks.Holder(pending.Group)
	}
	candidates := []rosemary.ProxyID{lender}
	if lender == "" || lender == self {
		candidates = c.node.peers().users(pending.Group)
	}
	question := encodeCapReport(pending)
	replies := c.node.mesh.QueryUntil(ctx, question, candidates, func(replies []rosepeer.PeerReply) bool {
		return replies[len(replies)-1].Known
	})
	for _, r := range replies {
		if r.Known && len(r.Caps) == len(pending.Teams) {
			return decodeCapGrants(r.Caps), r.From
		}
	}
	return nil, ""
}

// answer answers a holder's report if this proxy holds the lock of the group.
func (c *usageCaps) answer(group string, report []rosecap.TeamReport) ([]int, bool) {
	generation, _, holds := c.node.locks.Holds(group)
	if !holds {
		return nil, false
	}
	now := c.node.config.Clock.Now()
	c.mu.Lock()
	if c.teams == nil {
		c.mu.Unlock()
		return nil, false
	}
	lender := c.lenders[group]
	if lender == nil || lender.generation != generation {
		lender = &groupLender{rosecap.NewLender(c.policy), generation}
		c.lenders[group] = lender
		klog.InfoS("cap lender begins", "group", group, "generation", generation, "homes", len(c.holders.All))
	}
	lender.SetTeams(now, c.teams, c.holders.All)
	groups, moving := c.groups, now.Sub(c.groupsAt) < groupsSettleTime
	c.mu.Unlock()
	for _, t := range report {
		if rosepeer.RendezvousChoice(t.Team, groups) != group {
			return nil, false
		}
	}
	if moving {
		return make([]int, len(report)), true
	}
	return lender.Answer(now, report), true
}

// answerCaps answers a peer's report.
func (n *Node) answerCaps(question rosewire.Question) rosewire.Reply {
	report := make([]rosecap.TeamReport, len(question.Caps))
	for i, r := range question.Caps {
		report[i] = rosecap.TeamReport{Team: r.Team, Want: int(min(r.Want, math.MaxInt32))}
	}
	grants, lends := n.caps.answer(question.Group, report)
	reply := rosewire.Reply{Yes: lends, Known: lends}
	for _, g := range grants {
		reply.Caps = append(reply.Caps, uint64(g))
	}
	return reply
}

// linkCompanions links this proxy to the companions in the directory and, if it reports to
// lenders of usage caps, to those.
func (n *Node) linkCompanions(d *directory) {
	n.mesh.SetCompanions(n.caps.withLenders(d.companions))
	n.caps.limiter.Wake()
}

// withLenders returns companions, which are sorted, with the proxies that lend to this one.
func (c *usageCaps) withLenders(companions []rosemary.ProxyID) []rosemary.ProxyID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.teams == nil || !c.reports {
		return companions
	}
	all := slices.Clone(companions)
	for _, group := range c.groups {
		id, known := c.node.locks.Holder(group)
		if lender := c.lentBy[group]; lender != "" {
			id, known = lender, true
		}
		if known && id != c.node.config.Self.Proxy {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func encodeCapReport(pending rosecap.PendingReport) rosewire.Question {
	question := rosewire.Question{About: rosepeer.AboutCaps, Group: pending.Group}
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
