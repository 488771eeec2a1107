package rosefleet

import (
	"container/heap"
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
	// fullBackoff is how long a pool opens no connections after its target
	// rejected one because it had none left.
	fullBackoff = 100 * time.Millisecond
	// maxConnIdle is how long connections beyond half of the proxy's share may
	// stay idle.
	maxConnIdle = 2 * time.Second
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
}

// pool holds the connections to one target. rosedecision decides which requests
// wait, and in which order.
type pool struct {
	mu   sync.Mutex
	idle []*pooledConn
	open int
	// limit is the maximum of open connections; share is this proxy's share of
	// those that the target accepts.
	limit int
	share int
	// fullUntil is until when the pool opens no connections.
	fullUntil time.Time
	waiting   waiterHeap
	// queuedSince is since when the queue has been non-empty.
	queuedSince  time.Time
	sequence     uint64
	closed       bool
	meanHoldTime time.Duration
}

func newPool() *pool {
	return &pool{limit: 1, share: 1, meanHoldTime: initialHoldTime}
}

// waiter is a request that waits for a connection.
type waiter struct {
	turn  rosedecision.Turn
	index int
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

// take returns an idle connection, or the right to open one (nil, true), or a
// waiter. It prefers the connection that the request's session used last.
func (p *pool) take(request Request) (*pooledConn, bool, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil
	}
	if len(p.idle) > 0 {
		p.queuedSince = time.Time{}
		return p.popIdle(request.SessionID), true, nil
	}
	if p.mayOpen(0) {
		p.open++
		return nil, true, nil
	}
	if p.queuedSince.IsZero() {
		p.queuedSince = time.Now()
	}
	p.sequence++
	turn := rosedecision.Turn{Priority: request.Priority, Deadline: request.Deadline, SoftDeadline: request.SoftDeadline, Sequence: p.sequence}
	if !time.Now().Before(turn.SoftDeadline) {
		// The request was late before it was queued, so don't shed it for a
		// delay that isn't the queue's.
		turn.SoftDeadline = turn.Deadline
	}
	w := &waiter{turn: turn, granted: make(chan grant, 1)}
	heap.Push(&p.waiting, w)
	return nil, false, w
}

func (p *pool) popIdle(sessionID uint64) *pooledConn {
	index := len(p.idle) - 1
	for i := index; i >= 0; i-- {
		if p.idle[i].sessionID == sessionID {
			index = i
			break
		}
	}
	c := p.idle[index]
	p.idle = append(p.idle[:index], p.idle[index+1:]...)
	c.takenAt = time.Now()
	return c
}

// mayOpen reports whether another connection may be opened, with extra added to the
// limit. The lock must be held.
func (p *pool) mayOpen(extra int) bool {
	return p.open < p.limit+extra && !time.Now().Before(p.fullUntil)
}

// takeForControl returns an idle connection, or the right to open one, for a call
// that must not queue behind statements. It also reports whether the pool had open
// connections before.
func (p *pool) takeForControl() (c *pooledConn, ok, hadOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, false
	}
	hadOpen = p.open > 0
	if len(p.idle) > 0 {
		return p.popIdle(0), true, hadOpen
	}
	if p.mayOpen(1) {
		p.open++
		return nil, true, hadOpen
	}
	return nil, false, hadOpen
}

// abandon removes w from the queue, or passes on what it was granted.
func (p *pool) abandon(w *waiter) {
	p.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&p.waiting, w.index)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	g := <-w.granted
	switch {
	case g.conn != nil:
		p.put(g.conn)
	case g.ok:
		p.drop(nil)
	}
}

// put returns a reusable connection.
func (p *pool) put(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(time.Since(c.takenAt)-p.meanHoldTime))
	if p.closed || p.open > p.limit {
		c.conn.Close()
		p.open--
		return
	}
	if w := p.nextWaiter(); w != nil {
		c.takenAt = time.Now()
		w.granted <- grant{conn: c, ok: true}
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// trim closes connections beyond half of the share that have been idle for
// maxConnIdle. After a power failure, a target holds the connections of the failed
// proxies for some seconds, and until then the others can use only those left free.
func (p *pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open > max(p.share/2, 1) && len(p.idle) > 0 && time.Since(p.idle[0].idleSince) > maxConnIdle {
		p.idle[0].conn.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// drop closes a connection that may be broken, or returns the right to open one.
func (p *pool) drop(c *pooledConn) {
	if c != nil {
		c.conn.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.closed || !p.mayOpen(0) {
		return
	}
	if w := p.nextWaiter(); w != nil {
		p.open++
		w.granted <- grant{ok: true}
	}
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
	for !p.closed && p.mayOpen(0) {
		w := p.nextWaiter()
		if w == nil {
			return
		}
		p.open++
		w.granted <- grant{ok: true}
	}
}

// nextWaiter removes the next waiter from the queue. Under overload it sheds the
// waiters whose answer would come too late, so that the others are served in time.
func (p *pool) nextWaiter() *waiter {
	for len(p.waiting) > 0 {
		w := heap.Pop(&p.waiting).(*waiter)
		now := time.Now()
		if !w.turn.Shed(p.queue(now), now) {
			return w
		}
		w.granted <- grant{shed: true}
	}
	p.queuedSince = time.Time{}
	return nil
}

// flush closes the idle connections and has every waiter choose a target again.
func (p *pool) flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.conn.Close()
		p.open--
	}
	p.idle = nil
	for w := p.nextWaiter(); w != nil; w = p.nextWaiter() {
		w.granted <- grant{}
	}
}

// close flushes the pool, which from then on keeps no connections.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.flush()
}

func (p *pool) setLimits(share, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = max(share, 1)
	p.limit = max(limit, p.share)
}

// load returns the number of connections in use, of requests waiting and of
// connections allowed, and how long a connection is held on average.
func (p *pool) load() (inUse, waiting, limit int, holdTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle), len(p.waiting), p.limit, p.meanHoldTime
}

// admit estimates the wait of a new request, and reports whether it is worth queueing.
func (p *pool) admit(request Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	queue := p.queue(now)
	turn := rosedecision.Turn{Priority: request.Priority, Deadline: request.Deadline, Sequence: p.sequence + 1}
	for _, w := range p.waiting {
		if w.turn.Before(turn) {
			queue.Ahead++
		}
	}
	return queue.Wait(), queue.Admits(request.SoftDeadline, request.Deadline, now)
}

// queuedFor returns how long requests have queued without a pause.
func (p *pool) queuedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue(time.Now()).QueuedFor
}

// queue returns what is known of the queue at now, without a new request's place. The
// lock must be held.
func (p *pool) queue(now time.Time) rosedecision.Queue {
	queue := rosedecision.Queue{Idle: len(p.idle), Open: p.open, Limit: p.limit, HoldTime: p.meanHoldTime}
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
