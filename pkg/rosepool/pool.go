package rosepool

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// probeAfter is the idle time after which a connection is probed.
	probeAfter = 2 * time.Second
	// probeTimeout bounds the wait for a probe's answer.
	probeTimeout = 300 * time.Millisecond
	// idleLimit is the idle time after which a connection is closed.
	idleLimit = 5 * time.Minute
	// parallelDials bounds the connections that are opened at once.
	parallelDials = 2
	// dialTimeout bounds the opening of one connection.
	dialTimeout = time.Second
)

// Config sets up a Pool.
type Config struct {
	Target      rosemary.Target
	Dialer      rosemary.Dialer
	Credentials Credentials
	// Limit is the number of connections that may be open.
	Limit int
}

// Pool holds the connections to one target. Its methods may be called
// concurrently.
type Pool struct {
	config Config
	dials  chan struct{}

	mu         sync.Mutex
	idle       []*Conn
	open       int
	limit      int
	generation uint64
	freed      chan struct{}
	closed     bool
}

// NewPool returns a pool that opens connections on demand.
func NewPool(config Config) *Pool {
	return &Pool{
		config: config,
		dials:  make(chan struct{}, parallelDials),
		limit:  max(config.Limit, 1),
		freed:  make(chan struct{}),
	}
}

// Acquire returns a connection for the caller's sole use until Release.
// Nothing was sent on behalf of the caller when it fails. Errors are
// trace.ConnectionProblem and trace.LimitExceeded, and those of ctx.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) {
	return p.acquire(ctx, 0)
}

// reserved is the number of connections beyond the limit that control calls
// may open: a failover or a probe must not wait behind statements.
const reserved = 1

// acquire is Acquire with some connections beyond the limit.
func (p *Pool) acquire(ctx context.Context, beyond int) (*Conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, trace.ConnectionProblem(err, "connection to target %s", p.config.Target.ID)
		}
		conn, wait, err := p.take(beyond)
		if err != nil {
			return nil, err
		}
		if wait != nil {
			select {
			case <-wait:
				continue
			case <-ctx.Done():
				return nil, trace.ConnectionProblem(ctx.Err(), "no free connection to target %s", p.config.Target.ID)
			}
		}
		if conn == nil {
			return p.dial(ctx)
		}
		if time.Since(conn.lastUsed) < probeAfter || conn.probe(ctx) {
			return conn, nil
		}
		conn.Close()
		p.Release(conn)
	}
}

// take returns an idle connection, or none with a place to open one, or a
// channel to wait on.
func (p *Pool) take(beyond int) (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, trace.ConnectionProblem(nil, "pool of target %s is closed", p.config.Target.ID)
	}
	if last := len(p.idle) - 1; last >= 0 {
		conn := p.idle[last]
		p.idle = p.idle[:last]
		return conn, nil, nil
	}
	if p.open >= p.limit+beyond {
		return nil, p.freed, nil
	}
	p.open++
	return nil, nil, nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case p.dials <- struct{}{}:
		defer func() { <-p.dials }()
	case <-ctx.Done():
		p.drop()
		return nil, trace.ConnectionProblem(ctx.Err(), "waiting to dial target %s", p.config.Target.ID)
	}
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	conn, err := Open(ctx, p.config.Dialer, p.config.Target, p.config.Credentials)
	if err != nil {
		p.drop()
		return nil, err
	}
	conn.generation = generation
	return conn, nil
}

// drop forgets one open connection.
func (p *Pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wake()
}

func (p *Pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// Release gives a connection back. One that is broken, in a transaction, or
// older than the last Invalidate is closed.
func (p *Pool) Release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reusable := !conn.broken && conn.status == 'I' && conn.generation == p.generation && !p.closed && p.open <= p.limit
	if reusable {
		p.idle = append(p.idle, conn)
	} else {
		conn.Close()
		p.open--
	}
	p.wake()
}

// Invalidate closes idle connections now and those in use at their release.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	p.closeIdle(0)
}

// closeIdle closes idle connections down to keep. The lock is held.
func (p *Pool) closeIdle(keep int) {
	for len(p.idle) > keep {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
	p.wake()
}

// SetLimit changes the number of connections that may be open.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
	surplus := max(p.open-p.limit, 0)
	p.closeIdle(max(len(p.idle)-surplus, 0))
}

// Trim closes connections that have been idle for long.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := 0
	for old < len(p.idle) && time.Since(p.idle[old].lastUsed) > idleLimit {
		old++
	}
	p.closeIdle(len(p.idle) - old)
}

// Close closes the pool; connections in use are closed at their release.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(0)
}

// OpenCount returns the number of connections open now.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// probe reports whether an idle connection still answers.
func (c *Conn) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := c.Exchange(ctx, Step{Messages: []pgproto3.FrontendMessage{&pgproto3.Sync{}}})
	return err == nil
}
