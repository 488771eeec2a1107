package rosefleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
)

// minTeamRate is the rate of requests a second below which a team without connections is
// forgotten.
const minTeamRate = 0.002

// teamState is what a pool knows of a team.
type teamState struct {
	name string
	// open counts its connections, with those that are being opened, and idle those that
	// are idle.
	open, idle int
	uses       rosedecision.Rate
	share      rosedecision.TeamShare
	waiting    waiterHeap
	waits      TeamWaits
}

// needsOpening reports whether the team's next request needs a new connection. While the
// target is busy, a connection of the team that is in use is expected to be free by then.
func (t *teamState) needsOpening(busy bool) bool { return t.open == 0 || t.idle == 0 && !busy }

// team returns the state of a team. The lock must be held.
func (p *pool) team(name string) *teamState {
	t := p.teams[name]
	if t == nil {
		t = &teamState{name: name}
		p.teams[name] = t
	}
	return t
}

// recordRequest records a request of a team. The lock must be held.
func (p *pool) recordRequest(t *teamState, request Request, now time.Time) {
	t.uses = t.uses.WithEvent(now)
	t.share = t.share.WithPriority(request.TeamPriority)
	if p.waitingCount == 0 {
		p.virtual = p.virtual.WithIdle(now)
	}
}

// openTime estimates how long a connection takes to open for a team's next request; zero if
// it needs none, or if there are no teams.
func (p *pool) openTime(team string) time.Duration {
	if team == "" {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.teams[team]; t == nil || t.needsOpening(p.busy()) {
		return p.meanOpenTime
	}
	return 0
}

// idleConnection returns what is known of an idle connection. The lock must be held.
func (p *pool) idleConnection(c *pooledConn, now time.Time) rosedecision.IdleConnection {
	t := p.team(c.team)
	return rosedecision.IdleConnection{
		Need:      t.uses.Need(t.open, p.meanHoldTime, now),
		Reserved:  len(t.waiting) > 0 || c.team == "" && t.open == 1,
		IdleSince: c.idleSince,
	}
}

// leastNeeded returns the index of the idle connection that is given up first, -1 if there is
// none, leaving out those of one team. The lock must be held.
func (p *pool) leastNeeded(except *teamState, now time.Time) (int, rosedecision.IdleConnection) {
	index, least := -1, rosedecision.IdleConnection{}
	for i, c := range p.idle {
		if except != nil && c.team == except.name {
			continue
		}
		if connection := p.idleConnection(c, now); index < 0 || connection.ClosesBefore(least) {
			index, least = i, connection
		}
	}
	return index, least
}

// evict closes an idle connection for its place. The lock must be held.
func (p *pool) evict(index int, connection rosedecision.IdleConnection, cause string) {
	c := p.popIdle(index)
	p.counters.Evicted++
	klog.V(1).InfoS("idle connection closed for its place", "group", p.group, "target", p.target, "team", c.team, "why", cause,
		"needPerSecond", connection.Need, "idleFor", time.Since(connection.IdleSince), "open", p.open, "limit", p.limit, "waiting", p.waitingCount)
	p.discard(c)
}

// makeRoom closes idle connections of other teams for those that wait and need a new one. The
// lock must be held.
func (p *pool) makeRoom() {
	now := time.Now()
	if !p.multiTeam || p.closed || now.Before(p.fullUntil) {
		return
	}
	busy, needed := p.busy(), 0
	for _, t := range p.queued {
		if t.needsOpening(busy) {
			needed++
		}
	}
	needed = min(needed, p.maxOpening-p.opening) - (p.limit - p.open) - p.closing
	for ; needed > 0; needed-- {
		index, least := p.leastNeeded(nil, now)
		if index < 0 || busy && least.Reserved {
			return
		}
		p.evict(index, least, "another team waits")
	}
}

// makeRoomAhead closes an idle connection of another team when one has been opened in the last
// place, if that is expected to be needed soon. The lock must be held.
func (p *pool) makeRoomAhead(opener *teamState, now time.Time) {
	if !p.multiTeam || p.open < p.limit {
		return
	}
	p.shortOpenings = p.shortOpenings.WithEvent(now)
	if p.closing > 0 {
		return
	}
	index, least := p.leastNeeded(opener, now)
	if index >= 0 && least.MakesRoomAhead(p.shortOpenings.PerSecond(now)) {
		p.evict(index, least, "others are expected to need the place")
	}
}

// trim closes connections beyond half of the share that have been idle for
// maxConnIdle, unless their teams are expected to need them soon. After a power failure, a
// target holds the connections of the failed proxies for some seconds, and until then the
// others can use only those left free.
func (p *pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := 0; i < len(p.idle) && p.open-p.closing > max(p.share/2, 1) && now.Sub(p.idle[i].idleSince) > maxConnIdle; {
		if p.multiTeam && p.idleConnection(p.idle[i], now).NeededSoon() {
			i++
			continue
		}
		p.discard(p.popIdle(i))
	}
	for name, t := range p.teams {
		if t.open == 0 && len(t.waiting) == 0 && t.uses.PerSecond(now) < minTeamRate {
			p.counters.Forgotten = p.counters.Forgotten.plus(t.waits)
			delete(p.teams, name)
		}
	}
}
