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

// ServerConfig configures a Server.
type ServerConfig struct {
	// Executor runs the tasks of other proxies.
	Executor rosecaller.Executor
	// CheckTeam reports whether a task may run for the team that the other proxy named. If
	// not, newest is the version of the configuration in force here. It may be nil.
	CheckTeam func(task rosecaller.Task) (newest int64, ok bool)
	// OnSettled is called when another proxy tells that it has long counted this one as a
	// member; it may be nil.
	OnSettled func()
	// Wait returns how long a further request would wait for a connection to a target; nil
	// means that it is not told.
	Wait func(group string, target rosemary.TargetID) time.Duration
}

// Server runs tasks for other proxies. Its methods may be called concurrently.
type Server struct {
	config  ServerConfig
	context context.Context
	cancel  context.CancelFunc
	// lastLinkNumber is part of session IDs, so that they differ between links.
	lastLinkNumber atomic.Uint64

	mu        sync.Mutex
	deadlines rosecaller.DrainDeadlines
	links     map[*serverLink]struct{}
}

// orphanTimeout is how long a transaction stays open while nothing is received
// from its proxy. Targets keep a transaction on a silent connection for the same
// time.
const orphanTimeout = 3 * time.Second

// serverLink is a link from another proxy.
type serverLink struct {
	server        *Server
	conn          *websocket.Conn
	sessionIDBase uint64

	mu             sync.Mutex
	lastReceivedAt time.Time
	running        int
	transactions   map[uint64]*transaction
	// cancelledBegins holds the numbers of begins that the other proxy rolled
	// back before they had a result.
	cancelledBegins map[uint64]bool
}

// transaction is a transaction on this proxy that another proxy has begun.
type transaction struct {
	rosecaller.Transaction
	// mu is held while a statement runs.
	mu sync.Mutex
	// rolledBack is set once abort has rolled the transaction back: during a
	// drain, at the other proxy's request, or after its link ended.
	rolledBack bool
}

// NewServer returns a server without connections.
func NewServer(config ServerConfig) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	if config.CheckTeam == nil {
		config.CheckTeam = func(rosecaller.Task) (int64, bool) { return 0, true }
	}
	return &Server{config: config, context: ctx, cancel: cancel, links: make(map[*serverLink]struct{})}
}

// ServeHTTP accepts another proxy's WebSocket connection and serves it until it
// ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		klog.InfoS("link of a proxy not accepted", "err", roselog.ErrorMessage(err))
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	if r.Header.Get(settledHeader) != "" && s.config.OnSettled != nil {
		s.config.OnSettled()
	}
	l := &serverLink{server: s, conn: conn, sessionIDBase: s.lastLinkNumber.Add(1) << 32, transactions: make(map[uint64]*transaction), cancelledBegins: make(map[uint64]bool)}
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
		l.rollBackAll()
	}()
	go l.watchHeartbeats(ctx)
	l.serve(ctx)
}

// SetDrainDeadlines refuses tasks outside an open transaction from now on, and
// rolls back the transactions of other proxies at deadlines.OpenTransactions.
// While that is zero, neither is done.
func (s *Server) SetDrainDeadlines(deadlines rosecaller.DrainDeadlines) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlines = deadlines
	if !deadlines.OpenTransactions.IsZero() {
		time.AfterFunc(time.Until(deadlines.OpenTransactions), s.rollBackAll)
	}
}

// rollBackAll rolls back every open transaction, each once its running
// statement has ended.
func (s *Server) rollBackAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.mu.Lock()
		for _, t := range l.transactions {
			go t.abort()
		}
		l.mu.Unlock()
	}
}

func (t *transaction) abort() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Rollback()
	t.rolledBack = true
}

func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.deadlines.OpenTransactions.IsZero()
}

// Wait blocks until no task or transaction of other proxies is left, or until
// ctx ends.
func (s *Server) Wait(ctx context.Context) {
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for s.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// waitPollInterval is how often Wait checks whether the server is busy.
const waitPollInterval = 20 * time.Millisecond

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.mu.Lock()
		busy := l.running > 0
		for _, t := range l.transactions {
			busy = busy || !t.isRolledBack()
		}
		l.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

// isRolledBack reports whether a transaction was rolled back. It reports false
// while a statement runs, instead of waiting for it.
func (t *transaction) isRolledBack() bool {
	if !t.mu.TryLock() {
		return false
	}
	defer t.mu.Unlock()
	return t.rolledBack
}

// Close closes the connections of other proxies.
func (s *Server) Close() { s.cancel() }

// serve handles the orders of a link until it ends.
func (l *serverLink) serve(ctx context.Context) {
	for {
		message, err := receive(ctx, l.conn)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.lastReceivedAt = time.Now()
		l.mu.Unlock()
		order := message.Order
		switch {
		case order == nil:
		case order.Do == doHeartbeat:
			l.sendResult(ctx, &rosewire.Result{Number: order.Number})
		case order.Do == doRollback:
			l.rollBack(orZero(order.Transaction))
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

// watchHeartbeats closes a link that has open transactions but has received
// nothing for orphanTimeout. Its proxy is presumed dead, and its transactions
// must not hold resources at their targets.
func (l *serverLink) watchHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.mu.Lock()
		silent := len(l.transactions) > 0 && time.Since(l.lastReceivedAt) > orphanTimeout
		open := len(l.transactions)
		l.mu.Unlock()
		if silent {
			klog.InfoS("link of a proxy ended", "why", "heartbeat timeout", "transactions", open)
			l.conn.CloseNow()
			return
		}
	}
}

func (l *serverLink) sendResult(ctx context.Context, result *rosewire.Result) {
	if err := send(ctx, l.conn, rosewire.Message{Result: result}); err != nil {
		klog.V(1).InfoS("result not sent", "number", result.Number, "err", roselog.ErrorMessage(err))
	}
}

// run runs one order and sends its result.
func (l *serverLink) run(ctx context.Context, order *rosewire.Order, receivedAt time.Time) {
	task := decodeTask(order.Task, receivedAt)
	task.SessionID |= l.sessionIDBase
	var result rosecaller.Result
	switch {
	case order.Do == doExecute:
		result = l.execute(ctx, orZero(order.Transaction), task)
	case l.server.draining():
		result = refusalResult(task, drainingRefusal())
	case order.Do == doBegin:
		result = l.begin(ctx, order.Number, task)
	default:
		result = l.runOutsideTransaction(ctx, task)
	}
	if result.Refusal != nil {
		klog.InfoS("task of another proxy refused", "request", task.Statement.ID, "group", task.Route.Group, "team", task.Team, "do", order.Do,
			"kind", result.Refusal.Kind, "outcome", result.Refusal.Outcome, "target", result.Target, "message", result.Refusal.Message)
	}
	if wait := l.server.config.Wait; wait != nil && result.Target != "" {
		result.Wait = wait(task.Route.Group, result.Target)
	}
	l.sendResult(ctx, encodeResult(order.Number, result))
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
}

func (l *serverLink) runOutsideTransaction(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	if newest, ok := l.server.config.CheckTeam(task); !ok {
		return rosecaller.OutdatedResult(task, rosecaller.OutsideTransaction, newest)
	}
	return l.server.config.Executor.Run(ctx, task)
}

func (l *serverLink) begin(ctx context.Context, number uint64, task rosecaller.Task) rosecaller.Result {
	if newest, ok := l.server.config.CheckTeam(task); !ok {
		return rosecaller.OutdatedResult(task, rosecaller.BeforeTransaction, newest)
	}
	begun, result := l.server.config.Executor.Begin(ctx, task)
	if begun == nil {
		return result
	}
	l.mu.Lock()
	l.transactions[number] = &transaction{Transaction: begun}
	cancelled := l.cancelledBegins[number]
	l.mu.Unlock()
	if ctx.Err() != nil {
		// The link has ended, and its other transactions may already have been
		// rolled back.
		l.rollBackAll()
	}
	if cancelled {
		l.rollBack(number)
	}
	return result
}

func (l *serverLink) execute(ctx context.Context, number uint64, task rosecaller.Task) rosecaller.Result {
	l.mu.Lock()
	t := l.transactions[number]
	l.mu.Unlock()
	if t == nil {
		return rolledBackResult(task)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rolledBack {
		return rolledBackResult(task)
	}
	if newest, ok := l.server.config.CheckTeam(task); !ok {
		return rosecaller.OutdatedResult(task, rosecaller.InTransaction, newest)
	}
	result := t.Execute(ctx, task)
	if !result.Open {
		l.mu.Lock()
		delete(l.transactions, number)
		l.mu.Unlock()
	}
	return result
}

// rollBack rolls back one transaction. If it has not begun yet, its begin is
// cancelled.
func (l *serverLink) rollBack(number uint64) {
	l.mu.Lock()
	t := l.transactions[number]
	delete(l.transactions, number)
	if t == nil {
		l.cancelledBegins[number] = true
	} else {
		delete(l.cancelledBegins, number)
	}
	l.mu.Unlock()
	if t != nil {
		go t.abort()
	}
}

// rollBackAll rolls back all transactions of the link.
func (l *serverLink) rollBackAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, t := range l.transactions {
		delete(l.transactions, number)
		go t.abort()
	}
}

func refusalResult(task rosecaller.Task, refusal *rosemary.Refusal) rosecaller.Result {
	return rosecaller.Result{Refusal: refusal, MinPosition: task.MinPosition, MinPositionUnknown: task.MinPositionUnknown}
}

// rolledBackResult is the result of a statement whose transaction this proxy
// has rolled back or doesn't know.
func rolledBackResult(task rosecaller.Task) rosecaller.Result {
	result := refusalResult(task, &rosemary.Refusal{
		Kind: rosemary.KindAborted, Outcome: rosemary.OutcomeNotRun,
		Message: "the home proxy of the group has rolled back the transaction, for example because it is shutting down", Remedy: "run the transaction again", RetryAfter: time.Millisecond,
	})
	if task.Statement.Kind != rosemary.StatementCommit {
		result.Answer.TransactionState = rosemary.TransactionFailed
	}
	return result
}

func drainingRefusal() *rosemary.Refusal {
	return &rosemary.Refusal{
		Kind: rosemary.KindDraining, Outcome: rosemary.OutcomeNotRun,
		Message: "the home proxy of the group is shutting down", Remedy: "retry", RetryAfter: time.Millisecond,
	}
}
