package rosefleet

import (
	"container/heap"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// holdWeight is the weight of a new holding time in the mean.
	holdWeight = 0.1
	// firstHold is assumed before any link was given back.
	firstHold = 20 * time.Millisecond
	// fullPause is how long a pool opens nothing after its target had no
	// connection left.
	fullPause = 100 * time.Millisecond
	// overloadAfter is how long requests have to have waited without a break
	// for the pool to count as overloaded.
	overloadAfter = 300 * time.Millisecond
	// linkRest is how long a link beyond half of the proxy's share may rest.
	linkRest = 2 * time.Second
)

// held is a link with what its last user left on it.
type held struct {
	link rosemary.Conn
	// memo is what the link's last user left on it.
	memo    any
	owner   uint64
	takenAt time.Time
	putAt   time.Time
}

// pool holds the links to one target. Waiting requests are ordered by
// priority, then by deadline.
type pool struct {
	mu   sync.Mutex
	idle []*held
	open int
	// limit bounds the links; share is this proxy's part of what its target
	// accepts.
	limit    int
	share    int
	fullTill time.Time
	waiting  waiterHeap
	// busySince is since when requests have waited without a break.
	busySince time.Time
	sequence  uint64
	closed    bool
	meanHold  time.Duration
}

func newPool() *pool {
	return &pool{limit: 1, share: 1, meanHold: firstHold}
}

// waiter is a request that waits for a link.
type waiter struct {
	priority int
	deadline time.Time
	// aim is when the answer should be there.
	aim      time.Time
	sequence uint64
	index    int
	// granted carries a link, or nil with the right to open one.
	granted chan grant
}

type grant struct {
	held *held
	ok   bool
	// shed is set for a request that is refused: the pool is overloaded, and
	// its answer would come too late.
	shed bool
}

// take returns an idle link, or the right to open one (nil, true), or a waiter.
// It prefers the link that owner used last.
func (p *pool) take(request Request) (*held, bool, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil
	}
	if len(p.idle) > 0 {
		p.busySince = time.Time{}
		return p.popIdle(request.Owner), true, nil
	}
	if p.mayOpen(0) {
		p.open++
		return nil, true, nil
	}
	if p.busySince.IsZero() {
		p.busySince = time.Now()
	}
	p.sequence++
	w := &waiter{
		priority: request.Priority, deadline: request.Deadline, aim: request.SoftDeadline, sequence: p.sequence,
		granted: make(chan grant, 1),
	}
	if !time.Now().Before(w.aim) {
		// Late before it came here, so the queue isn't what delays it.
		w.aim = w.deadline
	}
	heap.Push(&p.waiting, w)
	return nil, false, w
}

func (p *pool) popIdle(owner uint64) *held {
	at := len(p.idle) - 1
	for i := at; i >= 0; i-- {
		if p.idle[i].owner == owner {
			at = i
			break
		}
	}
	h := p.idle[at]
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	h.takenAt = time.Now()
	return h
}

// mayOpen reports whether another link may be opened. The lock is held.
func (p *pool) mayOpen(beyond int) bool {
	return p.open < p.limit+beyond && !time.Now().Before(p.fullTill)
}

// takeForControl returns an idle link, or the right to open one, for a call
// that must not wait behind statements. It reports whether there are others.
func (p *pool) takeForControl() (h *held, ok, others bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, false
	}
	others = p.open > 0
	if len(p.idle) > 0 {
		return p.popIdle(0), true, others
	}
	if p.mayOpen(1) {
		p.open++
		return nil, true, others
	}
	return nil, false, others
}

// abandon takes w out of the queue, or passes on what it was granted.
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
	case g.held != nil:
		p.put(g.held)
	case g.ok:
		p.drop(nil)
	}
}

// put gives back a link in good order.
func (p *pool) put(h *held) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanHold += time.Duration(holdWeight * float64(time.Since(h.takenAt)-p.meanHold))
	if p.closed || p.open > p.limit {
		h.link.Close()
		p.open--
		return
	}
	if w := p.next(); w != nil {
		h.takenAt = time.Now()
		w.granted <- grant{held: h, ok: true}
		return
	}
	h.putAt = time.Now()
	p.idle = append(p.idle, h)
}

// trim closes links beyond half of the share that have rested: after a loss of
// power a target holds the connections of the dead for seconds, and only what
// was left free serves meanwhile.
func (p *pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open > max(p.share/2, 1) && len(p.idle) > 0 && time.Since(p.idle[0].putAt) > linkRest {
		p.idle[0].link.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// drop gives back a link in doubt, or the right to open one.
func (p *pool) drop(h *held) {
	if h != nil {
		h.link.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.closed || !p.mayOpen(0) {
		return
	}
	if w := p.next(); w != nil {
		p.open++
		w.granted <- grant{ok: true}
	}
}

// full records that the target has no connection left for this pool.
func (p *pool) full() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.fullTill) {
		return
	}
	p.fullTill = time.Now().Add(fullPause)
	time.AfterFunc(fullPause, p.reopen)
}

// reopen lets waiters open links again.
func (p *pool) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && p.mayOpen(0) {
		w := p.next()
		if w == nil {
			return
		}
		p.open++
		w.granted <- grant{ok: true}
	}
}

// next takes the next waiter off the queue. Under overload those whose answer
// would come too late are refused on the way, so that the others' comes in
// time.
func (p *pool) next() *waiter {
	for len(p.waiting) > 0 {
		w := heap.Pop(&p.waiting).(*waiter)
		if !p.overloaded() || time.Now().Before(w.aim) {
			return w
		}
		w.granted <- grant{shed: true}
	}
	p.busySince = time.Time{}
	return nil
}

// overloaded reports whether requests have waited for so long that the queue
// isn't a passing burst. The lock is held.
func (p *pool) overloaded() bool {
	return !p.busySince.IsZero() && time.Since(p.busySince) > overloadAfter
}

// flush closes idle links and sends every waiter away to choose again.
func (p *pool) flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.idle {
		h.link.Close()
		p.open--
	}
	p.idle = nil
	for w := p.next(); w != nil; w = p.next() {
		w.granted <- grant{}
	}
}

// close flushes the pool for good.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.flush()
}

func (p *pool) setLimit(share, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = max(share, 1)
	p.limit = max(limit, p.share)
}

// load tells how many links are in use, how many requests wait for one, how
// many there may be, and how long one is held.
func (p *pool) load() (inUse, waiting, limit int, hold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle), len(p.waiting), p.limit, p.meanHold
}

// admit estimates the wait of a new request, and reports whether it is worth
// its while: until the deadline, or under overload until its aim.
func (p *pool) admit(request Request) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := p.predict(request.Priority)
	limit := request.Deadline
	if p.overloaded() && time.Now().Before(request.SoftDeadline) {
		limit = request.SoftDeadline
	}
	return wait, wait <= time.Until(limit)
}

// predict estimates the wait of a new request of that priority. The lock is
// held.
func (p *pool) predict(priority int) time.Duration {
	if len(p.idle) > 0 || p.open < p.limit {
		return 0
	}
	ahead := 1
	for _, w := range p.waiting {
		if w.priority <= priority {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / float64(p.limit) * float64(p.meanHold))
}

// waiterHeap orders waiters by priority, then by deadline.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.sequence < b.sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a waiter; it serves container/heap.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter; it serves container/heap.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
