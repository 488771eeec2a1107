package rosefront

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
	"github.com/rosemarywell/rosemarywell/pkg/roseroute"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

// lastCallTime is how long a draining proxy still reads from an idle caller,
// for a request that was on its way.
const lastCallTime = 20 * time.Millisecond

// caller is one connection of a caller and its session. One goroutine serves
// it; the fields under mu are shared with cancel and drain.
type caller struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	tenant  rosemary.Tenant
	router  *roseroute.Router
	session rosesession.Session
	pid     uint32
	secret  uint32

	class       string
	requestID   string
	settings    settings
	prepared    map[string]*preparedStatement
	unnamedOn   *rosepool.Conn
	token       string
	lease       *roseroute.Lease
	transaction rosemary.Class
	// claimed is the request identifier claimed in the open transaction.
	claimed string
	// blockFailed is set when the open transaction was lost.
	blockFailed bool
	// tainted is set when a cancel may still reach the leased connection.
	tainted bool
	dead    bool

	mu          sync.Mutex
	interrupted bool
	pinned      bool
	running     *rosepool.Conn
	cancelled   bool
}

func newCaller(s *Server, conn net.Conn, backend *pgproto3.Backend, tenant rosemary.Tenant, router *roseroute.Router, session rosesession.Session) *caller {
	return &caller{
		server:   s,
		conn:     conn,
		backend:  backend,
		tenant:   tenant,
		router:   router,
		session:  session,
		settings: make(settings),
		prepared: make(map[string]*preparedStatement),
	}
}

// greet completes the handshake.
func (c *caller) greet() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range greeting {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: settingSession, Value: c.session.Name})
	c.token = c.server.config.Keys.Sign(c.session)
	c.backend.Send(&pgproto3.ParameterStatus{Name: settingToken, Value: c.token})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: binary.BigEndian.AppendUint32(nil, c.secret)})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// greeting holds the settings that clients need to know at startup.
var greeting = [][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

func (c *caller) flush() error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.backend.Flush()
}

// run serves requests until the session ends.
func (c *caller) run() {
	defer c.abandon()
	var b batch
	for !c.dead {
		if len(b.messages) == 0 {
			c.awaitRequest()
		}
		message, err := c.backend.Receive()
		if err != nil {
			c.explain(err)
			return
		}
		switch message.(type) {
		case *pgproto3.Terminate:
			return
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			continue
		}
		if !b.add(message) {
			continue
		}
		if b.dropped() {
			b = batch{skipping: true}
			continue
		}
		c.serve(&b)
		b = batch{skipping: b.skipping}
	}
}

// awaitRequest sets how long the next message may take.
func (c *caller) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	switch {
	case c.pinned:
		deadline = time.Now().Add(idleTransactionLimit)
	case c.interrupted:
		deadline = time.Now().Add(lastCallTime)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// explain tells the caller why the session ends, when it was the proxy that
// stopped waiting for the next message.
func (c *caller) explain(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	pinned := c.pinned
	c.mu.Unlock()
	if pinned {
		c.fatal(refuse(rosemary.KindDeadline, "the transaction was idle for too long and was rolled back", "keep transactions short"))
		return
	}
	c.farewell()
}

// farewell tells the caller that the proxy shuts down.
func (c *caller) farewell() {
	c.fatal(refuse(rosemary.KindDraining, "this proxy is shutting down", "connect again with rosemary.token; the balancer has others"))
}

func (c *caller) fatal(r *rosemary.Refusal) {
	c.dead = true
	c.backend.Send(errorResponse(r, "FATAL"))
	_ = c.flush()
}

// interruptIdle wakes a caller that waits for its next request.
func (c *caller) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	if !c.pinned {
		_ = c.conn.SetReadDeadline(time.Now().Add(lastCallTime))
	}
}

func (c *caller) kill() { c.conn.Close() }

// abandon rolls back what an ended session left open.
func (c *caller) abandon() {
	if c.lease != nil {
		c.lease.Conn.Close()
		c.unpin()
	}
}

// serve answers one batch of messages.
func (c *caller) serve(b *batch) {
	started := time.Now()
	r := newRequest(c, b)
	ctx, cancel := context.WithTimeout(context.Background(), r.class.Timeout)
	defer cancel()
	err := c.server.chain(ctx, r)
	if err != nil {
		r.fail(err)
	}
	c.record(r, err, time.Since(started))
	if err := r.answer.finish(); err != nil {
		c.dead = true
	}
}

// record writes the metrics, and a log line for a refusal.
func (c *caller) record(r *request, err error, took time.Duration) {
	outcome := outcomeAnswered
	if err != nil {
		refusal := rosemary.AsRefusal(err, rosemary.OutcomeUnknown)
		outcome = string(refusal.Outcome)
		c.server.config.Metrics.refused(c.tenant.Name, string(refusal.Kind), outcome)
		klog.V(1).InfoS("request refused", "tenant", c.tenant.Name, "database", c.session.Database, "class", r.class.Name,
			"kind", refusal.Kind, "outcome", refusal.Outcome, "message", refusal.Message)
	}
	c.server.config.Metrics.observe(c.tenant.Name, r.class.Name, r.servedBy(), outcome, took)
}

// pin keeps the lease for the rest of a transaction.
func (c *caller) pin(lease *roseroute.Lease) {
	c.lease = lease
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinned = true
}

// unpin gives the lease back.
func (c *caller) unpin() {
	if c.tainted {
		c.lease.Conn.Close()
	}
	c.tainted = false
	c.claimed = ""
	c.lease.Release(false)
	c.lease = nil
	c.unnamedOn = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinned = false
}

// setRunning names the connection that a cancel request is to reach. It
// reports whether a cancel was sent while the last one ran: that connection
// may still be hit by it, and must not serve another session.
func (c *caller) setRunning(conn *rosepool.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelled := c.cancelled
	c.running = conn
	c.cancelled = false
	return cancelled
}

// cancelStatement passes a cancel request on to the target that runs the
// caller's statement now.
func (c *caller) cancelStatement() {
	c.mu.Lock()
	conn := c.running
	c.cancelled = conn != nil
	c.mu.Unlock()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := conn.Cancel(ctx); err != nil {
		klog.InfoS("cancel request failed", "target", conn.Target, "err", err)
	}
}
