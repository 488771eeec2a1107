// Package roseadmit controls admission of requests to a target by weighted fair
// queueing over tenants and classes. Queues are bounded and aware of deadlines;
// the limit of requests in flight adapts to the target's latency.
package roseadmit

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Flow is the unit of fair queueing: the requests of one tenant and class.
type Flow struct {
	Tenant string
	Class  string
	// Weight is the flow's relative share; values below one count as one.
	Weight int
}

// Config configures a Queue.
type Config struct {
	// MaxInFlight bounds the adaptive limit of requests in flight.
	MaxInFlight int
	// MaxQueued bounds the waiting requests of all flows; zero means 2048.
	MaxQueued int
	// MaxQueuedPerTenant bounds the waiting requests of one tenant; zero means a
	// quarter of MaxQueued.
	MaxQueuedPerTenant int
	// OnQueued is called when a request has to wait. It must not block.
	OnQueued func()
	// FirstInFirstOut serves requests in order of arrival instead of by fair
	// queueing; the load tool uses it as the baseline of its comparison.
	FirstInFirstOut bool
}

// Queue admits requests. Its methods may be called concurrently.
type Queue struct {
	mu              sync.Mutex
	config          Config
	limiter         limiter
	inFlight        int
	waiting         waiterHeap
	lastFinishTag   map[Flow]float64
	queuedPerTenant map[string]int
	virtualTime     float64
	lastSequence    uint64
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
		config:          config,
		limiter:         newLimiter(config.MaxInFlight),
		lastFinishTag:   make(map[Flow]float64),
		queuedPerTenant: make(map[string]int),
	}
}

// Ticket is the permission to run one request.
type Ticket struct {
	queue   *Queue
	class   string
	started time.Time
	once    sync.Once
}

// Acquire waits for a ticket. A request that is not expected to be served before
// ctx's deadline is refused immediately. The error is a *rosemary.Refusal of
// kind overloaded or deadline, and the request has not run.
func (q *Queue) Acquire(ctx context.Context, flow Flow) (*Ticket, error) {
	q.mu.Lock()
	if q.inFlight < q.limiter.current() && len(q.waiting) == 0 {
		q.inFlight++
		q.mu.Unlock()
		return q.ticket(flow), nil
	}
	if refusal := q.checkAdmission(ctx, flow); refusal != nil {
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

// checkAdmission returns a refusal if a bound is reached or the deadline can't be
// met, and nil otherwise. The lock is held.
func (q *Queue) checkAdmission(ctx context.Context, flow Flow) *rosemary.Refusal {
	wait := q.estimateWait(flow)
	if len(q.waiting) >= q.config.MaxQueued || q.queuedPerTenant[flow.Tenant] >= q.config.MaxQueuedPerTenant {
		return overloaded("the queue of the target is full", wait)
	}
	if deadline, ok := ctx.Deadline(); ok && wait > time.Until(deadline) {
		return overloaded("the expected wait for the target exceeds the deadline", wait)
	}
	return nil
}

// estimateWait estimates the wait of a new request of flow. The lock is held.
func (q *Queue) estimateWait(flow Flow) time.Duration {
	tag := q.finishTag(flow)
	ahead := 1
	for _, w := range q.waiting {
		if w.finishTag <= tag {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / float64(q.limiter.current()) * float64(q.limiter.latency()))
}

// finishTag returns the virtual finish time of a new request of flow. With
// FirstInFirstOut all tags are equal, so that waiters are served in order of
// arrival. The lock is held.
func (q *Queue) finishTag(flow Flow) float64 {
	if q.config.FirstInFirstOut {
		return q.virtualTime
	}
	return max(q.virtualTime, q.lastFinishTag[flow]) + 1/float64(max(flow.Weight, 1))
}

func (q *Queue) enqueue(flow Flow) *waiter {
	q.lastSequence++
	w := &waiter{flow: flow, finishTag: q.finishTag(flow), sequence: q.lastSequence, ready: make(chan struct{})}
	q.lastFinishTag[flow] = w.finishTag
	q.queuedPerTenant[flow.Tenant]++
	heap.Push(&q.waiting, w)
	return w
}

// abandon removes w from the queue, or releases the ticket that it was given
// meanwhile.
func (q *Queue) abandon(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		q.inFlight--
		q.dispatch()
	} else {
		heap.Remove(&q.waiting, w.index)
		q.afterRemoval(w)
	}
	return &rosemary.Refusal{
		Kind:       rosemary.KindDeadline,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    "the deadline expired while the request was queued for the target",
		Remedy:     "retry, or raise the deadline of the class",
		RetryAfter: q.limiter.latency(),
	}
}

// afterRemoval updates the state of the queue after w has left it. Virtual time
// restarts once the queue is empty. The lock is held.
func (q *Queue) afterRemoval(w *waiter) {
	q.queuedPerTenant[w.flow.Tenant]--
	if q.queuedPerTenant[w.flow.Tenant] == 0 {
		delete(q.queuedPerTenant, w.flow.Tenant)
	}
	if len(q.waiting) == 0 {
		clear(q.lastFinishTag)
		q.virtualTime = 0
	}
}

// dispatch admits the waiters with the smallest finish tags, as far as the limit
// allows. The lock is held.
func (q *Queue) dispatch() {
	for q.inFlight < q.limiter.current() && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*waiter)
		q.virtualTime = max(q.virtualTime, w.finishTag)
		q.afterRemoval(w)
		q.inFlight++
		close(w.ready)
	}
}

// Release returns the ticket. The latency of a served request adapts the limit;
// that of a failed one is ignored.
func (t *Ticket) Release(served bool) {
	t.once.Do(func() {
		q := t.queue
		q.mu.Lock()
		defer q.mu.Unlock()
		if served {
			q.limiter.observe(t.class, time.Since(t.started), q.inFlight)
		}
		q.inFlight--
		q.dispatch()
	})
}

// SetMaxInFlight changes the bound of the adaptive limit.
func (q *Queue) SetMaxInFlight(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.setMaxLimit(n)
	q.dispatch()
}

// Load is the utilization of a queue.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// MaxInFlight is the bound of the adaptive limit.
	MaxInFlight int
	// Latency is the moving average of the time from ticket to release.
	Latency time.Duration
}

// Load returns the current load of the queue.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{InFlight: q.inFlight, Queued: len(q.waiting), Limit: q.limiter.current(), MaxInFlight: q.limiter.maxLimit, Latency: q.limiter.latency()}
}

func overloaded(message string, wait time.Duration) *rosemary.Refusal {
	return &rosemary.Refusal{
		Kind:       rosemary.KindOverloaded,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    message,
		Remedy:     "retry later, or ask the operators to raise the weight of the tenant or class",
		RetryAfter: max(wait, time.Millisecond),
	}
}

type waiter struct {
	flow      Flow
	finishTag float64
	sequence  uint64
	index     int
	ready     chan struct{}
}

// waiterHeap orders waiters by finish tag, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a waiter; it is called by container/heap.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter; it is called by container/heap.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
