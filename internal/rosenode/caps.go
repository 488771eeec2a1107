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
	// lenderCheckInterval is how often a proxy checks which lenders are new.
	lenderCheckInterval = time.Second
	// maxHoldersTime is how long a greater number of holders counts after it has fallen:
	// others may not have noticed that yet.
	maxHoldersTime = time.Minute
	// holdersStartTime is how long after its start a proxy assumes that there are
	// homesAtStart homes of each group, as others may be starting too.
	holdersStartTime = 5 * time.Second
	homesAtStart     = 3
)

// usageCaps keeps the teams within their usage caps. Each proxy that runs operations holds
// parts of the caps; the holder of the lock of a group lends them.
type usageCaps struct {
	node    *Node
	policy  rosecap.Policy
	limiter *rosecap.Limiter

	mu sync.Mutex
	// directory and teams are what the fields below were worked out from.
	directory *directory
	teams     *roseteam.Directory
	// homes are the homes of all groups, homeAt when each was last known as one, and groups
	// the names of the groups.
	homes  []rosemary.ProxyID
	homeAt map[rosemary.ProxyID]time.Time
	groups []string
	// groupsAt is when groups last changed.
	groupsAt time.Time
	// peak is the greatest number of holders known lately, as of peakAt. count is the number
	// that each part is worked out for.
	peak, count int
	peakAt      time.Time
	// lenders maps the groups whose locks this proxy holds to what it lends.
	lenders map[string]*groupLender
	// lentBy maps each group to the proxy that answered its last report, or to none if that
	// wasn't answered. busy holds the groups with a report that isn't answered yet.
	lentBy map[string]rosemary.ProxyID
	busy   map[string]bool
	// reports is set once this proxy has reported to a lender, and is to be linked to all.
	reports bool
	// listed maps each group to the holder of its lock at the last check, at checkedAt.
	listed    map[string]rosemary.ProxyID
	checkedAt time.Time
}

// groupLender is the lender of the teams of a group under one claim of its lock.
type groupLender struct {
	*rosecap.Lender
	generation int64
	groupsAt   time.Time
}

func newUsageCaps(n *Node) *usageCaps {
	c := &usageCaps{
		node: n, policy: n.config.CapPolicy, lenders: make(map[string]*groupLender), lentBy: make(map[string]rosemary.ProxyID), busy: make(map[string]bool),
		homeAt: make(map[rosemary.ProxyID]time.Time), listed: make(map[string]rosemary.ProxyID),
	}
	if c.policy.Window <= 0 {
		c.policy.Window = rosecap.DefaultWindow
	}
	c.limiter = rosecap.NewLimiter(rosecap.LimiterConfig{
		Policy: c.policy, Clock: n.config.Clock, Incarnation: uint64(n.startedAt.UnixMilli()),
		OnShareEnded: func(team string) { klog.InfoS("cap share ended", "team", team) },
	})
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
	directoryChanged := c.directory != directory
	if directoryChanged {
		c.directory = directory
		c.setGroups(now, slices.Sorted(maps.Keys(directory.groups)))
		c.setHomes(directory)
	}
	for _, id := range c.homes {
		c.homeAt[id] = now
	}
	if c.updateCount(now) || directoryChanged || former != c.teams {
		groups := c.groups
		_, holds := slices.BinarySearch(c.homes, c.node.config.Self.Proxy)
		c.limiter.SetTeams(rosecap.LimiterTeams{
			Teams: c.teams, Holders: c.count, Holder: holds,
			Lender: func(team string) string { return rosepeer.RendezvousChoice(team, groups) },
		})
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

// setGroups records the configured groups. The caller holds the lock.
func (c *usageCaps) setGroups(now time.Time, groups []string) {
	if slices.Equal(groups, c.groups) {
		return
	}
	if c.groups != nil {
		// Teams may have had other lenders until now.
		c.groupsAt = now
	}
	c.groups = groups
}

// setHomes records the homes of all groups. The caller holds the lock.
func (c *usageCaps) setHomes(d *directory) {
	c.homes = nil
	for _, entry := range d.groups {
		for _, m := range entry.relay {
			c.homes = append(c.homes, m.Proxy)
		}
	}
	slices.Sort(c.homes)
	c.homes = slices.Compact(c.homes)
}

// recentHomes returns the proxies that were homes in the last rosecap.Lifetime, as far as this
// proxy has been running. The caller holds the lock.
func (c *usageCaps) recentHomes(now time.Time) rosecap.Homes {
	homes := rosecap.Homes{All: time.Since(c.node.startedAt) >= rosecap.Lifetime}
	for id, at := range c.homeAt {
		if now.Sub(at) >= rosecap.Lifetime {
			delete(c.homeAt, id)
			continue
		}
		homes.Proxies = append(homes.Proxies, id)
	}
	return homes
}

// updateCount updates the number of holders that this proxy's parts are worked out for, and
// reports whether it has changed. The caller holds the lock.
func (c *usageCaps) updateCount(now time.Time) bool {
	if known := len(c.homes); known >= c.peak || now.Sub(c.peakAt) > maxHoldersTime {
		c.peak, c.peakAt = known, now
	}
	count := max(c.peak, 1)
	if c.peak == 0 || time.Since(c.node.startedAt) < holdersStartTime {
		count = max(count, homesAtStart*len(c.groups))
	}
	changed := count != c.count
	c.count = count
	return changed
}

// followLenders has every share reported to a lender that is new by the list of locks. Without
// a demand nothing else would tell that lender what is held here.
func (c *usageCaps) followLenders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reports || time.Since(c.checkedAt) < lenderCheckInterval {
		return
	}
	c.checkedAt = time.Now()
	for _, group := range c.groups {
		holder, known := c.node.locks.Holder(group)
		if !known || holder == c.listed[group] {
			continue
		}
		c.listed[group] = holder
		if holder != c.lentBy[group] {
			c.lentBy[group] = holder
			c.limiter.ReportAll(group)
		}
	}
}

// report sends the reports that are due.
func (c *usageCaps) report(ctx context.Context) {
	c.followLenders()
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
		if lender != "" && !pending.Complete {
			c.limiter.ReportAll(pending.Group)
		}
	}
	if lender == "" {
		c.limiter.Unanswered(pending)
		return
	}
	if begun := c.limiter.Receive(pending, grants); len(begun) > 0 {
		klog.InfoS("cap shares granted", "group", pending.Group, "lender", lender, "count", len(begun), "team", begun[0])
	}
}

// ask sends a report to the lender of a group, or to all linked homes of the group if the
// lender isn't known. It returns the grants and who lends.
func (c *usageCaps) ask(ctx context.Context, pending rosecap.PendingReport) ([]rosecap.TeamGrant, rosemary.ProxyID) {
	self := c.node.config.Self.Proxy
	if grants, lends := c.answer(self, pending.Group, pending.Report); lends {
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
func (c *usageCaps) answer(from rosemary.ProxyID, group string, report rosecap.Report) ([]rosecap.TeamGrant, bool) {
	generation, _, holds := c.node.locks.Holds(group)
	if !holds {
		return nil, false
	}
	claimedAt := c.node.locks.HeldSince(group)
	now := c.node.config.Clock.Now()
	c.mu.Lock()
	if c.teams == nil {
		c.mu.Unlock()
		return nil, false
	}
	lender := c.lenders[group]
	if lender == nil || lender.generation != generation || !lender.groupsAt.Equal(c.groupsAt) {
		if claimedAt.Before(c.groupsAt) {
			claimedAt = c.groupsAt
		}
		lender = &groupLender{rosecap.NewLender(c.policy, claimedAt), generation, c.groupsAt}
		c.lenders[group] = lender
		klog.InfoS("cap lender begins", "group", group, "generation", generation, "homes", len(c.homes))
	}
	lender.SetTeams(now, c.teams, c.count)
	homes, groups := c.recentHomes(now), c.groups
	c.mu.Unlock()
	for _, t := range report.Teams {
		if rosepeer.RendezvousChoice(t.Team, groups) != group {
			return nil, false
		}
	}
	return lender.Answer(now, from, report, homes)
}

// answerCaps answers a peer's report.
func (n *Node) answerCaps(from rosemary.ProxyID, question rosewire.Question) rosewire.Reply {
	grants, lends := n.caps.answer(from, question.Group, decodeCapReport(question))
	return rosewire.Reply{Yes: lends, Known: lends, Caps: encodeCapGrants(grants)}
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
	question := rosewire.Question{
		About: rosepeer.AboutCaps, Group: pending.Group, Incarnation: &pending.Incarnation, Sequence: &pending.Sequence,
	}
	if pending.Complete {
		question.Complete = &pending.Complete
	}
	if pending.Young {
		question.Young = &pending.Young
	}
	for _, t := range pending.Teams {
		r := rosewire.CapReport{Team: t.Team, Want: encodeThousandths(t.Want), Demand: encodeThousandths(t.Demand)}
		if t.Share > 0 {
			share, forMs := uint64(t.Share), uint64(t.For/time.Millisecond)+1
			r.Share, r.ForMs = &share, &forMs
		}
		question.Caps = append(question.Caps, r)
	}
	return question
}

func decodeCapReport(question rosewire.Question) rosecap.Report {
	report := rosecap.Report{
		Complete: question.Complete != nil && *question.Complete, Young: question.Young != nil && *question.Young,
	}
	if question.Incarnation != nil {
		report.Incarnation = *question.Incarnation
	}
	if question.Sequence != nil {
		report.Sequence = *question.Sequence
	}
	for _, r := range question.Caps {
		t := rosecap.TeamReport{Team: r.Team, Want: decodeThousandths(r.Want), Demand: decodeThousandths(r.Demand)}
		if r.Share != nil && r.ForMs != nil {
			t.Share, t.For = rosecap.Share(min(*r.Share, math.MaxUint32)), millis(*r.ForMs)
		}
		report.Teams = append(report.Teams, t)
	}
	return report
}

func encodeCapGrants(grants []rosecap.TeamGrant) []rosewire.CapGrant {
	encoded := make([]rosewire.CapGrant, len(grants))
	for i, g := range grants {
		encoded[i].Tokens = uint64(g.Tokens*1000 + 1e-6)
		if g.Share > 0 {
			share := uint64(g.Share)
			encoded[i].Share = &share
		}
	}
	return encoded
}

func decodeCapGrants(encoded []rosewire.CapGrant) []rosecap.TeamGrant {
	grants := make([]rosecap.TeamGrant, len(encoded))
	for i, e := range encoded {
		grants[i].Tokens = decodeThousandths(e.Tokens)
		if e.Share != nil {
			grants[i].Share = rosecap.Share(min(*e.Share, math.MaxUint32))
		}
	}
	return grants
}

// encodeThousandths rounds up, so that a whole token wanted is granted as a whole.
func encodeThousandths(amount float64) uint64 { return uint64(math.Ceil(amount*1000 - 1e-6)) }

func decodeThousandths(encoded uint64) float64 { return float64(encoded) / 1000 }
