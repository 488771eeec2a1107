package roserelay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// Path is the HTTP path at which a proxy serves its Server.
	Path = "/tasks"
	// settledHeader tells a home that the proxy has long counted it as a member.
	settledHeader = "Rosemarywell-Settled"
	// dialTimeout bounds the time to connect to a home proxy.
	dialTimeout = 400 * time.Millisecond
	// redialDelay is the wait before dialing an unreachable home proxy again.
	redialDelay = 300 * time.Millisecond
	// resultMargin is added to a task's deadline for the transfer of its
	// result.
	resultMargin = 100 * time.Millisecond
)

// Delivery tells whether a task was sent to a home proxy and answered.
type Delivery int

// Deliveries of a task.
const (
	// Answered means that the result was received.
	Answered Delivery = iota
	// NotSent means that nothing was sent.
	NotSent
	// Unanswered means that the task may have run, but no result came.
	Unanswered
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Dialer rosemary.Dialer
	// OnOutdated is called, before the result is returned, when the home at an address has
	// refused a task because of a newer version of the configuration. It may be nil.
	OnOutdated func(ctx context.Context, address string, version int64)
	// Settled reports whether this proxy has long counted a home as a member, which the
	// home is told; nil means never.
	Settled func(home rosemary.Member) bool
}

// Client runs tasks on other proxies. Its methods may be called concurrently.
type Client struct {
	config  ClientConfig
	http    *http.Client
	context context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
	// records are what relaying has shown of the homes, by address.
	records map[string]rosedecision.HomeRecord
}

// link is the WebSocket connection to one home proxy.
type link struct {
	address string
	// dialed is closed when the dial has ended and conn or err is set.
	dialed   chan struct{}
	failedAt time.Time
	conn     *websocket.Conn
	err      error
	context  context.Context
	cancel   context.CancelFunc

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan *rosewire.Result
	// openTransactions is the number of open transactions, which need heartbeats
	// between their statements.
	openTransactions int
	lastReceivedAt   time.Time
	lastSentAt       time.Time
}

// NewClient returns a client, which connects to home proxies on demand.
func NewClient(config ClientConfig) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	if config.OnOutdated == nil {
		config.OnOutdated = func(context.Context, string, int64) {}
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return config.Dialer.Dial(ctx, address)
		},
		DisableKeepAlives: true,
	}
	return &Client{
		config: config, http: &http.Client{Transport: transport}, context: ctx, cancel: cancel,
		links: make(map[string]*link), records: make(map[string]rosedecision.HomeRecord),
	}
}

// Record returns what relaying has shown of a home.
func (c *Client) Record(home rosemary.Member) rosedecision.HomeRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records[home.Address]
}

// Retain forgets the homes that aren't among those given, and whose links have ended.
func (c *Client) Retain(homes []rosemary.Member) {
	kept := make(map[string]bool, len(homes))
	for _, h := range homes {
		kept[h.Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if !kept[address] && l.canReplace() {
			delete(c.links, address)
		}
	}
	for address := range c.records {
		if !kept[address] && c.links[address] == nil {
			delete(c.records, address)
		}
	}
}

// update changes the record of a home.
func (c *Client) update(address string, change func(rosedecision.HomeRecord) rosedecision.HomeRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[address] = change(c.records[address])
}

// call sends an order to a home, and records how the home answers.
func (c *Client) call(ctx context.Context, l *link, order *rosewire.Order, task rosecaller.Task) (rosecaller.Result, uint64, Delivery) {
	c.update(l.address, func(r rosedecision.HomeRecord) rosedecision.HomeRecord { return r.WithInFlight(r.InFlight + 1) })
	started := time.Now()
	result, number, delivery := l.execute(ctx, order, task)
	c.update(l.address, func(r rosedecision.HomeRecord) rosedecision.HomeRecord {
		r = r.WithInFlight(r.InFlight - 1)
		switch {
		case delivery == Answered && result.Refusal != nil && result.Refusal.Kind == rosemary.KindDraining:
			return r.WithLoss(time.Now())
		case delivery == Answered:
			return r.WithAnswer(time.Since(started), result.Wait, time.Now())
		case ctx.Err() == nil:
			return r.WithLoss(time.Now())
		}
		return r
	})
	c.reportOutdated(ctx, l, result)
	return result, number, delivery
}

// reportOutdated reports the version that a home has named with a refusal.
func (c *Client) reportOutdated(ctx context.Context, l *link, result rosecaller.Result) {
	if result.NewerVersion > 0 {
		c.config.OnOutdated(ctx, l.address, result.NewerVersion)
	}
}

// Close closes the connections to home proxies.
func (c *Client) Close() { c.cancel() }

// Run runs a statement outside a transaction on a home proxy.
func (c *Client) Run(ctx context.Context, home rosemary.Member, task rosecaller.Task) (rosecaller.Result, Delivery) {
	l, err := c.link(home)
	if err != nil {
		return rosecaller.Result{}, NotSent
	}
	result, _, delivery := c.call(ctx, l, &rosewire.Order{Do: doRun}, task)
	return result, delivery
}

// Begin opens a transaction with its first statement on a home proxy.
func (c *Client) Begin(ctx context.Context, home rosemary.Member, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result, Delivery) {
	l, err := c.link(home)
	if err != nil {
		return nil, rosecaller.Result{}, NotSent
	}
	result, number, delivery := c.call(ctx, l, &rosewire.Order{Do: doBegin}, task)
	if delivery == Unanswered {
		l.sendRollback(number)
	}
	if delivery != Answered || !result.Open {
		return nil, result, delivery
	}
	l.mu.Lock()
	l.openTransactions++
	l.mu.Unlock()
	return &remoteTransaction{client: c, link: l, number: number, wrote: task.Statement.Writes}, result, Answered
}

// remoteTransaction is a transaction that is open on a home proxy.
type remoteTransaction struct {
	client *Client
	link   *link
	number uint64
	wrote  bool
	ended  bool
}

var _ rosecaller.Transaction = (*remoteTransaction)(nil)

// Execute runs a further statement of the transaction.
func (r *remoteTransaction) Execute(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	r.wrote = r.wrote || task.Statement.Writes
	result, _, delivery := r.link.execute(ctx, &rosewire.Order{Do: doExecute, Transaction: &r.number}, task)
	r.client.reportOutdated(ctx, r.link, result)
	switch delivery {
	case NotSent:
		result = rosecaller.ConnectionLostResult(task, "", true, false)
	case Unanswered:
		result = rosecaller.ConnectionLostResult(task, "", true, r.wrote)
	}
	if delivery != Answered {
		r.Rollback()
	} else if !result.Open {
		r.markEnded()
	}
	return result
}

// Rollback rolls the transaction back. A home proxy that can't be reached does
// so by itself after orphanTimeout.
func (r *remoteTransaction) Rollback() {
	if r.ended {
		return
	}
	r.markEnded()
	r.link.sendRollback(r.number)
}

func (r *remoteTransaction) markEnded() {
	if r.ended {
		return
	}
	r.ended = true
	r.link.mu.Lock()
	r.link.openTransactions--
	r.link.mu.Unlock()
}

// link returns the link to a home proxy, opening one if needed.
func (c *Client) link(home rosemary.Member) (*link, error) {
	c.mu.Lock()
	l := c.links[home.Address]
	if l == nil || l.canReplace() {
		l = &link{address: home.Address, dialed: make(chan struct{}), pending: make(map[uint64]chan *rosewire.Result)}
		l.context, l.cancel = context.WithCancel(c.context)
		c.links[home.Address] = l
		go c.open(l, home)
	}
	c.mu.Unlock()
	<-l.dialed
	return l, l.err
}

// canReplace reports whether a link has ended and may be replaced by a new one.
// A failed dial may be repeated after redialDelay.
func (l *link) canReplace() bool {
	select {
	case <-l.dialed:
	default:
		return false
	}
	if l.err != nil {
		return time.Since(l.failedAt) > redialDelay
	}
	return l.context.Err() != nil
}

func (c *Client) open(l *link, home rosemary.Member) {
	ctx, cancel := context.WithTimeout(l.context, dialTimeout)
	options := &websocket.DialOptions{HTTPClient: c.http}
	if c.config.Settled != nil && c.config.Settled(home) {
		options.HTTPHeader = http.Header{settledHeader: {"1"}}
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+Path, options)
	cancel()
	if err != nil {
		klog.InfoS("home not reached", "home", home.Proxy, "err", roselog.ErrorMessage(err))
		l.failedAt, l.err = time.Now(), trace.ConnectionProblem(err, "connecting to home proxy %s", home.Proxy)
		c.update(l.address, func(r rosedecision.HomeRecord) rosedecision.HomeRecord { return r.WithLoss(time.Now()) })
		l.cancel()
		close(l.dialed)
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	l.conn, l.lastReceivedAt, l.lastSentAt = conn, time.Now(), time.Now()
	close(l.dialed)
	go l.sendHeartbeats()
	l.receiveResults()
	l.cancel()
	conn.CloseNow()
	klog.InfoS("link to a home ended", "home", home.Proxy, "unanswered", l.failPending())
}

// receiveResults delivers results to pending calls until the link ends.
func (l *link) receiveResults() {
	for {
		message, err := receive(l.context, l.conn)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.lastReceivedAt = time.Now()
		if message.Result != nil {
			if pending := l.pending[message.Result.Number]; pending != nil {
				pending <- message.Result
				delete(l.pending, message.Result.Number)
			}
		}
		l.mu.Unlock()
	}
}

// sendHeartbeats sends heartbeats while the link is busy but nothing is received, and ends
// the link if that lasts for heartbeatTimeout.
func (l *link) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	busySince := time.Time{}
	for {
		select {
		case <-ticker.C:
		case <-l.context.Done():
			return
		}
		l.mu.Lock()
		busy := l.openTransactions > 0 || len(l.pending) > 0
		lastReceivedAt := l.lastReceivedAt
		l.mu.Unlock()
		if !busy {
			busySince = time.Time{}
			continue
		}
		if busySince.IsZero() {
			busySince = time.Now()
		}
		if lastReceivedAt.Before(busySince) {
			lastReceivedAt = busySince
		}
		if time.Since(lastReceivedAt) > heartbeatTimeout {
			klog.InfoS("link to a home given up", "address", l.address, "why", "heartbeat timeout")
			l.cancel()
			return
		}
		if time.Since(lastReceivedAt) < heartbeatInterval {
			continue
		}
		if err := send(l.context, l.conn, rosewire.Message{Order: &rosewire.Order{Do: doHeartbeat}}); err != nil {
			l.cancel()
			return
		}
	}
}

// failPending ends all pending calls without a result, and returns how many
// there were.
func (l *link) failPending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := len(l.pending)
	for number, pending := range l.pending {
		close(pending)
		delete(l.pending, number)
	}
	return count
}

// execute sends an order and waits for its result.
func (l *link) execute(ctx context.Context, order *rosewire.Order, task rosecaller.Task) (rosecaller.Result, uint64, Delivery) {
	pending := make(chan *rosewire.Result, 1)
	l.mu.Lock()
	if l.context.Err() != nil {
		l.mu.Unlock()
		return rosecaller.Result{}, 0, NotSent
	}
	l.lastNumber++
	number := l.lastNumber
	l.pending[number] = pending
	l.mu.Unlock()
	order.Number, order.Task = number, encodeTask(task)
	if err := send(l.context, l.conn, rosewire.Message{Order: order}); err != nil {
		l.cancel()
		return rosecaller.Result{}, number, Unanswered
	}
	result := l.awaitResult(ctx, pending, order.Do, task)
	if result != nil {
		return decodeResult(result), number, Answered
	}
	l.mu.Lock()
	delete(l.pending, number)
	l.mu.Unlock()
	return rosecaller.Result{}, number, Unanswered
}

// awaitResult waits for the result of an order until shortly after the task's deadline. An
// order that may be repeated elsewhere isn't waited for on a link that has fallen silent. It
// returns nil if there is none.
func (l *link) awaitResult(ctx context.Context, pending <-chan *rosewire.Result, do string, task rosecaller.Task) *rosewire.Result {
	timer := time.NewTimer(time.Until(task.Deadline) + resultMargin)
	defer timer.Stop()
	var silence <-chan time.Time
	if do == doBegin || do == doRun && !task.Statement.Writes {
		ticker := time.NewTicker(silenceTimeout / 4)
		defer ticker.Stop()
		silence = ticker.C
	}
	sentAt := time.Now()
	for {
		select {
		case result := <-pending:
			return result
		case <-silence:
			if time.Since(sentAt) >= silenceTimeout && l.silentFor() >= silenceTimeout {
				return nil
			}
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// silentFor returns how long nothing has been received on the link.
func (l *link) silentFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastReceivedAt)
}

// sendRollback has the home proxy roll back a transaction. No result is
// awaited.
func (l *link) sendRollback(number uint64) {
	err := send(l.context, l.conn, rosewire.Message{Order: &rosewire.Order{Do: doRollback, Transaction: &number}})
	if err != nil {
		l.cancel()
	}
}
