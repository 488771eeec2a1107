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

// drainReadGrace is how long a draining proxy still reads from an idle client,
// for a request that is already on its way.
const drainReadGrace = 20 * time.Millisecond

// client is a client connection and its session. One goroutine serves it; the
// fields below mu are also accessed by Cancel and Drain.
type client struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	tenant  rosemary.Tenant
	router  *roseroute.Router
	session rosesession.Session
	pid     uint32
	secret  uint32

	className string
	requestID string
	settings  settings
	prepared  map[string]*preparedStatement
	// unnamedConn is the leased connection on which the unnamed statement is
	// prepared.
	unnamedConn *rosepool.Conn
	// sentToken is the session token last sent to the client.
	sentToken string
	// lease is set during a transaction, and between the parts of a request.
	lease            *roseroute.ConnLease
	transactionClass rosemary.Class
	// claimedID is the request identifier claimed in the open transaction.
	claimedID string
	// transactionLost is set when the open transaction was lost with its
	// connection, until the client ends it.
	transactionLost bool
	// cancelPending is set when a cancel request may still reach the leased
	// connection.
	cancelPending bool
	closed        bool

	mu       sync.Mutex
	draining bool
	// pinned is whether lease is set, for drain.
	pinned bool
	// runningConn is the connection that receives cancel requests, and
	// cancelSent is set when it got one.
	runningConn *rosepool.Conn
	cancelSent  bool
}

func newClient(s *Server, conn net.Conn, backend *pgproto3.Backend, tenant rosemary.Tenant, router *roseroute.Router, session rosesession.Session) *client {
	return &client{
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

// sendStartupResponse queues the messages that end the startup.
func (c *client) sendStartupResponse() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range initialParameters {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: settingSession, Value: c.session.Name})
	c.sentToken = c.server.config.TokenKeys.Sign(c.session)
	c.backend.Send(&pgproto3.ParameterStatus{Name: settingToken, Value: c.sentToken})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: binary.BigEndian.AppendUint32(nil, c.secret)})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// initialParameters are the parameters that client libraries need at startup.
var initialParameters = [][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

func (c *client) flush() error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.backend.Flush()
}

// run serves requests until the session ends.
func (c *client) run() {
	defer c.abortTransaction()
	var b batch
	for !c.closed {
		if len(b.messages) == 0 {
			c.setReadDeadline()
		}
		message, err := c.backend.Receive()
		if err != nil {
			c.reportReadTimeout(err)
			return
		}
		switch message.(type) {
		case *pgproto3.Terminate:
			return
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// PostgreSQL ignores these outside COPY, too.
			continue
		}
		if !b.add(message) {
			continue
		}
		if b.skipUntilSync() {
			b = batch{skipping: true}
			continue
		}
		c.serveBatch(&b)
		b = batch{skipping: b.skipping}
	}
}

// setReadDeadline sets the deadline for the client's next message.
func (c *client) setReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	switch {
	case c.pinned:
		deadline = time.Now().Add(idleTransactionTimeout)
	case c.draining:
		deadline = time.Now().Add(drainReadGrace)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// reportReadTimeout tells the client why its session ends if the read deadline
// has passed.
func (c *client) reportReadTimeout(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	pinned := c.pinned
	c.mu.Unlock()
	if pinned {
		c.sendFatal(refuse(rosemary.KindDeadline, "the transaction was idle for too long and was rolled back", "keep transactions short"))
		return
	}
	c.sendShutdown()
}

// sendShutdown tells the client that the proxy is shutting down.
func (c *client) sendShutdown() {
	c.sendFatal(refuse(rosemary.KindDraining, "this proxy is shutting down", "reconnect and pass rosemary.token; the load balancer will choose another proxy"))
}

func (c *client) sendFatal(r *rosemary.Refusal) {
	c.closed = true
	c.backend.Send(errorResponse(r, "FATAL"))
	_ = c.flush()
}

// drain ends the session once it has no open transaction and its client has sent
// nothing for drainReadGrace.
func (c *client) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.pinned {
		_ = c.conn.SetReadDeadline(time.Now().Add(drainReadGrace))
	}
}

func (c *client) closeConn() { c.conn.Close() }

// abortTransaction closes the leased connection, which rolls back its
// transaction.
func (c *client) abortTransaction() {
	if c.lease != nil {
		c.lease.Conn.Close()
		c.unpin()
	}
}

// serveBatch runs one batch and sends the answer.
func (c *client) serveBatch(b *batch) {
	started := time.Now()
	r := newRequest(c, b)
	ctx, cancel := context.WithTimeout(context.Background(), r.class.Timeout)
	defer cancel()
	err := c.server.chain(ctx, r)
	if err != nil {
		r.sendRefusal(err)
	}
	c.recordOutcome(r, err, time.Since(started))
	if err := r.answer.finish(); err != nil {
		c.closed = true
	}
}

// recordOutcome updates the metrics and logs a refusal.
func (c *client) recordOutcome(r *request, err error, took time.Duration) {
	outcome := outcomeAnswered
	if err != nil {
		refusal := rosemary.AsRefusal(err, rosemary.OutcomeUnknown)
		outcome = string(refusal.Outcome)
		c.server.config.Metrics.countRefusal(c.tenant.Name, string(refusal.Kind), outcome)
		klog.V(1).InfoS("request refused", "tenant", c.tenant.Name, "database", c.session.Database, "class", r.class.Name,
			"kind", refusal.Kind, "outcome", refusal.Outcome, "message", refusal.Message)
	}
	c.server.config.Metrics.observeRequest(c.tenant.Name, r.class.Name, r.servedBy(), outcome, took)
}

// pin keeps the lease for the rest of a transaction or a request.
func (c *client) pin(lease *roseroute.ConnLease) {
	c.lease = lease
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinned = true
}

// unpin releases the lease. It closes a connection that a late cancel request
// may still reach.
func (c *client) unpin() {
	if c.cancelPending {
		c.lease.Conn.Close()
	}
	c.cancelPending = false
	c.claimedID = ""
	c.lease.Release(false)
	c.lease = nil
	c.unnamedConn = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinned = false
}

// setRunningConn sets the connection that receives cancel requests. It reports
// whether the previous connection got one. Such a connection must not serve
// another session, because the request may take effect late and cancel a later
// statement.
func (c *client) setRunningConn(conn *rosepool.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancelSent := c.cancelSent
	c.runningConn = conn
	c.cancelSent = false
	return cancelSent
}

// cancelStatement forwards a cancel request to the target that runs the
// client's statement.
func (c *client) cancelStatement() {
	c.mu.Lock()
	conn := c.runningConn
	c.cancelSent = conn != nil
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
