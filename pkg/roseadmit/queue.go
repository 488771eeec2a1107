// Package roseadmit decides whose statement runs next on a scarce target:
// weighted fair queueing over tenants and classes, bounded and aware of
// deadlines, under an in-flight limit that adapts to the target's latency.
package roseadmit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Flow is a stream of requests that shares one weight.
type Flow struct {
	Tenant string
	Class  string
	// Weight is the flow's share; values below one count as one.
	Weight int
}

// Config sets up a Queue.
type Config struct {
	// MaxInFlight is the most requests in flight; the adaptive limit stays
	// at or below it.
	MaxInFlight int
	// MaxQueued bounds the requests that wait, over all flows.
	MaxQueued int
	// MaxQueuedPerTenant bounds the waiting requests of one tenant.
	MaxQueuedPerTenant int
	// OnQueued is told that a request has to wait. It must not block.
	OnQueued func()
	// FirstInFirstOut replaces fair queueing; it is the baseline that the
	// load tool compares with.
	FirstInFirstOut bool
}

// Queue admits requests. Its methods may be called concurrently.
type Queue struct {
	mu       sync.Mutex
	config   Config
	limit    limiter
	inFlight int
	waiting  waiterHeap
	perFlow  map[Flow]float64
	perOwner map[string]int
	virtual  float64
	sequence uint64
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	config.MaxInFlight = max(config.MaxInFlight, 1)
	if config.MaxQueued == 0 {
		config.MaxQueued = 2048
	}
	if config.MaxQueuedPerTenant == 0 {
		config.MaxQueuedPerTenant = config.MaxQueued / 4
	}
	return &Queue{
		config:   config,
		limit:    newLimiter(config.MaxInFlight),
		perFlow:  make(map[Flow]float64),
		perOwner: make(map[string]int),
	}
}

// Ticket is the right to run one request.
type Ticket struct {
	queue   *Queue
	class   string
	started time.Time
	once    sync.Once
}

// Acquire waits for a ticket. A request that can't be served before ctx's
// deadline is refused at once; the error is a *rosemary.Refusal of kind
// overloaded or deadline, and the request has not run.
func (q *Queue) Acquire(ctx context.Context, flow Flow) (*Ticket, error) {
	q.mu.Lock()
	if q.inFlight < q.limit.current() && len(q.waiting) == 0 {
		q.inFlight++
		q.mu.Unlock()
		return q.ticket(flow), nil
	}
	if refusal := q.refuse(ctx, flow); refusal != nil {
		q.mu.Unlock()
		return nil, refusal
	}
	w := q.enqueue(flow)
	q.mu.Unlock()
	if q.config.OnQueued != nil {
		q.config.OnQueued()
	}
	select {
	case <-w.ready:
		return q.ticket(flow), nil
	case <-ctx.Done():
		return nil, q.abandon(w)
	}
}

func (q *Queue) ticket(flow Flow) *Ticket {
	return &Ticket{queue: q, class: flow.Class, started: time.Now()}
}

// refuse returns a refusal when the bounds or the deadline can't be met. The
// lock is held.
func (q *Queue) refuse(ctx context.Context, flow Flow) *rosemary.Refusal {
	wait := q.predict(flow)
	if len(q.waiting) >= q.config.MaxQueued || q.perOwner[flow.Tenant] >= q.config.MaxQueuedPerTenant {
		return overloaded("the queue of the target is full", wait)
	}
	if deadline, ok := ctx.Deadline(); ok && wait > time.Until(deadline) {
		return overloaded("the wait for the target would pass the deadline", wait)
	}
	return nil
}

// predict estimates the wait of a new request of flow. The lock is held.
func (q *Queue) predict(flow Flow) time.Duration {
	tag := q.tag(flow)
	ahead := 1
	for _, w := range q.waiting {
		if w.tag <= tag {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / float64(q.limit.current()) * float64(q.limit.latency()))
}

// tag returns the finish tag of a new request of flow. The lock is held.
func (q *Queue) tag(flow Flow) float64 {
	if q.config.FirstInFirstOut {
		return q.virtual
	}
	return max(q.virtual, q.perFlow[flow]) + 1/float64(max(flow.Weight, 1))
}

func (q *Queue) enqueue(flow Flow) *waiter {
	q.sequence++
	w := &waiter{flow: flow, tag: q.tag(flow), sequence: q.sequence, ready: make(chan struct{})}
	q.perFlow[flow] = w.tag
	q.perOwner[flow.Tenant]++
	heap.Push(&q.waiting, w)
	return w
}

// abandon takes w out of the queue, or gives back the ticket that it got.
func (q *Queue) abandon(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		q.inFlight--
		q.dispatch()
	} else {
		heap.Remove(&q.waiting, w.index)
		q.forget(w)
	}
	return &rosemary.Refusal{
		Kind:       rosemary.KindDeadline,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    "the deadline passed while the request waited for the target",
		Remedy:     "retry, or raise the class's deadline",
		RetryAfter: q.limit.latency(),
	}
}

func (q *Queue) forget(w *waiter) {
	q.perOwner[w.flow.Tenant]--
	if q.perOwner[w.flow.Tenant] == 0 {
		delete(q.perOwner, w.flow.Tenant)
	}
	if len(q.waiting) == 0 {
		clear(q.perFlow)
		q.virtual = 0
	}
}

// dispatch hands free places to the waiters with the least tags. The lock is
// held.
func (q *Queue) dispatch() {
	for q.inFlight < q.limit.current() && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*waiter)
		q.virtual = max(q.virtual, w.tag)
		q.forget(w)
		q.inFlight++
		close(w.ready)
	}
}

// Release gives the ticket back. A served request teaches the limit its
// latency; a failed one doesn't.
func (t *Ticket) Release(served bool) {
	t.once.Do(func() {
		q := t.queue
		q.mu.Lock()
		defer q.mu.Unlock()
		if served {
			q.limit.observe(t.class, time.Since(t.started), q.inFlight)
		}
		q.inFlight--
		q.dispatch()
	})
}

// SetMaxInFlight changes the bound on requests in flight.
func (q *Queue) SetMaxInFlight(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit.setMax(n)
	q.dispatch()
}

// Load tells how busy the queue is.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// Max is the bound that the adaptive limit stays at or below.
	MaxInFlight int
	// Latency is the mean time from ticket to release.
	Latency time.Duration
}

// Load returns the queue's load now.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{InFlight: q.inFlight, Queued: len(q.waiting), Limit: q.limit.current(), MaxInFlight: q.limit.most, Latency: q.limit.latency()}
}

func overloaded(message string, wait time.Duration) *rosemary.Refusal {
	return &rosemary.Refusal{
		Kind:       rosemary.KindOverloaded,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    message,
		Remedy:     "retry later, or ask the operators for a larger share",
		RetryAfter: max(wait, time.Millisecond),
	}
}

type waiter struct {
	flow     Flow
	tag      float64
	sequence uint64
	index    int
	ready    chan struct{}
}

// waiterHeap orders waiters by tag, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].sequence < h[j].sequence
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
