// Package rosepool pools connections to targets: it limits concurrent dials,
// probes connections that were idle before using them, and closes connections
// in an uncertain state instead of reusing them.
package rosepool

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// maxMessageBytes is the largest message accepted from a target.
const maxMessageBytes = 64 << 20

// maxPreparedStatements is the number of statements that one connection keeps
// prepared.
const maxPreparedStatements = 200

// Credentials are used to log in to targets.
type Credentials struct {
	User     string
	Password string
	Database string
}

// Conn is a connection to a target. It runs one exchange at a time.
type Conn struct {
	Target rosemary.TargetID

	conn       net.Conn
	frontend   *pgproto3.Frontend
	address    string
	dialer     rosemary.Dialer
	pid        uint32
	secret     []byte
	parameters map[string]string
	prepared   preparedSet
	// LastCommit is the log position of the connection's last commit. It is set
	// by the connection's users, as is SettingsFingerprint.
	LastCommit rosemary.Position
	// SettingsFingerprint identifies the session settings that are applied.
	SettingsFingerprint string
	generation          uint64
	lastUsed            time.Time
	status              byte
	broken              bool
	written             bool
}

// Open connects to a target and completes the startup handshake before ctx
// ends. Errors are trace.ConnectionProblem, trace.AccessDenied if the login
// fails, or trace.LimitExceeded if the target has no connections left.
func Open(ctx context.Context, dialer rosemary.Dialer, target rosemary.Target, credentials Credentials) (*Conn, error) {
	conn, err := dialer.Dial(ctx, target.Address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialing target %s failed", target.ID)
	}
	c := &Conn{
		Target:     target.ID,
		conn:       conn,
		frontend:   pgproto3.NewFrontend(conn, conn),
		address:    target.Address,
		dialer:     dialer,
		parameters: make(map[string]string),
		prepared:   newPreparedSet(maxPreparedStatements),
		lastUsed:   time.Now(),
	}
	c.frontend.SetMaxBodyLen(maxMessageBytes)
	stopWatching := c.watchContext(ctx)
	err = c.handshake(credentials)
	stopWatching()
	if err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "handshake with target %s", target.ID)
	}
	return c, nil
}

// watchContext interrupts reads and writes when ctx ends. The returned function
// stops watching; it marks the connection broken if ctx has ended before.
func (c *Conn) watchContext(ctx context.Context) func() {
	stop := context.AfterFunc(ctx, func() {
		_ = c.conn.SetDeadline(time.Unix(1, 0))
	})
	return func() {
		if !stop() {
			c.broken = true
			return
		}
		_ = c.conn.SetDeadline(time.Time{})
	}
}

func (c *Conn) handshake(credentials Credentials) error {
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             credentials.User,
			"database":         credentials.Database,
			"application_name": "rosemarywell",
		},
	})
	if err := c.frontend.Flush(); err != nil {
		return trace.ConnectionProblem(err, "sending the startup message failed")
	}
	auth := &authenticator{conn: c, credentials: credentials}
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return trace.ConnectionProblem(err, "receiving the startup response failed")
		}
		switch m := message.(type) {
		case *pgproto3.ParameterStatus:
			c.parameters[m.Name] = m.Value
		case *pgproto3.BackendKeyData:
			c.pid = m.ProcessID
			c.secret = append([]byte(nil), m.SecretKey...)
		case *pgproto3.ErrorResponse:
			return startupError(m)
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
			return nil
		default:
			if err := auth.handle(message); err != nil {
				return err
			}
		}
	}
}

func startupError(m *pgproto3.ErrorResponse) error {
	if m.Code == "53300" {
		return trace.LimitExceeded("the target has no connections left: %s", m.Message)
	}
	return trace.ConnectionProblem(nil, "the target refused the connection: %s %s", m.Code, m.Message)
}

// Parameters returns the run-time parameters that the target reported at
// startup.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// TxStatus returns the transaction status of the last ReadyForQuery: 'I' outside
// a transaction, 'T' in one and 'E' in a failed one.
func (c *Conn) TxStatus() byte { return c.status }

// Broken reports whether the connection is closed or in an uncertain state.
func (c *Conn) Broken() bool { return c.broken }

// Written reports whether the last exchange may have sent anything.
func (c *Conn) Written() bool { return c.written }

// Close ends the connection.
func (c *Conn) Close() {
	c.broken = true
	c.conn.Close()
}

// Step is a part of an exchange whose response ends with ReadyForQuery.
type Step struct {
	Messages []pgproto3.FrontendMessage
	// Receive is called with each message of the response, including
	// ReadyForQuery. A message is valid until Receive returns. If nil, the
	// response is discarded.
	Receive func(pgproto3.BackendMessage) error
}

// Exchange sends all steps at once and receives their responses in order. On
// error the connection is closed; Written tells whether anything may have been
// sent.
func (c *Conn) Exchange(ctx context.Context, steps ...Step) error {
	c.written = false
	if c.broken {
		return trace.ConnectionProblem(nil, "connection to target %s is closed", c.Target)
	}
	if err := ctx.Err(); err != nil {
		return trace.Wrap(err)
	}
	stopWatching := c.watchContext(ctx)
	err := c.exchange(steps)
	stopWatching()
	c.lastUsed = time.Now()
	if err != nil {
		c.Close()
		return err
	}
	return nil
}

func (c *Conn) exchange(steps []Step) error {
	for _, s := range steps {
		for _, m := range s.Messages {
			c.frontend.Send(m)
		}
	}
	c.written = true
	if err := c.frontend.Flush(); err != nil {
		return trace.ConnectionProblem(err, "sending to target %s failed", c.Target)
	}
	for _, s := range steps {
		if err := c.receiveUntilReady(s.Receive); err != nil {
			return err
		}
	}
	return nil
}

// receiveUntilReady receives messages up to and including ReadyForQuery.
func (c *Conn) receiveUntilReady(receive func(pgproto3.BackendMessage) error) error {
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return trace.ConnectionProblem(err, "receiving from target %s failed", c.Target)
		}
		ready, done := message.(*pgproto3.ReadyForQuery)
		if done {
			c.status = ready.TxStatus
		}
		if receive != nil {
			if err := receive(message); err != nil {
				return err
			}
		}
		if done {
			return nil
		}
	}
}

// SendFlush sends messages followed by Flush instead of Sync, so that their
// response doesn't end with ReadyForQuery.
func (c *Conn) SendFlush(ctx context.Context, messages []pgproto3.FrontendMessage) error {
	stopWatching := c.watchContext(ctx)
	defer stopWatching()
	for _, m := range messages {
		c.frontend.Send(m)
	}
	c.frontend.Send(&pgproto3.Flush{})
	c.written = true
	if err := c.frontend.Flush(); err != nil {
		c.Close()
		return trace.ConnectionProblem(err, "sending to target %s failed", c.Target)
	}
	return nil
}

// Receive receives one message of the response to SendFlush.
func (c *Conn) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	stopWatching := c.watchContext(ctx)
	defer stopWatching()
	message, err := c.frontend.Receive()
	if err != nil {
		c.Close()
		return nil, trace.ConnectionProblem(err, "receiving from target %s failed", c.Target)
	}
	return message, nil
}

// Cancel asks the target to cancel the statement that the connection is running.
func (c *Conn) Cancel(ctx context.Context) error {
	conn, err := c.dialer.Dial(ctx, c.address)
	if err != nil {
		return trace.ConnectionProblem(err, "dialing target %s for a cancel request failed", c.Target)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	request, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := conn.Write(request); err != nil {
		return trace.ConnectionProblem(err, "sending a cancel request to target %s failed", c.Target)
	}
	// The target closes the connection once it has handled the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}
