package roserelay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// ServerConfig sets up a Server.
type ServerConfig struct {
	// Executor runs what other proxies order.
	Executor rosecaller.Executor
}

// Server runs tasks for other proxies. Its methods may be called concurrently.
type Server struct {
	config  ServerConfig
	context context.Context
	cancel  context.CancelFunc
	// owners gives each link's sessions numbers of their own.
	owners atomic.Uint64

	mu    sync.Mutex
	drain rosecaller.DrainDeadlines
	links map[*served]struct{}
}

// orphanLimit is how long a transaction stays open without a sign of life of
// its proxy, as long as a target keeps one whose connection is silent.
const orphanLimit = 3 * time.Second

// served is one link of another proxy.
type served struct {
	server *Server
	conn   *websocket.Conn
	owners uint64

	mu           sync.Mutex
	heardAt      time.Time
	running      int
	transactions map[uint64]*transaction
	// forgotten holds begins whose proxy has given up before they had a
	// result.
	forgotten map[uint64]bool
}

// transaction is one that a proxy has open here.
type transaction struct {
	rosecaller.Transaction
	// mu is held while a statement runs.
	mu sync.Mutex
	// expired is set once a drain has rolled the transaction back.
	expired bool
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{config: config, context: ctx, cancel: cancel, links: make(map[*served]struct{})}
}

// ServeHTTP serves one link until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		klog.InfoS("link of a proxy not accepted", "err", roselog.Err(err))
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	l := &served{server: s, conn: conn, owners: s.owners.Add(1) << 32, transactions: make(map[uint64]*transaction), forgotten: make(map[uint64]bool)}
	ctx, cancel := context.WithCancel(s.context)
	defer cancel()
	s.mu.Lock()
	s.links[l] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.links, l)
		s.mu.Unlock()
		conn.CloseNow()
		l.rollBack()
	}()
	go l.watch(ctx)
	l.serve(ctx)
}

// SetDrain ends the transactions that other proxies have open here at the
// drain's time, and refuses new ones from now on.
func (s *Server) SetDrain(drain rosecaller.DrainDeadlines) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain = drain
	if !drain.OpenTransactions.IsZero() {
		time.AfterFunc(time.Until(drain.OpenTransactions), s.expire)
	}
}

// expire rolls back what is open, each after the statement that it runs.
func (s *Server) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.mu.Lock()
		for _, t := range l.transactions {
			go t.expire()
		}
		l.mu.Unlock()
	}
}

func (t *transaction) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Rollback()
	t.expired = true
}

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drain.OpenTransactions.IsZero()
}

// Wait returns once nothing is under way for other proxies, or ctx ends.
func (s *Server) Wait(ctx context.Context) {
	ticker := time.NewTicker(waitTick)
	defer ticker.Stop()
	for s.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// waitTick separates looks at whether a server is still busy.
const waitTick = 20 * time.Millisecond

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.mu.Lock()
		busy := l.running > 0
		for _, t := range l.transactions {
			busy = busy || !t.over()
		}
		l.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

// over reports whether a transaction was rolled back by a drain.
func (t *transaction) over() bool {
	if !t.mu.TryLock() {
		return false
	}
	defer t.mu.Unlock()
	return t.expired
}

// Close ends every link.
func (s *Server) Close() { s.cancel() }

// serve runs a link's orders as they come.
func (l *served) serve(ctx context.Context) {
	for {
		message, err := receive(ctx, l.conn)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.heardAt = time.Now()
		l.mu.Unlock()
		order := message.Order
		switch {
		case order == nil:
		case order.Do == doBeat:
			l.answer(ctx, &rosewire.Result{Number: order.Number})
		case order.Do == doRollback:
			l.end(orZero(order.Transaction))
		case order.Task == nil:
			klog.InfoS("order of a proxy without a task", "do", order.Do)
		default:
			l.mu.Lock()
			l.running++
			l.mu.Unlock()
			go l.run(ctx, order, time.Now())
		}
	}
}

// watch ends a link that has transactions open and no sign of life: its proxy
// is gone, and targets must not wait for it.
func (l *served) watch(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		silent := len(l.transactions) > 0 && time.Since(l.heardAt) > orphanLimit
		open := len(l.transactions)
		l.mu.Unlock()
		if silent {
			klog.InfoS("link of a proxy ended", "why", "it is silent", "transactions", open)
			l.conn.CloseNow()
			return
		}
	}
}

func (l *served) answer(ctx context.Context, result *rosewire.Result) {
	if err := send(ctx, l.conn, rosewire.Message{Result: result}); err != nil {
		klog.V(1).InfoS("result not sent", "number", result.Number, "err", roselog.Err(err))
	}
}

// run runs one order and sends its result.
func (l *served) run(ctx context.Context, order *rosewire.Order, receivedAt time.Time) {
	task := decodeTask(order.Task, receivedAt)
	task.SessionID |= l.owners
	var result rosecaller.Result
	switch {
	case order.Do == doNext:
		result = l.next(ctx, orZero(order.Transaction), task)
	case l.server.draining():
		result = refused(task, leaving())
	case order.Do == doBegin:
		result = l.begin(ctx, order.Number, task)
	default:
		result = l.server.config.Executor.Run(ctx, task)
	}
	if result.Refusal != nil {
		klog.InfoS("task of another proxy refused", "request", task.Statement.ID, "group", task.Route.Group, "do", order.Do,
			"kind", result.Refusal.Kind, "outcome", result.Refusal.Outcome, "target", result.Target, "message", result.Refusal.Message)
	}
	l.answer(ctx, encodeResult(order.Number, result))
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
}

func (l *served) begin(ctx context.Context, number uint64, task rosecaller.Task) rosecaller.Result {
	open, result := l.server.config.Executor.Begin(ctx, task)
	if open == nil {
		return result
	}
	l.mu.Lock()
	l.transactions[number] = &transaction{Transaction: open}
	forgotten := l.forgotten[number]
	l.mu.Unlock()
	if ctx.Err() != nil {
		// The link ended meanwhile, and may have been cleared already.
		l.rollBack()
	}
	if forgotten {
		l.end(number)
	}
	return result
}

func (l *served) next(ctx context.Context, number uint64, task rosecaller.Task) rosecaller.Result {
	l.mu.Lock()
	t := l.transactions[number]
	l.mu.Unlock()
	if t == nil {
		return ended(task)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.expired {
		return ended(task)
	}
	result := t.Execute(ctx, task)
	if !result.Open {
		l.mu.Lock()
		delete(l.transactions, number)
		l.mu.Unlock()
	}
	return result
}

// end rolls one transaction back.
func (l *served) end(number uint64) {
	l.mu.Lock()
	t := l.transactions[number]
	delete(l.transactions, number)
	if t == nil {
		l.forgotten[number] = true
	} else {
		delete(l.forgotten, number)
	}
	l.mu.Unlock()
	if t != nil {
		go t.expire()
	}
}

// rollBack rolls back all that the link has open.
func (l *served) rollBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, t := range l.transactions {
		delete(l.transactions, number)
		go t.expire()
	}
}

func refused(task rosecaller.Task, refusal *rosemary.Refusal) rosecaller.Result {
	return rosecaller.Result{Refusal: refusal, MinPosition: task.MinPosition, MinPositionUnknown: task.MinPositionUnknown}
}

// ended answers a statement of a transaction that was rolled back here.
func ended(task rosecaller.Task) rosecaller.Result {
	result := refused(task, &rosemary.Refusal{
		Kind: rosemary.KindAborted, Outcome: rosemary.OutcomeNotRun,
		Message: "the proxy that held the transaction rolled it back to shut down", Remedy: "run the transaction again", RetryAfter: time.Millisecond,
	})
	if task.Statement.Kind != rosemary.StatementCommit {
		result.Answer.TransactionState = rosemary.TransactionFailed
	}
	return result
}

func leaving() *rosemary.Refusal {
	return &rosemary.Refusal{
		Kind: rosemary.KindDraining, Outcome: rosemary.OutcomeNotRun,
		Message: "the group's home shuts down", Remedy: "retry", RetryAfter: time.Millisecond,
	}
}
