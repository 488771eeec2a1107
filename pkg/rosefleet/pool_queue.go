package rosefleet

import (
	"container/heap"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
)

// waiter is a request that waits for a connection.
type waiter struct {
	team      *teamState
	sessionID uint64
	turn      rosedecision.Turn
	queuedAt  time.Time
	index     int
	// granted receives a connection, or the right to open one.
	granted chan grant
}

// grant ends the wait of a waiter. Without ok the waiter gets nothing, and has to
// choose a target again unless it is shed.
type grant struct {
	conn *pooledConn
	ok   bool
	// shed is set for a request that is refused because the pool is overloaded
	// and the answer would come too late.
	shed bool
}

// enqueue adds a request to the queue of its team. The lock must be held.
func (p *pool) enqueue(t *teamState, request Request, now time.Time) *waiter {
	if p.queuedSince.IsZero() {
		p.queuedSince = now
	}
	p.sequence++
	turn := rosedecision.Turn{Priority: request.Priority, Deadline: request.Deadline, SoftDeadline: request.SoftDeadline, Sequence: p.sequence}
	if !now.Before(turn.SoftDeadline) {
		// The request was late before it was queued, so don't shed it for a
		// delay that isn't the queue's.
		turn.SoftDeadline = turn.Deadline
	}
	if len(t.waiting) == 0 {
		p.queued = append(p.queued, t)
		t.share = t.share.WithQueued(p.virtual)
	}
	w := &waiter{team: t, sessionID: request.SessionID, turn: turn, queuedAt: now, granted: make(chan grant, 1)}
	heap.Push(&t.waiting, w)
	p.waitingCount++
	return w
}

// removeWaiter removes a waiting request from its queue. The lock must be held.
func (p *pool) removeWaiter(w *waiter, now time.Time) {
	t := w.team
	heap.Remove(&t.waiting, w.index)
	p.waitingCount--
	t.waits = t.waits.with(now.Sub(w.queuedAt))
	if len(t.waiting) == 0 {
		index := slices.Index(p.queued, t)
		p.queued = slices.Delete(p.queued, index, index+1)
	}
}

// abandon removes w from the queue, or passes on what it was granted.
func (p *pool) abandon(w *waiter) {
	p.mu.Lock()
	if w.index >= 0 {
		p.removeWaiter(w, time.Now())
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	g := <-w.granted
	switch {
	case g.conn != nil:
		p.put(g.conn)
	case g.ok:
		p.releaseOpening(w.team.name, false)
	}
}

// dispatch grants connections to waiting requests while there are any. The lock must be
// held.
func (p *pool) dispatch() {
	if p.waitingCount == 0 {
		p.queuedSince = time.Time{}
		return
	}
	now := time.Now()
	for !p.closed && !p.busy() {
		t := p.nextTeam()
		if t == nil {
			break
		}
		start := t.share.Start()
		w := p.nextWaiter(t)
		if w == nil {
			continue
		}
		c, _ := p.claim(t, w.sessionID, now)
		t.share = t.share.WithServed(p.expectedHold(c))
		p.virtual = p.virtual.WithServed(start, now)
		w.granted <- grant{conn: c, ok: true}
	}
	p.makeRoom()
}

// dispatchAfterClose grants the place of a closed connection to waiting requests. The lock
// must be held.
func (p *pool) dispatchAfterClose() {
	if !p.closed && (p.multiTeam || p.mayOpen(0)) {
		p.dispatch()
	}
}

// nextTeam returns the team whose turn it is, of those that wait and can be served now; nil
// if there is none. The lock must be held.
func (p *pool) nextTeam() *teamState {
	mayOpen := p.mayOpenNow()
	var next *teamState
	var first rosedecision.TeamTurn
	for _, t := range p.queued {
		if t.idle == 0 && !mayOpen {
			continue
		}
		head := t.waiting[0].turn
		turn := rosedecision.TeamTurn{Start: t.share.Start(), RoutePriority: head.Priority, Sequence: head.Sequence}
		if t.idle == 0 && t.open > 0 {
			turn.OpenTime = p.meanOpenTime
		}
		if next == nil || turn.Before(first) {
			next, first = t, turn
		}
	}
	return next
}

// nextWaiter removes the next waiter of a team from the queue. Under overload it sheds the
// waiters whose answer would come too late, so that the others are served in time.
func (p *pool) nextWaiter(t *teamState) *waiter {
	now := time.Now()
	for len(t.waiting) > 0 {
		w := t.waiting[0]
		p.removeWaiter(w, now)
		if !w.turn.Shed(p.queue(now), now) {
			return w
		}
		w.granted <- grant{shed: true}
	}
	if p.waitingCount == 0 {
		p.queuedSince = time.Time{}
	}
	return nil
}

// admit estimates the wait of a new request, and reports whether it is worth queueing.
func (p *pool) admit(request Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	queue := p.queue(now)
	turn := rosedecision.Turn{Priority: request.Priority, Deadline: request.Deadline, Sequence: p.sequence + 1}
	t := p.teams[request.Team]
	if t == nil {
		t = &teamState{}
	}
	for _, w := range t.waiting {
		if w.turn.Before(turn) {
			queue.Ahead++
		}
	}
	if p.multiTeam || request.Team != "" {
		if t.needsOpening(p.busy()) {
			queue.OpenTime = p.meanOpenTime
		}
		start := t.share.After(p.virtual, p.meanHoldTime, queue.Ahead)
		for _, other := range p.queued {
			if other != t {
				queue.Ahead += other.share.Ahead(start, p.meanHoldTime, len(other.waiting))
			}
		}
	}
	return queue.Wait(), queue.Admits(request.SoftDeadline, request.Deadline, now)
}

// queue returns what is known of the queue at now, without a new request's place. The
// lock must be held.
func (p *pool) queue(now time.Time) rosedecision.Queue {
	queue := rosedecision.Queue{Idle: len(p.idle), Open: p.open, Limit: p.limit, HoldTime: p.meanHoldTime}
	if p.multiTeam {
		queue.Idle, queue.Open, queue.Limit = 0, p.inUse(), p.maxInUse
	}
	if !p.queuedSince.IsZero() {
		queue.QueuedFor = now.Sub(p.queuedSince)
	}
	return queue
}

// waiterHeap orders waiters by their turns.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool { return h[i].turn.Before(h[j].turn) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
