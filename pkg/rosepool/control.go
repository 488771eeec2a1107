package rosepool

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// controlTimeout bounds a control call. A watch may also take the time for which
// it asks the target to wait.
const controlTimeout = 600 * time.Millisecond

// Control calls a target's control functions over its own connection, outside the
// pool. It implements rosemary.TargetControl and runs one call at a time.
type Control struct {
	config Config
	conn   *Conn
}

var _ rosemary.TargetControl = (*Control)(nil)

// NewControl returns a control that connects on its first call.
func NewControl(config Config) *Control {
	return &Control{config: config}
}

// Close ends the connection.
func (c *Control) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Watch returns the target's status as soon as it differs from known, at the
// latest after wait.
func (c *Control) Watch(ctx context.Context, known rosemary.Status, wait time.Duration) (rosemary.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+controlTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		return rosemary.Status{}, err
	}
	rows, err := c.conn.queryWatch(ctx, known.Fingerprint(), strconv.FormatInt(wait.Milliseconds(), 10))
	if c.conn.Broken() {
		c.conn = nil
	}
	if err != nil {
		return rosemary.Status{}, err
	}
	if len(rows) == 0 {
		return known, nil
	}
	return parseStatus(rows)
}

// connect opens the connection if none is open.
func (c *Control) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	conn, err := Open(ctx, c.config.Dialer, c.config.Target, c.config.Credentials)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// watchStatement is the name of the prepared statement for Watch. A watch without
// changes is small on the wire: without a Describe message, the target sends no
// column descriptions, and it sends a row only if the status has changed.
const watchStatement = "rose_watch"

func (c *Conn) queryWatch(ctx context.Context, args ...string) ([][]string, error) {
	var messages []pgproto3.FrontendMessage
	if !c.HasPrepared(watchStatement) {
		messages = append(messages, &pgproto3.Parse{Name: watchStatement, Query: "SELECT * FROM rosemary.watch($1, $2)"})
	}
	parameters := make([][]byte, len(args))
	for i, a := range args {
		parameters[i] = []byte(a)
	}
	messages = append(messages,
		&pgproto3.Bind{PreparedStatement: watchStatement, Parameters: parameters},
		&pgproto3.Execute{}, &pgproto3.Sync{})
	rows, err := c.queryRows(ctx, messages)
	if err == nil {
		c.AddPrepared(watchStatement)
	}
	return rows, err
}

// Fence makes the target accept term and reject writes of older terms.
func (c *Control) Fence(ctx context.Context, term uint64, proposer string) (rosemary.Status, error) {
	return c.call(ctx, 0, "fence", strconv.FormatUint(term, 10), proposer)
}

// Promote makes a target that is fenced at term the primary of term.
func (c *Control) Promote(ctx context.Context, term uint64) (rosemary.Status, error) {
	return c.call(ctx, 0, "promote", strconv.FormatUint(term, 10))
}

// Follow makes the target replicate from primary under term.
func (c *Control) Follow(ctx context.Context, primary rosemary.TargetID, term uint64) (rosemary.Status, error) {
	return c.call(ctx, 0, "follow", string(primary), strconv.FormatUint(term, 10))
}

func (c *Control) call(ctx context.Context, wait time.Duration, function string, args ...string) (rosemary.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+controlTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		return rosemary.Status{}, err
	}
	for i, a := range args {
		args[i] = "'" + strings.ReplaceAll(a, "'", "''") + "'"
	}
	rows, err := c.conn.Query(ctx, "SELECT * FROM rosemary."+function+"("+strings.Join(args, ", ")+")")
	if c.conn.Broken() {
		c.conn = nil
	}
	if err != nil {
		return rosemary.Status{}, err
	}
	return parseStatus(rows)
}

// Query runs a simple query and returns its rows in text format. The error is a
// trace.BadParameter if the target returns an error response.
func (c *Conn) Query(ctx context.Context, query string) ([][]string, error) {
	return c.queryRows(ctx, []pgproto3.FrontendMessage{&pgproto3.Query{String: query}})
}

// queryRows sends messages and returns the rows of the response.
func (c *Conn) queryRows(ctx context.Context, messages []pgproto3.FrontendMessage) ([][]string, error) {
	var rows [][]string
	var failure error
	err := c.Exchange(ctx, Step{
		Messages: messages,
		Receive: func(message pgproto3.BackendMessage) error {
			switch m := message.(type) {
			case *pgproto3.DataRow:
				fields := make([]string, len(m.Values))
				for i, v := range m.Values {
					fields[i] = string(v)
				}
				rows = append(rows, fields)
			case *pgproto3.ErrorResponse:
				failure = trace.BadParameter("target %s returned error %s: %s", c.Target, m.Code, m.Message)
			}
			return nil
		},
	})
	if err != nil {
		return nil, err
	}
	return rows, failure
}

// statusColumns is the number of columns that the control functions return.
const statusColumns = 8

func parseStatus(rows [][]string) (rosemary.Status, error) {
	if len(rows) != 1 || len(rows[0]) != statusColumns {
		return rosemary.Status{}, trace.BadParameter("unexpected status row; the target's control functions may be of another version")
	}
	fields := rows[0]
	term, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return rosemary.Status{}, trace.BadParameter("status: invalid term %q", fields[1])
	}
	position, err := rosemary.ParsePosition(fields[2])
	if err != nil {
		return rosemary.Status{}, err
	}
	history, err := rosemary.ParseHistory(fields[5])
	if err != nil {
		return rosemary.Status{}, err
	}
	return rosemary.Status{
		Target:   rosemary.TargetID(fields[0]),
		Term:     term,
		Position: position,
		Role:     rosemary.Role(fields[3]),
		Primary:  rosemary.TargetID(fields[4]),
		History:  history,
		Leaving:  fields[6] == "true",

		Streaming: fields[7] == "true",
	}, nil
}
