package roseload

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

// closeAfterQuery serves one connection and closes it once it has received the
// first query.
func closeAfterQuery(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	_, _ = backend.Receive()
}

// A request may have run if the connection closes before the response, although
// the driver then reports a closed connection and that a retry is safe.
func TestLostResponseIsUnknown(t *testing.T) {
	c := qt.New(t)
	config, err := pgconn.ParseConfig("host=proxy user=u database=d sslmode=disable")
	c.Assert(err, qt.IsNil)
	config.LookupFunc = func(context.Context, string) ([]string, error) { return []string{"proxy"}, nil }
	config.DialFunc = func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go closeAfterQuery(server)
		return client, nil
	}
	conn, err := pgconn.ConnectConfig(context.Background(), config)
	c.Assert(err, qt.IsNil)
	_, err = rosestack.Query(context.Background(), conn, "INSERT")
	outcome, _ := classify(err)
	c.Check(outcome, qt.Equals, OutcomeUnknown, qt.Commentf("%v", err))
	// On a connection that is already closed, the driver sends nothing.
	_, err = rosestack.Query(context.Background(), conn, "INSERT")
	outcome, _ = classify(err)
	c.Check(outcome, qt.Equals, OutcomeNotRun, qt.Commentf("%v", err))
}
