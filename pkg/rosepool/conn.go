// Package rosepool holds connections to targets: it opens them at a bounded
// pace, checks old idle ones before use, and closes every one whose state is
// in doubt instead of using it again.
package rosepool

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// maxMessageBytes bounds one message from a target.
const maxMessageBytes = 64 << 20

// maxPrepared bounds the statements prepared on one connection.
const maxPrepared = 200

// Credentials are those that the proxy uses at targets.
type Credentials struct {
	User     string
	Password string
	Database string
}

// Conn is one connection to a target. It serves one exchange at a time.
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
	// Committed is the position of the last commit on the connection.
	LastCommit rosemary.Position
	// Settings is the fingerprint of the session settings applied.
	SettingsFingerprint string
	generation          uint64
	lastUsed            time.Time
	status              byte
	broken              bool
	written             bool
}

// Open connects to a target and completes the handshake before ctx ends.
// Errors are trace.ConnectionProblem, or trace.LimitExceeded when the target
// has no connection left.
func Open(ctx context.Context, dialer rosemary.Dialer, target rosemary.Target, credentials Credentials) (*Conn, error) {
	conn, err := dialer.Dial(ctx, target.Address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dial target %s", target.ID)
	}
	c := &Conn{
		Target:     target.ID,
		conn:       conn,
		frontend:   pgproto3.NewFrontend(conn, conn),
		address:    target.Address,
		dialer:     dialer,
		parameters: make(map[string]string),
		prepared:   newPreparedSet(maxPrepared),
		lastUsed:   time.Now(),
	}
	c.frontend.SetMaxBodyLen(maxMessageBytes)
	release := c.guard(ctx)
	err = c.handshake(credentials)
	release()
	if err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "handshake with target %s", target.ID)
	}
	return c, nil
}

// guard ends reads and writes when ctx does. The returned function ends it.
func (c *Conn) guard(ctx context.Context) func() {
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
		return trace.ConnectionProblem(err, "send startup")
	}
	login := &login{conn: c, credentials: credentials}
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return trace.ConnectionProblem(err, "receive startup answer")
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
			if err := login.answer(message); err != nil {
				return err
			}
		}
	}
}

func startupError(m *pgproto3.ErrorResponse) error {
	if m.Code == "53300" {
		return trace.LimitExceeded("the target has no connection left: %s", m.Message)
	}
	return trace.ConnectionProblem(nil, "the target refused the connection: %s %s", m.Code, m.Message)
}

// Parameters returns the settings that the target reported at startup.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// TxStatus returns the transaction status of the last ReadyForQuery.
func (c *Conn) TxStatus() byte { return c.status }

// Broken reports whether the connection's state is in doubt.
func (c *Conn) Broken() bool { return c.broken }

// Written reports whether the last exchange put anything on the wire.
func (c *Conn) Written() bool { return c.written }

// Close ends the connection.
func (c *Conn) Close() {
	c.broken = true
	c.conn.Close()
}

// Step is a part of an exchange that one ReadyForQuery ends.
type Step struct {
	Messages []pgproto3.FrontendMessage
	// Receive takes each message of the answer, ReadyForQuery included. A
	// message is valid until Receive returns. Nil drops the answer.
	Receive func(pgproto3.BackendMessage) error
}

// Exchange sends all steps at once and takes their answers in order. An error
// leaves the connection broken; Written tells whether anything was sent.
func (c *Conn) Exchange(ctx context.Context, steps ...Step) error {
	c.written = false
	if c.broken {
		return trace.ConnectionProblem(nil, "connection to target %s is closed", c.Target)
	}
	if err := ctx.Err(); err != nil {
		return trace.Wrap(err)
	}
	release := c.guard(ctx)
	err := c.exchange(steps)
	release()
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
		return trace.ConnectionProblem(err, "send to target %s", c.Target)
	}
	for _, s := range steps {
		if err := c.answer(s.Receive); err != nil {
			return err
		}
	}
	return nil
}

// answer takes messages up to and including ReadyForQuery.
func (c *Conn) answer(receive func(pgproto3.BackendMessage) error) error {
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return trace.ConnectionProblem(err, "receive from target %s", c.Target)
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

// SendFlush sends messages that no ReadyForQuery will answer.
func (c *Conn) SendFlush(ctx context.Context, messages []pgproto3.FrontendMessage) error {
	release := c.guard(ctx)
	defer release()
	for _, m := range messages {
		c.frontend.Send(m)
	}
	c.frontend.Send(&pgproto3.Flush{})
	c.written = true
	if err := c.frontend.Flush(); err != nil {
		c.Close()
		return trace.ConnectionProblem(err, "send to target %s", c.Target)
	}
	return nil
}

// Receive takes one message.
func (c *Conn) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	release := c.guard(ctx)
	defer release()
	message, err := c.frontend.Receive()
	if err != nil {
		c.Close()
		return nil, trace.ConnectionProblem(err, "receive from target %s", c.Target)
	}
	return message, nil
}

// Cancel asks the target to cancel what the connection runs.
func (c *Conn) Cancel(ctx context.Context) error {
	conn, err := c.dialer.Dial(ctx, c.address)
	if err != nil {
		return trace.ConnectionProblem(err, "dial target %s to cancel", c.Target)
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
		return trace.ConnectionProblem(err, "send cancel to target %s", c.Target)
	}
	// The target closes the connection once the request is in force.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}
