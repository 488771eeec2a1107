package rosecap_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

const (
	step   = 5 * time.Millisecond
	window = 5 * time.Second
	zones  = 3
)

var usual = rosecap.Policy{Window: window, Excess: 0.1, Slack: 20}

// clock is a simulated clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// proxy is a simulated proxy, which is also a host if it has a pool.
type proxy struct {
	member  rosemary.Member
	limiter *rosecap.Limiter
	pool    *rosecap.Pool
	// frozenUntil, cutUntil and deadUntil are the ends of its faults.
	frozenUntil, cutUntil, deadUntil time.Time
	// exchanges are the reports without an answer, by host.
	exchanges map[rosemary.ProxyID]*exchange
}

// exchange is a report on its way to a host, or its answer on its way back.
type exchange struct {
	rosecap.PendingReport
	to       *proxy
	arriveAt time.Time
	endAt    time.Time
	answered bool
	lost     bool
	grants   []int
}

// fleet simulates proxies of three availability zones, some of which host the usage caps.
type fleet struct {
	policy  rosecap.Policy
	clock   *clock
	random  *rand.Rand
	proxies []*proxy
	// hosts are the proxies with places.
	hosts     []*proxy
	layout    rosecap.Layout
	teams     *roseteam.Directory
	exchanges int
	// ran holds the times of the operations admitted, by team.
	ran            map[string][]time.Time
	asked, refused map[string]int
	meters         map[string]*meter
	waiting        []waiter
	// retries is how often a refused caller comes back when it is told to.
	retries int
}

// waiter is an operation that waits until then: for tokens, if answered isn't nil, or to come
// back.
type waiter struct {
	proxy     *proxy
	limiter   *rosecap.Limiter
	team      string
	operation *rosecap.Operation
	answered  <-chan struct{}
	until     time.Time
	retries   int
}

func newFleet(seed uint64, policy rosecap.Policy, teams ...roseteam.Team) *fleet {
	f := &fleet{
		policy: policy,
		clock:  &clock{time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, 1)),
		ran: make(map[string][]time.Time), asked: make(map[string]int), refused: make(map[string]int),
	}
	places := make(map[rosemary.Zone][]rosemary.ProxyID)
	for n := range 24 {
		p := &proxy{member: rosemary.Member{Proxy: rosemary.ProxyID(fmt.Sprint("p", n)), Zone: rosemary.Zone(fmt.Sprint("z", n%zones))}}
		f.proxies = append(f.proxies, p)
		if zone := p.member.Zone; len(places[zone]) < rosecap.HostsPerZone {
			places[zone] = append(places[zone], p.member.Proxy)
			f.hosts = append(f.hosts, p)
		}
	}
	f.layout = rosecap.NewLayout(places)
	f.setTeams(teams...)
	for _, p := range f.proxies {
		f.restart(p)
	}
	return f
}

func (f *fleet) setTeams(teams ...roseteam.Team) {
	f.teams, _ = roseteam.NewDirectory(1, teams)
	for _, p := range f.proxies {
		f.configure(p)
	}
}

// configure gives a proxy the teams in force.
func (f *fleet) configure(p *proxy) {
	if p.limiter == nil {
		return
	}
	p.limiter.SetTeams(f.teams, f.layout)
	if p.pool != nil {
		p.pool.SetTeams(f.clock.now, f.teams, f.layout)
	}
}

// resetCounts counts what is asked, allowed and refused anew.
func (f *fleet) resetCounts() {
	f.asked, f.refused, f.meters, f.exchanges = make(map[string]int), make(map[string]int), make(map[string]*meter), 0
	for _, t := range f.teams.Teams() {
		f.meters[t.Name] = &meter{usage: *t.Cap, tokens: t.Cap.Burst, at: f.clock.now}
	}
}

// restart starts another process of a proxy.
func (f *fleet) restart(p *proxy) {
	p.exchanges = make(map[rosemary.ProxyID]*exchange)
	p.limiter = rosecap.NewLimiter(rosecap.LimiterConfig{Self: p.member, Policy: f.policy, Clock: f.clock})
	if slices.Contains(f.hosts, p) {
		p.pool = rosecap.NewPool(p.member.Proxy, f.policy)
	}
	f.configure(p)
}

func (f *fleet) works(p *proxy) bool {
	return !f.clock.now.Before(p.frozenUntil) && !f.clock.now.Before(p.deadUntil)
}

func (f *fleet) cut(p *proxy) bool { return f.clock.now.Before(p.cutUntil) }

// reachable reports whether messages pass between two proxies. Those of one zone that are
// cut off together reach each other.
func (f *fleet) reachable(a, b *proxy) bool { return f.cut(a) == f.cut(b) }

// advance runs one step.
func (f *fleet) advance() {
	f.clock.now = f.clock.now.Add(step)
	f.wake()
	for _, p := range f.proxies {
		if !f.works(p) {
			continue
		}
		f.deliver(p)
		select {
		case <-p.limiter.Due():
		default:
			if f.clock.now.UnixMilli()%100 != 0 {
				continue
			}
		}
		for _, report := range p.limiter.Pending(func(host rosemary.ProxyID) bool { return p.exchanges[host] != nil }) {
			f.exchanges++
			p.exchanges[report.Host] = &exchange{
				PendingReport: report, to: f.proxy(report.Host), endAt: f.clock.now.Add(60 * time.Millisecond),
				arriveAt: f.clock.now.Add(f.delay()), lost: f.random.IntN(200) == 0,
			}
		}
	}
}

func (f *fleet) proxy(id rosemary.ProxyID) *proxy {
	return f.proxies[slices.IndexFunc(f.proxies, func(p *proxy) bool { return p.member.Proxy == id })]
}

func (f *fleet) delay() time.Duration { return time.Duration(1+f.random.IntN(6)) * time.Millisecond }

// deliver moves a proxy's reports or their answers on.
func (f *fleet) deliver(p *proxy) {
	now := f.clock.now
	for _, host := range slices.Sorted(maps.Keys(p.exchanges)) {
		e := p.exchanges[host]
		switch {
		case !now.Before(e.endAt):
			p.limiter.Unanswered(e.PendingReport)
			delete(p.exchanges, host)
		case e.lost || now.Before(e.arriveAt) || !f.reachable(p, e.to):
		case e.answered:
			p.limiter.Receive(e.PendingReport, e.grants)
			delete(p.exchanges, host)
		case f.works(e.to):
			e.grants, e.answered, e.arriveAt = e.to.pool.Grant(now, e.Teams), true, now.Add(f.delay())
			e.lost = f.random.IntN(200) == 0
		}
	}
}

// ask has a proxy admit an operation.
func (f *fleet) ask(p *proxy, team string) {
	if !f.works(p) {
		return
	}
	f.asked[team]++
	if m := f.meters[team]; m != nil {
		m.ask(f.clock.now)
	}
	f.try(waiter{proxy: p, team: team, retries: f.retries})
}

// try has an operation admitted, or wait for tokens or its retry.
func (f *fleet) try(w waiter) {
	if w.operation == nil {
		w.limiter = w.proxy.limiter
		w.operation, w.until = w.limiter.Begin(w.team), f.clock.now.Add(100*time.Millisecond)
	}
	answered, ok := w.operation.Try()
	switch {
	case ok:
		f.ran[w.team] = append(f.ran[w.team], f.clock.now)
		w.operation.End(true)
		return
	case answered != nil && f.clock.now.Before(w.until):
		w.answered = answered
	case w.retries > 0:
		w.until = f.clock.now.Add(w.operation.End(false))
		w.operation, w.answered = nil, nil
		w.retries--
	default:
		w.operation.End(false)
		f.refused[w.team]++
		return
	}
	f.waiting = append(f.waiting, w)
}

// wake has the operations whose wait is over try again.
func (f *fleet) wake() {
	waiting := f.waiting
	f.waiting = nil
	for _, w := range waiting {
		answered := false
		select {
		case <-w.answered:
			answered = true
		default:
		}
		switch {
		case w.operation != nil && w.limiter != w.proxy.limiter:
			// Its process has ended.
		case !answered && f.clock.now.Before(w.until) || !f.works(w.proxy):
			f.waiting = append(f.waiting, w)
		default:
			f.try(w)
		}
	}
}

// worstExcess returns the greatest number of operations in a window beyond the bound.
func worstExcess(ran []time.Time, usage roseteam.Cap, policy rosecap.Policy) float64 {
	bound := (usage.Rate*window.Seconds()+usage.Burst)*(1+policy.Excess) + policy.Slack
	worst, first := 0, 0
	for n, at := range ran {
		for !ran[first].After(at.Add(-window)) {
			first++
		}
		worst = max(worst, n-first+1)
	}
	return float64(worst) - bound
}

// offer asks at a rate, at homes chosen with weights 1/rank.
func (f *fleet) offer(team string, rate float64, shift int) {
	for wanted := rate * step.Seconds(); wanted > 0; wanted-- {
		if f.random.Float64() < wanted {
			f.ask(f.pick(shift), team)
		}
	}
}

func (f *fleet) pick(shift int) *proxy {
	var sum float64
	for n := range f.proxies {
		sum += 1 / float64(n+1)
	}
	at := f.random.Float64() * sum
	for n := range f.proxies {
		if at -= 1 / float64(n+1); at < 0 {
			return f.proxies[(n*7+shift)%len(f.proxies)]
		}
	}
	return f.proxies[0]
}

func team(name string, rate, burst float64) roseteam.Team {
	return roseteam.Team{Name: name, Cap: &roseteam.Cap{Rate: rate, Burst: burst}}
}

// TestCapHolds checks the bound in every window while proxies are cut off, frozen and
// killed, the lock moves, the demand moves, and messages are lost.
func TestCapHolds(t *testing.T) {
	c := qt.New(t)
	seeds, length := 50, 90*time.Second
	if testing.Short() {
		seeds, length = 10, 60*time.Second
	}
	for seed := range seeds {
		usage := roseteam.Cap{Rate: []float64{5, 40, 350}[seed%3]}
		usage.Burst = usage.Rate
		f := newFleet(uint64(seed), usual, team("hot", usage.Rate, usage.Burst))
		end, shift, nextFault := f.clock.now.Add(length), 0, f.clock.now
		demand := 5.0
		for f.clock.now.Before(end) {
			if !f.clock.now.Before(nextFault) {
				f.fault()
				nextFault = f.clock.now.Add(f.upTo(4 * time.Second))
				if seed%2 == 0 {
					shift, demand = f.random.IntN(24), []float64{0, 0.6, 5}[f.random.IntN(3)]
				} else {
					// The team is over its cap all the time, with few faults at once.
					nextFault = nextFault.Add(f.upTo(20 * time.Second))
				}
			}
			f.advance()
			f.offer("hot", demand*usage.Rate, shift)
		}
		c.Check(worstExcess(f.ran["hot"], usage, usual) <= 0, qt.IsTrue,
			qt.Commentf("seed %d: %v operations above the bound", seed, worstExcess(f.ran["hot"], usage, usual)))
	}
}

func (f *fleet) upTo(length time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(length)))
}

// fault brings one fault about.
func (f *fleet) fault() {
	until := f.clock.now.Add(f.upTo(16 * time.Second))
	p := f.proxies[f.random.IntN(len(f.proxies))]
	switch f.random.IntN(6) {
	case 0:
		p.frozenUntil = until
	case 1:
		f.restart(p)
		p.deadUntil = f.clock.now.Add(time.Second)
	case 2:
		p.cutUntil = until
	case 3:
		zone := f.random.IntN(zones)
		for n, p := range f.proxies {
			if n%zones == zone {
				p.cutUntil = until
			}
		}
	case 4:
		p = f.hosts[f.random.IntN(len(f.hosts))]
		f.restart(p)
		p.deadUntil = until
	case 5:
		for _, p := range f.proxies {
			f.restart(p)
			p.deadUntil = f.clock.now.Add(time.Second)
		}
	}
}

// TestCapHoldsWhileZoneIsCut cuts a zone off, whose hosts go on. The team asks for more than
// its cap on both sides.
func TestCapHoldsWhileZoneIsCut(t *testing.T) {
	c := qt.New(t)
	usage := roseteam.Cap{Rate: 350, Burst: 350}
	for seed := range 10 {
		f := newFleet(uint64(seed), usual, team("hot", usage.Rate, usage.Burst))
		f.run(20*time.Second, "hot", 0.6*usage.Rate)
		f.cutZone(0, 16*time.Second)
		f.run(8*time.Second, "hot", 0.6*usage.Rate)
		f.run(12*time.Second, "hot", 5*usage.Rate)
		c.Check(worstExcess(f.ran["hot"], usage, usual) <= 0, qt.IsTrue, qt.Commentf("seed %d: %v operations above the bound", seed, worstExcess(f.ran["hot"], usage, usual)))
	}
}

// TestRestartedHostsGrant has all hosts restart at once while all proxies are in touch: they
// soon grant all that the cap allows.
func TestRestartedHostsGrant(t *testing.T) {
	c := qt.New(t)
	usage := roseteam.Cap{Rate: 350, Burst: 350}
	for seed := range 10 {
		f := newFleet(uint64(seed), usual, team("hot", usage.Rate, usage.Burst))
		f.run(20*time.Second, "hot", 0.1*usage.Rate)
		for _, p := range f.hosts {
			f.restart(p)
		}
		// They have no tokens at first.
		f.run(3*time.Second, "hot", 0.1*usage.Rate)
		f.resetCounts()
		f.run(6*time.Second, "hot", 4.7*usage.Rate)
		served, allowed := f.asked["hot"]-f.refused["hot"], f.meters["hot"].allowed
		c.Check(float64(served) >= 0.99*float64(allowed), qt.IsTrue, qt.Commentf("seed %d: %d served of %d allowed", seed, served, allowed))
		c.Check(worstExcess(f.ran["hot"], usage, usual) <= 0, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// TestLoweredCapHolds lowers a cap, which each proxy learns within 5 s: the lower cap holds
// in every window after that.
func TestLoweredCapHolds(t *testing.T) {
	c := qt.New(t)
	for seed := range 10 {
		f := newFleet(uint64(seed), usual, team("hot", 100, 100))
		f.run(10*time.Second, "hot", 500)
		lower := team("hot", 20, 10)
		f.teams, _ = roseteam.NewDirectory(2, []roseteam.Team{lower})
		for _, n := range f.random.Perm(len(f.proxies)) {
			f.run(200*time.Millisecond, "hot", 500)
			f.configure(f.proxies[n])
		}
		f.ran["hot"] = nil
		f.run(15*time.Second, "hot", 500)
		c.Check(worstExcess(f.ran["hot"], *lower.Cap, usual) <= 0, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

// TestFewTokens has more holders than a team has tokens: none can keep one, and operations
// wait for those that the lender grants. Callers retry twice.
func TestFewTokens(t *testing.T) {
	c := qt.New(t)
	exact := rosecap.Policy{Window: window}
	f := newFleet(1, exact, team("small", 10, 10))
	f.retries = 2
	f.run(10*time.Second, "small", 6)
	f.resetCounts()
	f.run(200*time.Second, "small", 6)
	served, allowed := f.asked["small"]-f.refused["small"], f.meters["small"].allowed
	c.Check(float64(served) >= 0.95*float64(allowed), qt.IsTrue, qt.Commentf("%d served of %d allowed", served, allowed))
	f.run(20*time.Second, "small", 50)
	c.Check(worstExcess(f.ran["small"], roseteam.Cap{Rate: 10, Burst: 10}, exact) <= 0, qt.IsTrue)
}

// run has a team ask for a time.
func (f *fleet) run(length time.Duration, team string, rate float64) {
	for end := f.clock.now.Add(length); f.clock.now.Before(end); {
		f.advance()
		f.offer(team, rate, 0)
	}
}

// meter is a team's cap kept at one place, which shows what is allowed.
type meter struct {
	usage   roseteam.Cap
	tokens  float64
	at      time.Time
	allowed int
}

func (m *meter) ask(now time.Time) {
	m.tokens = min(m.tokens+m.usage.Rate*now.Sub(m.at).Seconds(), m.usage.Burst)
	m.at = now
	if m.tokens >= 1 {
		m.tokens--
		m.allowed++
	}
}

// TestNearlyAllAllowedIsServed replays teams at 60% of their caps at uneven homes, and one
// that asks for 4.7 times its cap for 6.5 s: 99% of what their caps allow is served.
func TestNearlyAllAllowedIsServed(t *testing.T) {
	c := qt.New(t)
	teams := []roseteam.Team{team("hot", 100, 100)}
	for _, r := range []float64{5, 12, 30, 80, 350} {
		teams = append(teams, team(fmt.Sprint("calm", r), r, r))
	}
	f := newFleet(1, usual, teams...)
	run := func(length time.Duration, hot float64) {
		for end := f.clock.now.Add(length); f.clock.now.Before(end); {
			f.advance()
			for n, team := range teams {
				times := 0.6
				if team.Name == "hot" {
					times = hot
				}
				f.offer(team.Name, times*team.Cap.Rate, 5*n)
			}
		}
	}
	check := func() {
		for _, team := range teams {
			asked, served, allowed := f.asked[team.Name], f.asked[team.Name]-f.refused[team.Name], f.meters[team.Name].allowed
			t.Logf("%s: %d asked, %d allowed, %d served", team.Name, asked, allowed, served)
			c.Check(float64(served) >= 0.99*float64(allowed), qt.IsTrue, qt.Commentf("%s: %d served of %d allowed", team.Name, served, allowed))
		}
		t.Logf("%d exchanges", f.exchanges)
	}
	run(20*time.Second, 0.6)
	f.resetCounts()
	run(300*time.Second, 0.6)
	check()
	f.resetCounts()
	run(6500*time.Millisecond, 4.7)
	check()
	c.Check(worstExcess(f.ran["hot"], *teams[0].Cap, usual) <= 0, qt.IsTrue)
}

// BenchmarkAdmit measures a check; it is to cost less than 200 ns and no allocation.
func BenchmarkAdmit(b *testing.B) {
	f := newFleet(1, usual, team("t", 1e9, 1e9))
	for range 100 {
		f.advance()
	}
	b.ReportAllocs()
	for b.Loop() {
		f.proxies[0].limiter.Admit("t")
	}
}

// TestCapHoldsInRepeatedRestarts has all hosts restart twice a second while the team asks for
// more than its cap: what earlier processes granted in the window counts.
func TestCapHoldsInRepeatedRestarts(t *testing.T) {
	c := qt.New(t)
	usage := roseteam.Cap{Rate: 350, Burst: 350}
	f := newFleet(1, usual, team("hot", usage.Rate, usage.Burst))
	f.run(10*time.Second, "hot", 5*usage.Rate)
	for range 30 {
		for _, p := range f.hosts {
			f.restart(p)
		}
		f.run(500*time.Millisecond, "hot", 5*usage.Rate)
	}
	c.Check(worstExcess(f.ran["hot"], usage, usual) <= 0, qt.IsTrue, qt.Commentf("%v operations above the bound", worstExcess(f.ran["hot"], usage, usual)))
}

// TestTokensEnd has a proxy stand still with tokens: they are void when it goes on.
func TestTokensEnd(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, usual, team("hot", 350, 350))
	p := f.proxies[0]
	for range 100 {
		f.advance()
		f.ask(p, "hot")
	}
	c.Assert(p.limiter.Shares()[0].Tokens > 0, qt.IsTrue)
	f.clock.now = f.clock.now.Add(300 * time.Millisecond)
	c.Check(p.limiter.Shares()[0].Tokens, qt.Equals, 0)
	_, ok := p.limiter.Begin("hot").Try()
	c.Check(ok, qt.IsFalse)
}

// TestReturnedToken gives a token back, which another operation may use until it ends.
func TestReturnedToken(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, usual, team("hot", 350, 350))
	limiter := f.proxies[0].limiter
	until := f.clock.now.Add(100 * time.Millisecond)
	limiter.Return("hot", until)
	before, _, ok := limiter.Admit("hot")
	c.Check(ok, qt.IsTrue)
	c.Check(before, qt.Equals, until)
	limiter.Return("hot", until)
	f.clock.now = until
	c.Check(limiter.Shares()[0].Tokens, qt.Equals, 0)
}

// TestUnlinkedHostIsAskedSoon has a proxy start that isn't linked to its hosts yet: they are
// asked again at once, unlike hosts that don't answer.
func TestUnlinkedHostIsAskedSoon(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, usual, team("hot", 350, 350))
	limiter := f.proxies[0].limiter
	none := func(rosemary.ProxyID) bool { return false }
	operation := limiter.Begin("hot")
	for range 20 {
		answered, ok := operation.Try()
		c.Assert(ok, qt.IsFalse)
		c.Assert(answered, qt.IsNotNil)
		for _, report := range limiter.Pending(none) {
			limiter.Unreachable(report)
		}
		f.clock.now = f.clock.now.Add(20 * time.Millisecond)
	}
	f.clock.now = f.clock.now.Add(100 * time.Millisecond)
	reports := limiter.Pending(none)
	c.Assert(reports, qt.HasLen, 1)
	limiter.Receive(reports[0], []int{1})
	_, ok := operation.Try()
	c.Check(ok, qt.IsTrue)
}

// TestStalledHostsAreAskedAgain has all hosts stand still for 500 ms while they are often
// asked: half a second later nothing is refused any more.
func TestStalledHostsAreAskedAgain(t *testing.T) {
	c := qt.New(t)
	var teams []roseteam.Team
	for n := range 30 {
		teams = append(teams, team(fmt.Sprint("t", n), 20, 20))
	}
	f := newFleet(1, usual, teams...)
	run := func(length time.Duration) {
		for end := f.clock.now.Add(length); f.clock.now.Before(end); {
			f.advance()
			for _, t := range teams {
				f.offerEvenly(t.Name, 10)
			}
		}
	}
	run(10 * time.Second)
	for _, p := range f.hosts {
		p.frozenUntil = f.clock.now.Add(500 * time.Millisecond)
	}
	run(900 * time.Millisecond)
	f.resetCounts()
	run(500 * time.Millisecond)
	c.Check(f.lost() <= 2, qt.IsTrue, qt.Commentf("%d lost", f.lost()))
}

// TestCutOffHostsAreSeldomAsked cuts a third of the hosts off for 10 s: a proxy asks each of
// them ever less often, as operations wait for the answer.
func TestCutOffHostsAreSeldomAsked(t *testing.T) {
	c := qt.New(t)
	var teams []roseteam.Team
	for n := range 30 {
		teams = append(teams, team(fmt.Sprint("t", n), 20, 20))
	}
	f := newFleet(1, usual, teams...)
	f.cutZone(0, 10*time.Second)
	p := f.proxies[1]
	asked := 0
	for end := f.clock.now.Add(10 * time.Second); f.clock.now.Before(end); {
		f.advance()
		for _, e := range p.exchanges {
			if f.cut(e.to) && e.endAt.Equal(f.clock.now.Add(60*time.Millisecond)) {
				asked++
			}
		}
		for _, t := range teams {
			f.offerEvenly(t.Name, 20)
		}
	}
	// Three hosts at most, at 0.2, 0.4, 0.8, 1.6 s and then each 2 s, after two questions each.
	c.Check(asked <= 3*(2+4+4), qt.IsTrue, qt.Commentf("%d questions to hosts that are cut off", asked))
}
