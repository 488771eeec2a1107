package rosecap

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

const (
	// maxTokenWait bounds the wait of an operation for tokens that the lender is asked for.
	maxTokenWait = 60 * time.Millisecond
	// maxAnswerAge is the age of a report from which on its answer isn't used.
	maxAnswerAge = 350 * time.Millisecond
)

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	Policy Policy
	// Clock has to advance while the VM is suspended; roseclock.Runtime if nil.
	Clock roseclock.Clock
	// Incarnation increases with each start of this proxy.
	Incarnation uint64
	// OnShareEnded is called when a share of a team has ended without a successor.
	OnShareEnded func(team string)
}

// Limiter keeps the operations that this proxy runs within the teams' caps. Its methods may
// be called concurrently.
type Limiter struct {
	config    LimiterConfig
	startedAt time.Time
	// due is signaled when a team is to be reported.
	due      chan struct{}
	teams    atomic.Pointer[map[string]*usage]
	sequence atomic.Uint64

	mu sync.Mutex
	// unreported are the groups whose lender is to be told of all shares.
	unreported map[string]bool
}

// usage is a team's allowance on this proxy.
type usage struct {
	team roseteam.Team
	// group is the group whose lock's holder is the team's lender.
	group   string
	refused atomic.Uint64

	mu        sync.Mutex
	allowance Allowance
	signaled  bool
	// granted is closed and replaced when the lender has answered.
	granted chan struct{}
}

// NewLimiter returns a limiter that admits everything until SetTeams.
func NewLimiter(config LimiterConfig) *Limiter {
	if config.Clock == nil {
		config.Clock = roseclock.Runtime{}
	}
	if config.OnShareEnded == nil {
		config.OnShareEnded = func(string) {}
	}
	l := &Limiter{config: config, startedAt: config.Clock.Now(), due: make(chan struct{}, 1), unreported: make(map[string]bool)}
	l.teams.Store(&map[string]*usage{})
	return l
}

// LimiterTeams are the teams and what depends on them.
type LimiterTeams struct {
	// Teams are those of the configuration in force, nil for none.
	Teams *roseteam.Directory
	// Holders is the number of proxies that hold parts of the caps, Holder is set if this is
	// one of them.
	Holders int
	Holder  bool
	// Lender returns the group whose lock's holder lends the shares of a team.
	Lender func(team string) (group string)
}

// SetTeams sets the teams. Shares are kept, as they are parts of whatever the cap is.
func (l *Limiter) SetTeams(config LimiterTeams) {
	now := l.config.Clock.Now()
	former := *l.teams.Load()
	next := make(map[string]*usage)
	for _, t := range config.capped() {
		split := newSplit(*t.Cap, l.config.Policy, config.Holders)
		if !config.Holder {
			split = split.withoutFloor()
		}
		u := former[t.Name]
		if group := config.Lender(t.Name); u == nil || u.group != group {
			u = &usage{group: group, allowance: newAllowance(now, split), granted: make(chan struct{})}
		}
		u.mu.Lock()
		u.team = t
		u.allowance.prefetch = config.Holder
		u.allowance.setSplit(now, split)
		u.mu.Unlock()
		next[t.Name] = u
	}
	l.teams.Store(&next)
}

// capped returns the teams with a cap.
func (t LimiterTeams) capped() []roseteam.Team {
	if t.Teams == nil {
		return nil
	}
	return slices.DeleteFunc(t.Teams.Teams(), func(t roseteam.Team) bool { return t.Cap == nil })
}

// Admit counts an operation of a team that is about to be sent to a target. Without ok it
// would exceed the cap, and may succeed after retryAfter. If the lender is known to have
// tokens, Admit waits for them for a moment.
func (l *Limiter) Admit(team string) (retryAfter time.Duration, ok bool) {
	retryAfter, ok, granted := l.TryAdmit(team)
	if granted == nil {
		l.countRefused(team, ok)
		return retryAfter, ok
	}
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	select {
	case <-granted:
	case <-timer.C:
	}
	retryAfter, ok, _ = l.TryAdmit(team)
	l.countRefused(team, ok)
	return retryAfter, ok
}

func (l *Limiter) countRefused(team string, ok bool) {
	if u := (*l.teams.Load())[team]; u != nil && !ok {
		u.refused.Add(1)
	}
}

// TryAdmit is Admit without the wait. The channel, if any, is closed when the lender has
// answered.
func (l *Limiter) TryAdmit(team string) (retryAfter time.Duration, ok bool, granted <-chan struct{}) {
	u := (*l.teams.Load())[team]
	if u == nil {
		return 0, true, nil
	}
	now := l.config.Clock.Now()
	u.mu.Lock()
	retryAfter, ok = u.allowance.admit(now)
	if !ok && u.allowance.expects(now) {
		granted = u.granted
	}
	signal := !u.signaled && u.allowance.due(now)
	u.signaled = u.signaled || signal
	u.mu.Unlock()
	if signal {
		l.Wake()
	}
	return retryAfter, ok, granted
}

// Wake signals Due.
func (l *Limiter) Wake() {
	select {
	case l.due <- struct{}{}:
	default:
	}
}

// Due is signaled when Pending may have reports.
func (l *Limiter) Due() <-chan struct{} { return l.due }

// PendingReport is a report to the lender of a group's teams.
type PendingReport struct {
	Group string
	Report
	sentAt time.Time
	// all is set if the report was asked for by ReportAll.
	all bool
}

// ReportAll has the next report to the lender of a group's teams list every share, as that
// lender may not know them.
func (l *Limiter) ReportAll(group string) {
	l.mu.Lock()
	l.unreported[group] = true
	l.mu.Unlock()
	l.Wake()
}

// takeUnreported returns the groups of ReportAll that aren't busy, and forgets them.
func (l *Limiter) takeUnreported(busy func(group string) bool) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := make(map[string]bool)
	for group := range l.unreported {
		if !busy(group) {
			taken[group] = true
			delete(l.unreported, group)
		}
	}
	return taken
}

// Pending returns the reports that are to be sent now, one a group, without those of groups
// that are busy.
func (l *Limiter) Pending(busy func(group string) bool) []PendingReport {
	now := l.config.Clock.Now()
	reports := make(map[string]*PendingReport)
	// left is the number of shares that the reports leave out.
	left := make(map[string]int)
	all := l.takeUnreported(busy)
	for group := range all {
		reports[group] = &PendingReport{Group: group, sentAt: now, all: true}
	}
	for name, u := range *l.teams.Load() {
		if busy(u.group) {
			continue
		}
		u.mu.Lock()
		u.allowance.advance(now)
		if ended := u.allowance.ended; ended {
			u.allowance.ended = false
			l.config.OnShareEnded(name)
		}
		held := u.allowance.share > 0
		switch {
		case u.allowance.due(now) || held && all[u.group]:
			u.signaled = false
			r := reports[u.group]
			if r == nil {
				r = &PendingReport{Group: u.group, sentAt: now}
				reports[u.group] = r
			}
			r.Teams = append(r.Teams, u.allowance.report(now, name))
		case held:
			left[u.group]++
		}
		u.mu.Unlock()
	}
	var pending []PendingReport
	for group, r := range reports {
		r.Incarnation, r.Sequence = l.config.Incarnation, l.sequence.Add(1)
		r.Complete, r.Young = left[group] == 0, now.Sub(l.startedAt) < Lifetime
		pending = append(pending, *r)
	}
	slices.SortFunc(pending, func(a, b PendingReport) int { return strings.Compare(a.Group, b.Group) })
	return pending
}

// Receive applies the lender's answer to a report. It returns the teams of which this proxy
// had no share before.
func (l *Limiter) Receive(report PendingReport, grants []TeamGrant) (begun []string) {
	now, teams := l.config.Clock.Now(), *l.teams.Load()
	if now.Sub(report.sentAt) > maxAnswerAge {
		// This process was suspended: tokens that were granted long ago are void.
		l.Unanswered(report)
		return nil
	}
	for i, t := range report.Teams {
		u := teams[t.Team]
		if u == nil || u.group != report.Group || i >= len(grants) {
			continue
		}
		u.mu.Lock()
		if t.Share == 0 && grants[i].Share > 0 {
			begun = append(begun, t.Team)
		}
		u.allowance.receive(now, report.sentAt, t.Want, grants[i])
		close(u.granted)
		u.granted = make(chan struct{})
		u.mu.Unlock()
	}
	return begun
}

// Unanswered records that a report wasn't answered.
func (l *Limiter) Unanswered(report PendingReport) {
	if report.all {
		l.ReportAll(report.Group)
	}
	teams := *l.teams.Load()
	for _, t := range report.Teams {
		if u := teams[t.Team]; u != nil {
			u.mu.Lock()
			u.allowance.unanswered()
			u.mu.Unlock()
		}
	}
}

// TeamShare is what this proxy holds of a team's cap.
type TeamShare struct {
	Team string
	Cap  roseteam.Cap
	// Group is the group whose lock's holder lends the team's shares.
	Group string
	// Share is the part of the rate that is lent to this proxy, For how long.
	Share  float64
	For    time.Duration
	Tokens float64
	// Demand is the number of operations asked for in a second, Refused the number refused
	// since the start.
	Demand  float64
	Refused uint64
}

// Shares returns what this proxy holds of each team with a cap, sorted by name.
func (l *Limiter) Shares() []TeamShare {
	now := l.config.Clock.Now()
	var shares []TeamShare
	for name, u := range *l.teams.Load() {
		u.mu.Lock()
		a := &u.allowance
		a.advance(now)
		s := TeamShare{
			Team: name, Cap: *u.team.Cap, Group: u.group, Share: a.share.of(1), Tokens: a.tokens,
			Demand: a.asked / demandTime.Seconds(), Refused: u.refused.Load(),
		}
		if a.share > 0 {
			s.For = a.until.Sub(now)
		}
		u.mu.Unlock()
		shares = append(shares, s)
	}
	slices.SortFunc(shares, func(a, b TeamShare) int { return strings.Compare(a.Team, b.Team) })
	return shares
}

// Refused returns the number of operations of a team refused since the start.
func (l *Limiter) Refused(team string) uint64 {
	if u := (*l.teams.Load())[team]; u != nil {
		return u.refused.Load()
	}
	return 0
}
