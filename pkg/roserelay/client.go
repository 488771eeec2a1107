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
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// Path is where peers serve links.
	Path = "/tasks"
	// dialTimeout bounds the connection to a home.
	dialTimeout = 400 * time.Millisecond
	// redialPause is how long a home that wasn't reached isn't tried.
	redialPause = 300 * time.Millisecond
	// answerSlack is added to a task's time for the way of its result.
	answerSlack = 100 * time.Millisecond
)

// Delivery is how far an order came.
type Delivery int

// Deliveries of an order.
const (
	// Answered has a result.
	Answered Delivery = iota
	// NotSent never left this proxy.
	NotSent
	// Unanswered may have run.
	Unanswered
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	Dialer rosemary.Dialer
}

// Client has other proxies run tasks. Its methods may be called concurrently.
type Client struct {
	config  ClientConfig
	http    *http.Client
	context context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one home.
type link struct {
	address string
	// opened is closed once conn or err is set.
	opened   chan struct{}
	failedAt time.Time
	conn     *websocket.Conn
	err      error
	context  context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan *rosewire.Result
	// open counts transactions, which need signs of life between statements.
	open    int
	heardAt time.Time
	sentAt  time.Time
}

// NewClient returns a client; Close ends it.
func NewClient(config ClientConfig) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return config.Dialer.Dial(ctx, address)
		},
		DisableKeepAlives: true,
	}
	return &Client{
		config: config, http: &http.Client{Transport: transport}, context: ctx, cancel: cancel,
		links: make(map[string]*link),
	}
}

// Close ends every link.
func (c *Client) Close() { c.cancel() }

// Run has a home run a statement outside a transaction.
func (c *Client) Run(ctx context.Context, home rosemary.Member, task rosecaller.Task) (rosecaller.Result, Delivery) {
	l, err := c.link(home)
	if err != nil {
		return rosecaller.Result{}, NotSent
	}
	result, _, delivery := l.order(ctx, &rosewire.Order{Do: doRun}, task)
	return result, delivery
}

// Begin has a home open a transaction with its first statement.
func (c *Client) Begin(ctx context.Context, home rosemary.Member, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result, Delivery) {
	l, err := c.link(home)
	if err != nil {
		return nil, rosecaller.Result{}, NotSent
	}
	result, number, delivery := l.order(ctx, &rosewire.Order{Do: doBegin}, task)
	if delivery == Unanswered {
		l.forget(number)
	}
	if delivery != Answered || !result.Open {
		return nil, result, delivery
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	return &remote{link: l, number: number, wrote: task.Statement.Writes}, result, Answered
}

// remote is a transaction that is open at a home.
type remote struct {
	link   *link
	number uint64
	wrote  bool
	over   bool
}

var _ rosecaller.Transaction = (*remote)(nil)

// Next has the home run a further statement.
func (r *remote) Execute(ctx context.Context, task rosecaller.Task) rosecaller.Result {
	r.wrote = r.wrote || task.Statement.Writes
	result, _, delivery := r.link.order(ctx, &rosewire.Order{Do: doNext, Transaction: &r.number}, task)
	switch delivery {
	case NotSent:
		result = rosecaller.ConnectionLostResult(task, "", true, false)
	case Unanswered:
		result = rosecaller.ConnectionLostResult(task, "", true, r.wrote)
	}
	if delivery != Answered {
		r.Rollback()
	} else if !result.Open {
		r.end()
	}
	return result
}

// Rollback has the home roll the transaction back. A home that can't be told
// does so when it misses signs of life.
func (r *remote) Rollback() {
	if r.over {
		return
	}
	r.end()
	r.link.forget(r.number)
}

func (r *remote) end() {
	if r.over {
		return
	}
	r.over = true
	r.link.mu.Lock()
	r.link.open--
	r.link.mu.Unlock()
}

// link returns the link to a home, and opens it if there is none.
func (c *Client) link(home rosemary.Member) (*link, error) {
	c.mu.Lock()
	l := c.links[home.Address]
	if l == nil || l.over() {
		l = &link{address: home.Address, opened: make(chan struct{}), waiting: make(map[uint64]chan *rosewire.Result)}
		l.context, l.cancel = context.WithCancel(c.context)
		c.links[home.Address] = l
		go c.open(l, home)
	}
	c.mu.Unlock()
	<-l.opened
	return l, l.err
}

// over reports whether a link has ended, and may be opened again.
func (l *link) over() bool {
	select {
	case <-l.opened:
	default:
		return false
	}
	if l.err != nil {
		return time.Since(l.failedAt) > redialPause
	}
	return l.context.Err() != nil
}

func (c *Client) open(l *link, home rosemary.Member) {
	ctx, cancel := context.WithTimeout(l.context, dialTimeout)
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+Path, &websocket.DialOptions{HTTPClient: c.http})
	cancel()
	if err != nil {
		klog.InfoS("home not reached", "home", home.Proxy, "err", roselog.Err(err))
		l.failedAt, l.err = time.Now(), trace.ConnectionProblem(err, "home %s", home.Proxy)
		l.cancel()
		close(l.opened)
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	l.conn, l.heardAt, l.sentAt = conn, time.Now(), time.Now()
	close(l.opened)
	go l.beat()
	l.receive()
	l.cancel()
	conn.CloseNow()
	klog.InfoS("link to a home ended", "home", home.Proxy, "unanswered", l.abandon())
}

// receive hands results to those who wait for them until the link ends.
func (l *link) receive() {
	for {
		message, err := receive(l.context, l.conn)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.heardAt = time.Now()
		if message.Result != nil {
			if waiting := l.waiting[message.Result.Number]; waiting != nil {
				waiting <- message.Result
				delete(l.waiting, message.Result.Number)
			}
		}
		l.mu.Unlock()
	}
}

// beat sends signs of life while something is under way, and ends the link if
// none come back.
func (l *link) beat() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	busySince := time.Time{}
	for {
		select {
		case <-ticker.C:
		case <-l.context.Done():
			return
		}
		l.mu.Lock()
		busy := l.open > 0 || len(l.waiting) > 0
		heardAt := l.heardAt
		l.mu.Unlock()
		if !busy {
			busySince = time.Time{}
			continue
		}
		if busySince.IsZero() {
			busySince = time.Now()
		}
		if heardAt.Before(busySince) {
			heardAt = busySince
		}
		if time.Since(heardAt) > silenceLimit {
			klog.InfoS("link to a home given up", "address", l.address, "why", "it is silent")
			l.cancel()
			return
		}
		if err := send(l.context, l.conn, rosewire.Message{Order: &rosewire.Order{Do: doBeat}}); err != nil {
			l.cancel()
			return
		}
	}
}

// abandon tells those who wait that no result will come.
func (l *link) abandon() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := len(l.waiting)
	for number, waiting := range l.waiting {
		close(waiting)
		delete(l.waiting, number)
	}
	return count
}

// order sends an order and waits for its result.
func (l *link) order(ctx context.Context, order *rosewire.Order, task rosecaller.Task) (rosecaller.Result, uint64, Delivery) {
	waiting := make(chan *rosewire.Result, 1)
	l.mu.Lock()
	if l.context.Err() != nil {
		l.mu.Unlock()
		return rosecaller.Result{}, 0, NotSent
	}
	l.number++
	number := l.number
	l.waiting[number] = waiting
	l.mu.Unlock()
	order.Number, order.Task = number, encodeTask(task)
	if err := send(l.context, l.conn, rosewire.Message{Order: order}); err != nil {
		l.cancel()
		return rosecaller.Result{}, number, Unanswered
	}
	timer := time.NewTimer(time.Until(task.Deadline) + answerSlack)
	defer timer.Stop()
	select {
	case result := <-waiting:
		if result != nil {
			return decodeResult(result), number, Answered
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	delete(l.waiting, number)
	l.mu.Unlock()
	return rosecaller.Result{}, number, Unanswered
}

// forget has the home roll back a transaction that nobody needs any more.
func (l *link) forget(number uint64) {
	err := send(l.context, l.conn, rosewire.Message{Order: &rosewire.Order{Do: doRollback, Transaction: &number}})
	if err != nil {
		l.cancel()
	}
}
