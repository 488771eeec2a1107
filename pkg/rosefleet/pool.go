package rosefleet

import (
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// holdTimeWeight is the weight of a new hold time in the moving average.
	holdTimeWeight = 0.1
	// initialHoldTime is assumed until a connection has been returned.
	initialHoldTime = 20 * time.Millisecond
	// openTimeWeight is the weight of the time that a connection took to open in the moving
	// average.
	openTimeWeight = 0.1
	// initialOpenTime is assumed until a connection has been opened.
	initialOpenTime = 10 * time.Millisecond
	// fullBackoff is how long a pool opens no connections after its target
	// rejected one because it had none left.
	fullBackoff = 100 * time.Millisecond
	// maxConnIdle is how long connections beyond half of the proxy's share may
	// stay idle.
	maxConnIdle = 2 * time.Second
	// closeDelay is how long a target may still count a connection that was closed.
	closeDelay = 5 * time.Millisecond
)

// pooledConn is a connection with its bookkeeping.
type pooledConn struct {
	conn rosemary.Conn
	// team is the team in whose name the connection was opened.
	team string
	// sessionState is the state set by the connection's last user.
	sessionState any
	sessionID    uint64
	takenAt      time.Time
	idleSince    time.Time
	// expected is how long the request that uses the connection was expected to hold it.
	expected time.Duration
	// lent is set while a control call uses a connection that it didn't open.
	lent bool
	// resting is set between the statements of a transaction, held is how long the
	// connection was in use before.
	resting bool
	held    time.Duration
}

// pool holds the connections to one target. rosedecision decides which requests
// wait, and in which order, and which connections are closed for others. Requests
// without a team count as those of a team without a name.
type pool struct {
	// group and target are for logs.
	group  string
	target rosemary.TargetID

	mu sync.Mutex
	// idle holds the idle connections, the least recently used first.
	idle []*pooledConn
	// open counts the connections, with those that are being opened, with those that the
	// target may not have seen closed, and with those that rest in a transaction.
	open, opening, closing, resting int
	// limit is the maximum of open connections, maxInUse that of connections in use and
	// maxOpening that of connections opened at once; share is this proxy's share of
	// those that the target accepts.
	limit, maxInUse, maxOpening int
	share                       int
	// fullUntil is until when the pool opens no connections.
	fullUntil time.Time
	// teams holds the teams with connections, waiting requests or recent use.
	teams map[string]*teamState
	// queued holds those with waiting requests, of which there are waitingCount.
	queued       []*teamState
	waitingCount int
	// multiTeam is set once a request has named a team.
	multiTeam bool
	virtual   rosedecision.VirtualTime
	// queuedSince is since when the queue has been non-empty.
	queuedSince  time.Time
	sequence     uint64
	closed       bool
	meanHoldTime time.Duration
	meanOpenTime time.Duration
	// shortOpenings is the rate of openings for which there was no free place or took the
	// last one.
	shortOpenings rosedecision.Rate
	counters      ConnCounters
}

func newPool() *pool {
	return &pool{
		limit: 1, maxInUse: 1, maxOpening: 1, share: 1, meanHoldTime: initialHoldTime, meanOpenTime: initialOpenTime,
		teams: make(map[string]*teamState),
	}
}

// inUse returns the number of connections in use. The lock must be held.
func (p *pool) inUse() int { return p.open - p.closing - p.resting - len(p.idle) }

// busy reports whether as many connections are in use as allowed. The lock must be held.
func (p *pool) busy() bool { return p.maxInUse < p.limit && p.inUse() >= p.maxInUse }

// take returns an idle connection, or the right to open one (nil, true), or a
// waiter. It prefers the connection that the request's session used last.
func (p *pool) take(request Request) (*pooledConn, bool, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil
	}
	now := time.Now()
	t := p.team(request.Team)
	p.multiTeam = p.multiTeam || request.Team != ""
	if p.multiTeam {
		p.recordRequest(t, request, now)
	}
	// A place to open a connection goes to the team whose turn it is.
	if t.idle > 0 || !p.multiTeam || p.waitingCount == 0 {
		if c, ok := p.claim(t, request.SessionID, now); ok {
			if p.multiTeam {
				t.share = t.share.WithServedAtOnce(p.virtual, p.expectedHold(c))
			}
			if c != nil && p.waitingCount == 0 {
				p.queuedSince = time.Time{}
			}
			return c, true, nil
		}
	}
	w := p.enqueue(t, request, now)
	if p.multiTeam {
		p.dispatch()
	}
	return nil, false, w
}

// claim returns an idle connection of a team, or the right to open one. The lock must be held.
func (p *pool) claim(t *teamState, sessionID uint64, now time.Time) (*pooledConn, bool) {
	if p.busy() {
		return nil, false
	}
	if t.idle > 0 {
		c := p.popIdle(p.idleIndex(t, sessionID))
		c.takenAt, c.held, c.expected = now, 0, p.expectedHold(c)
		return c, true
	}
	if !p.mayOpenNow() {
		return nil, false
	}
	p.countOpening(t)
	p.makeRoomAhead(t, now)
	return nil, true
}

// idleIndex returns the index of the idle connection of a team that the session used last, or
// else of the one that the team used last; -1 if it has none.
func (p *pool) idleIndex(t *teamState, sessionID uint64) int {
	index := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].team != t.name {
			continue
		}
		if p.idle[i].sessionID == sessionID {
			return i
		}
		if index < 0 {
			index = i
		}
	}
	return index
}

func (p *pool) popIdle(index int) *pooledConn {
	c := p.idle[index]
	p.idle = append(p.idle[:index], p.idle[index+1:]...)
	p.team(c.team).idle--
	return c
}

// pushIdle adds an idle connection. A control call doesn't count as a use.
func (p *pool) pushIdle(c *pooledConn, now time.Time) {
	p.team(c.team).idle++
	if !c.lent || !p.multiTeam {
		c.idleSince = now
	}
	c.lent = false
	p.idle = append(p.idle, c)
	for i := len(p.idle) - 1; i > 0 && c.idleSince.Before(p.idle[i-1].idleSince); i-- {
		p.idle[i], p.idle[i-1] = p.idle[i-1], p.idle[i]
	}
}

// mayOpen reports whether another connection may be opened, with extra added to the
// limit. The lock must be held.
func (p *pool) mayOpen(extra int) bool {
	return p.open < p.limit+extra && !time.Now().Before(p.fullUntil)
}

// mayOpenNow reports whether a request may open a connection. The lock must be held.
func (p *pool) mayOpenNow() bool {
	return p.mayOpen(0) && (!p.multiTeam || p.opening < p.maxOpening)
}

func (p *pool) countOpening(t *teamState) {
	p.open++
	p.opening++
	t.open++
}

// expectedHold estimates how long a request holds its connection, nil for a new one.
func (p *pool) expectedHold(c *pooledConn) time.Duration {
	if c == nil {
		return p.meanHoldTime + p.meanOpenTime
	}
	return p.meanHoldTime
}

// opened records that a connection which the pool has granted was opened.
func (p *pool) opened(c *pooledConn, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.counters.Opened++
	p.meanOpenTime += time.Duration(openTimeWeight * float64(c.takenAt.Sub(started)-p.meanOpenTime))
	c.expected = p.expectedHold(nil)
	if p.multiTeam {
		c.takenAt = started
		p.dispatch()
	}
}

// releaseOpening returns the right to open a connection. If the target is unreachable, all
// teams' waiters choose a target again; without teams, as many as allowed try to open one.
func (p *pool) releaseOpening(team string, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.opening--
	p.team(team).open--
	if unreachable && p.multiTeam {
		p.releaseQueued()
		return
	}
	p.dispatchAfterClose()
}

// takeForControl returns an idle connection of any team, or the right to open one, for a
// call that must not queue behind statements. It also reports whether the pool had open
// connections before.
func (p *pool) takeForControl() (c *pooledConn, ok, hadOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, false
	}
	hadOpen = p.open > p.closing
	if len(p.idle) > 0 {
		index := p.idleIndex(p.team(""), 0)
		if index < 0 {
			index = len(p.idle) - 1
		}
		c = p.popIdle(index)
		c.takenAt, c.held, c.lent = time.Now(), 0, true
		return c, true, hadOpen
	}
	if p.mayOpen(1) {
		p.countOpening(p.team(""))
		return nil, true, hadOpen
	}
	return nil, false, hadOpen
}

// put returns a reusable connection.
func (p *pool) put(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	held := p.endUse(c, now)
	if !c.lent || !p.multiTeam {
		p.meanHoldTime += time.Duration(holdTimeWeight * float64(held-p.meanHoldTime))
	}
	if !c.lent && p.multiTeam {
		t := p.team(c.team)
		t.share = t.share.WithActual(p.virtual, held, c.expected)
	}
	if p.closed || p.open-p.closing > p.limit {
		p.discard(c)
		if p.multiTeam {
			p.dispatch()
		}
		return
	}
	p.pushIdle(c, now)
	p.dispatch()
}

// drop closes a connection that may be broken.
func (p *pool) drop(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endUse(c, time.Now())
	p.discard(c)
	p.dispatchAfterClose()
}

// endUse returns how long a connection was in use, without the time that it rested.
func (p *pool) endUse(c *pooledConn, now time.Time) time.Duration {
	if c.resting {
		c.resting = false
		p.resting--
		return c.held
	}
	return c.held + now.Sub(c.takenAt)
}

// rest records that the transaction on a connection waits for its client. With teams, its
// place at the target goes to other requests meanwhile.
func (p *pool) rest(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.multiTeam || c.resting {
		return
	}
	c.held += time.Since(c.takenAt)
	c.resting = true
	p.resting++
	p.dispatch()
}

// resume records that the transaction on a connection goes on. It doesn't wait for a place,
// as it holds locks that others may wait for.
func (p *pool) resume(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.resting {
		c.resting = false
		p.resting--
		c.takenAt = time.Now()
	}
}

// discard closes a connection that isn't idle. With teams, which compete for its place, the
// place is free once the target has seen that. The lock must be held.
func (p *pool) discard(c *pooledConn) {
	c.conn.Close()
	p.team(c.team).open--
	if !p.multiTeam || p.closed {
		p.open--
		return
	}
	p.closing++
	time.AfterFunc(closeDelay, p.freePlace)
}

// freePlace ends the time in which the target may count a closed connection.
func (p *pool) freePlace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.closing--
	p.dispatch()
}

// markFull records that the target has no connection left for this pool.
func (p *pool) markFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.fullUntil) {
		return
	}
	p.fullUntil = time.Now().Add(fullBackoff)
	time.AfterFunc(fullBackoff, p.reopen)
}

// reopen lets waiters open connections again.
func (p *pool) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
	if p.waitingCount == 0 && p.mayOpen(0) {
		p.queuedSince = time.Time{}
	}
}

// flush closes the idle connections and has every waiter choose a target again.
func (p *pool) flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.discard(p.popIdle(0))
	}
	p.releaseQueued()
}

// releaseQueued grants nothing to every waiter. The lock must be held.
func (p *pool) releaseQueued() {
	for len(p.queued) > 0 {
		if w := p.nextWaiter(p.queued[0]); w != nil {
			w.granted <- grant{}
		}
	}
	p.queuedSince = time.Time{}
}

// close flushes the pool, which from then on keeps no connections.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.flush()
}

// setLimits sets the limits of the connections to a target with that many slots; zero if
// unknown.
func (p *pool) setLimits(limits ConnLimits, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = max(limits.Share, 1)
	p.limit = max(limits.Max, p.share)
	p.maxInUse = p.limit
	if limits.MaxInUse > 0 {
		p.maxInUse = min(limits.MaxInUse, p.limit)
	}
	p.maxOpening = max(slots, 1)
	if !p.multiTeam || p.closed {
		return
	}
	for p.open-p.closing > p.limit && len(p.idle) > 0 {
		index, least := p.leastNeeded(nil, time.Now())
		p.evict(index, least, "the limit was lowered")
	}
	p.dispatch()
}

// load returns the number of connections in use, of requests waiting and of
// connections that may be in use, and how long a connection is held on average.
func (p *pool) load() (inUse, waiting, limit int, holdTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse(), p.waitingCount, p.maxInUse, p.meanHoldTime
}

// queuedFor returns how long requests have queued without a pause.
func (p *pool) queuedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue(time.Now()).QueuedFor
}
