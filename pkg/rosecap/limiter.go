package rosecap

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

const (
	// maxTokenWait bounds the wait of an operation for tokens.
	maxTokenWait = 100 * time.Millisecond
	// startTokenWait is the same before any host has answered, as links are being opened.
	startTokenWait = 400 * time.Millisecond
	// minLostTime and maxLostTime bound for how long a host that hasn't answered isn't asked.
	// It may just have no processor time left, or a new configuration to read, so the time
	// begins short, and doubles with each further question without an answer.
	minLostTime = 200 * time.Millisecond
	maxLostTime = 2 * time.Second
)

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	Self   rosemary.Member
	Policy Policy
	// Clock has to advance while the VM is suspended; roseclock.Runtime if nil.
	Clock roseclock.Clock
}

// Limiter keeps the operations that this proxy runs within the teams' caps. Its methods may
// be called concurrently.
type Limiter struct {
	config LimiterConfig
	// due is signaled when a team is to be reported.
	due   chan struct{}
	teams atomic.Pointer[map[string]*usage]
	// answered is set once a host has answered.
	answered atomic.Bool

	mu sync.Mutex
	// silent are the hosts that didn't answer their last report.
	silent map[rosemary.ProxyID]silentHost
}

// usage is a team's allowance on this proxy.
type usage struct {
	team    roseteam.Team
	refused atomic.Uint64

	mu        sync.Mutex
	allowance Allowance
	signaled  bool
	// answered is closed and replaced when a host has answered, or hasn't in time.
	answered chan struct{}
}

// silentHost is a host that didn't answer its last reports.
type silentHost struct {
	// missed is the number of these, at the time of the last one.
	missed int
	at     time.Time
}

// lost reports whether the host isn't asked for the time being. A single answer may be late.
func (h silentHost) lost(now time.Time) bool {
	if h.missed < 2 {
		return false
	}
	lostTime := minLostTime
	for range h.missed - 2 {
		if lostTime *= 2; lostTime >= maxLostTime {
			lostTime = maxLostTime
			break
		}
	}
	return now.Sub(h.at) < lostTime
}

// NewLimiter returns a limiter that admits everything until SetTeams.
func NewLimiter(config LimiterConfig) *Limiter {
	if config.Clock == nil {
		config.Clock = roseclock.Runtime{}
	}
	l := &Limiter{config: config, due: make(chan struct{}, 1), silent: make(map[rosemary.ProxyID]silentHost)}
	l.teams.Store(&map[string]*usage{})
	return l
}

// SetTeams sets the teams, nil for none, and who hosts their caps.
func (l *Limiter) SetTeams(teams *roseteam.Directory, layout Layout) {
	former := *l.teams.Load()
	next := make(map[string]*usage)
	for _, t := range cappedTeams(teams) {
		u := &usage{team: t, answered: make(chan struct{})}
		if known := former[t.Name]; known != nil {
			u = known
		}
		u.mu.Lock()
		u.team = t
		u.allowance.setHosts(layout.order(l.config.Self, t, l.config.Policy))
		u.mu.Unlock()
		next[t.Name] = u
	}
	l.teams.Store(&next)
}

// cappedTeams returns the teams with a cap.
func cappedTeams(teams *roseteam.Directory) []roseteam.Team {
	if teams == nil {
		return nil
	}
	return slices.DeleteFunc(teams.Teams(), func(t roseteam.Team) bool { return t.Cap == nil })
}

// Admit counts an operation of a team that is about to be sent to a target before a time. It
// waits a moment for tokens. Without ok the operation would exceed the cap, and may succeed
// after retryAfter.
func (l *Limiter) Admit(team string) (before time.Time, retryAfter time.Duration, ok bool) {
	o := l.Begin(team)
	if o == nil {
		return time.Time{}, 0, true
	}
	wait := maxTokenWait
	if !l.answered.Load() {
		wait = startTokenWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answered, ok := o.Try()
		if ok || answered == nil {
			return o.before, o.End(ok), ok
		}
		select {
		case <-answered:
		case <-timer.C:
			return time.Time{}, o.End(false), false
		}
	}
}

// Return takes back the token of an operation that wasn't sent to a target.
func (l *Limiter) Return(team string, before time.Time) {
	u := (*l.teams.Load())[team]
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.allowance.giveBack(before)
	if u.allowance.waiting > 0 {
		u.wake()
	}
}

// Operation is an operation that needs a token.
type Operation struct {
	limiter *Limiter
	usage   *usage
	// before is until when its token may be used.
	before time.Time
	// waits is set while it counts as waiting.
	waits bool
	begun bool
}

// Begin returns an operation of a team, nil if the team has no cap.
func (l *Limiter) Begin(team string) *Operation {
	u := (*l.teams.Load())[team]
	if u == nil {
		return nil
	}
	return &Operation{limiter: l, usage: u}
}

// Try takes a token. Without one it returns a channel that is closed when it may be tried
// again, or nil if there will be none soon.
func (o *Operation) Try() (answered <-chan struct{}, ok bool) {
	u, now := o.usage, o.limiter.config.Clock.Now()
	u.mu.Lock()
	if !o.begun {
		u.allowance.draw(now, 1)
	}
	o.begun = true
	o.before, ok = u.allowance.take(now)
	if !ok && (u.allowance.expects(now) || !o.limiter.answered.Load()) {
		answered = u.answered
		o.setWaiting(true)
	} else {
		o.setWaiting(false)
	}
	signal := !u.signaled && u.allowance.due(now)
	u.signaled = u.signaled || signal
	u.mu.Unlock()
	if signal {
		o.limiter.Wake()
	}
	return answered, ok
}

// setWaiting counts the operation among those that wait, or no longer. The caller holds the
// lock.
func (o *Operation) setWaiting(waits bool) {
	if waits != o.waits {
		if o.waits = waits; waits {
			o.usage.allowance.waiting++
		} else {
			o.usage.allowance.waiting--
		}
	}
}

// End ends the operation, and returns when a refused caller may come back.
func (o *Operation) End(ok bool) (retryAfter time.Duration) {
	u := o.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	o.setWaiting(false)
	if ok {
		return 0
	}
	u.refused.Add(1)
	return u.allowance.retryAfter(o.limiter.config.Clock.Now())
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

// PendingReport is a report to a host.
type PendingReport struct {
	Host   rosemary.ProxyID
	Teams  []TeamReport
	sentAt time.Time
}

// Pending returns the reports that are to be sent now, one a host, without those to hosts that
// are busy.
func (l *Limiter) Pending(busy func(host rosemary.ProxyID) bool) []PendingReport {
	now := l.config.Clock.Now()
	reports := make(map[rosemary.ProxyID]*PendingReport)
	for name, u := range *l.teams.Load() {
		u.mu.Lock()
		l.skipLostHosts(now, u)
		if u.allowance.due(now) {
			if host := u.allowance.nextHost(now); !busy(host) {
				u.signaled = false
				r := reports[host]
				if r == nil {
					r = &PendingReport{Host: host, sentAt: now}
					reports[host] = r
				}
				r.Teams = append(r.Teams, u.allowance.report(now, name))
			}
		}
		u.mu.Unlock()
	}
	pending := make([]PendingReport, 0, len(reports))
	for _, r := range reports {
		pending = append(pending, *r)
	}
	slices.SortFunc(pending, func(a, b PendingReport) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return pending
}

// skipLostHosts has a team that needs tokens pass over the hosts that haven't answered
// recently. The caller holds the team's lock.
func (l *Limiter) skipLostHosts(now time.Time, u *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for u.allowance.due(now) && l.silent[u.allowance.nextHost(now)].lost(now) {
		u.allowance.askNext(now)
		if !u.allowance.expects(now) {
			// Operations that wait for hosts are told that there are none.
			u.wake()
		}
	}
}

// wake has the operations that wait try again. The caller holds the lock.
func (u *usage) wake() {
	close(u.answered)
	u.answered = make(chan struct{})
}

// Receive applies a host's answer to a report: a number of tokens for each team.
func (l *Limiter) Receive(report PendingReport, grants []int) {
	if len(grants) != len(report.Teams) {
		l.Unanswered(report)
		return
	}
	now := l.config.Clock.Now()
	l.answered.Store(true)
	l.mu.Lock()
	delete(l.silent, report.Host)
	l.mu.Unlock()
	l.conclude(report, func(i int, a *Allowance) { a.receive(now, report.sentAt, report.Teams[i].Want, grants[i]) })
}

// Unreachable records that a report couldn't be sent to a host.
func (l *Limiter) Unreachable(report PendingReport) {
	now := l.config.Clock.Now()
	l.conclude(report, func(_ int, a *Allowance) { a.askNext(now) })
}

// Unanswered records that a host didn't answer a report.
func (l *Limiter) Unanswered(report PendingReport) {
	now := l.config.Clock.Now()
	l.mu.Lock()
	l.silent[report.Host] = silentHost{missed: l.silent[report.Host].missed + 1, at: now}
	l.mu.Unlock()
	l.Unreachable(report)
}

// conclude applies the end of a report to each of its teams.
func (l *Limiter) conclude(report PendingReport, apply func(i int, a *Allowance)) {
	now, teams := l.config.Clock.Now(), *l.teams.Load()
	for i, t := range report.Teams {
		u := teams[t.Team]
		if u == nil {
			continue
		}
		u.mu.Lock()
		apply(i, &u.allowance)
		u.wake()
		due := u.allowance.due(now)
		u.mu.Unlock()
		if due {
			l.Wake()
		}
	}
}

// TeamShare is what this proxy has of a team's cap.
type TeamShare struct {
	Team string
	Cap  roseteam.Cap
	// Hosts are the proxies that this one asks for tokens, in this order.
	Hosts []rosemary.ProxyID
	// Tokens is the number of tokens that operations may use now, Waiting the number of
	// operations that wait for one.
	Tokens, Waiting int
	// Refused is the number of operations refused since the start.
	Refused uint64
}

// Shares returns what this proxy has of each team with a cap, sorted by name.
func (l *Limiter) Shares() []TeamShare {
	now := l.config.Clock.Now()
	var shares []TeamShare
	for name, u := range *l.teams.Load() {
		u.mu.Lock()
		shares = append(shares, TeamShare{
			Team: name, Cap: *u.team.Cap, Hosts: u.allowance.hosts, Tokens: u.allowance.tokensLeft(now),
			Waiting: u.allowance.waiting, Refused: u.refused.Load(),
		})
		u.mu.Unlock()
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
