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
	// probeIdleTime is the idle time after which a connection is probed before
	// use.
	probeIdleTime = 2 * time.Second
	// probeTimeout bounds the wait for the response to a probe.
	probeTimeout = 300 * time.Millisecond
	// maxIdleTime is the idle time after which Trim closes a connection.
	maxIdleTime = 5 * time.Minute
	// maxConcurrentDials bounds the connections being opened at the same time.
	maxConcurrentDials = 2
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
)

// Config configures a Pool.
type Config struct {
	Target      rosemary.Target
	Dialer      rosemary.Dialer
	Credentials Credentials
	// Limit is the maximum number of open connections.
	Limit int
}

// Pool pools the connections to one target. Its methods may be called
// concurrently.
type Pool struct {
	config    Config
	dialSlots chan struct{}

	mu    sync.Mutex
	idle  []*Conn
	open  int
	limit int
	// generation counts calls of Invalidate.
	generation uint64
	// freed is closed and replaced whenever a waiting Acquire may succeed.
	freed  chan struct{}
	closed bool
}

// NewPool returns a pool that opens connections on demand.
func NewPool(config Config) *Pool {
	return &Pool{
		config:    config,
		dialSlots: make(chan struct{}, maxConcurrentDials),
		limit:     max(config.Limit, 1),
		freed:     make(chan struct{}),
	}
}

// Acquire returns a connection for the caller's exclusive use until Release.
// If it fails, nothing was sent on behalf of the caller. The error is a
// trace.ConnectionProblem if the pool is closed or ctx ends (it then wraps the
// error of ctx), or else one of Open.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) {
	return p.acquire(ctx, 0)
}

// controlReserve is the number of connections beyond the limit that control
// calls may open, as a failover or a status check must not wait for statements
// to finish.
const controlReserve = 1

// acquire is Acquire with a limit raised by extra.
func (p *Pool) acquire(ctx context.Context, extra int) (*Conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, trace.ConnectionProblem(err, "context ended before a connection to target %s was acquired", p.config.Target.ID)
		}
		conn, wait, err := p.take(extra)
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
		if time.Since(conn.lastUsed) < probeIdleTime || conn.probe(ctx) {
			return conn, nil
		}
		conn.Close()
		p.Release(conn)
	}
}

// take returns an idle connection, or a channel to wait on if the limit is
// reached. If it returns neither, it has counted a connection as open that the
// caller has to dial.
func (p *Pool) take(extra int) (*Conn, <-chan struct{}, error) {
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
	if p.open >= p.limit+extra {
		return nil, p.freed, nil
	}
	p.open++
	return nil, nil, nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case p.dialSlots <- struct{}{}:
		defer func() { <-p.dialSlots }()
	case <-ctx.Done():
		p.decrementOpen()
		return nil, trace.ConnectionProblem(ctx.Err(), "context ended while waiting for other dials to target %s", p.config.Target.ID)
	}
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	conn, err := Open(ctx, p.config.Dialer, p.config.Target, p.config.Credentials)
	if err != nil {
		p.decrementOpen()
		return nil, err
	}
	conn.generation = generation
	return conn, nil
}

// decrementOpen removes a connection that could not be opened from the count.
func (p *Pool) decrementOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.notifyWaiters()
}

func (p *Pool) notifyWaiters() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// Release returns a connection to the pool. The connection is closed instead if
// it is broken, in a transaction or older than the last Invalidate, or if the
// pool is closed or over its limit.
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
	p.notifyWaiters()
}

// Invalidate closes idle connections now, and those in use when they are
// released.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	p.closeIdle(0)
}

// closeIdle closes the oldest idle connections until keep are left. The caller
// holds the lock.
func (p *Pool) closeIdle(keep int) {
	for len(p.idle) > keep {
		p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
	p.notifyWaiters()
}

// SetLimit changes the maximum number of open connections, and closes idle ones
// beyond it.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
	surplus := max(p.open-p.limit, 0)
	p.closeIdle(max(len(p.idle)-surplus, 0))
}

// Trim closes connections that have been idle for longer than maxIdleTime.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := 0
	for expired < len(p.idle) && time.Since(p.idle[expired].lastUsed) > maxIdleTime {
		expired++
	}
	p.closeIdle(len(p.idle) - expired)
}

// Close closes the pool. Connections in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(0)
}

// OpenCount returns the number of open connections, including those being
// dialed.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// probe reports whether an idle connection still responds.
func (c *Conn) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := c.Exchange(ctx, Step{Messages: []pgproto3.FrontendMessage{&pgproto3.Sync{}}})
	return err == nil
}
