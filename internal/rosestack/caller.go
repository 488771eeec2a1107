package rosestack

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
)

const clientConnectTimeout = 5 * time.Second

// CallerConfig configures a client's connection.
type CallerConfig struct {
	Tenant   string
	Database string
	// Settings are startup parameters, such as rosemary.token.
	Settings map[string]string
}

// Connect opens a client's connection to address with pgconn. Errors of the
// driver are returned as they are.
func Connect(ctx context.Context, dialer *rosenet.Dialer, address string, client CallerConfig) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// pgconn requires a host and a port; DialFunc ignores them.
	config.Host, config.Port = "proxy", 1
	config.User = client.Tenant
	config.Database = client.Database
	config.RuntimeParams = client.Settings
	config.ConnectTimeout = clientConnectTimeout
	config.LookupFunc = func(context.Context, string) ([]string, error) { return []string{"proxy"}, nil }
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return dialer.Dial(ctx, address)
	}
	return pgconn.ConnectConfig(ctx, config)
}

// driverClosedMessage is the text of pgconn's error for a closed connection.
// pgconn reports this error as safe to retry even if the connection closed
// after the query was sent.
const driverClosedMessage = "conn closed"

// errResponseLost is the error of a query that may have run.
var errResponseLost = errors.New("connection closed before the response was received")

// Query runs query with the simple query protocol and returns the rows of the
// last result. The error is that of the driver or, if the connection closed
// during the query, errResponseLost.
func Query(ctx context.Context, conn *pgconn.PgConn, query string) ([][]string, error) {
	wasClosed := conn.IsClosed()
	results, err := conn.Exec(ctx, query).ReadAll()
	if err != nil && !wasClosed && err.Error() == driverClosedMessage {
		return nil, errResponseLost
	}
	if err != nil || len(results) == 0 {
		return nil, err
	}
	var rows [][]string
	for _, fields := range results[len(results)-1].Rows {
		row := make([]string, len(fields))
		for i, f := range fields {
			row[i] = string(f)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// FirstInteger returns the first field of the first row, or -1 if there is no
// such field or it is not an integer.
func FirstInteger(rows [][]string) int {
	if len(rows) == 0 || len(rows[0]) == 0 {
		return -1
	}
	n, err := strconv.Atoi(rows[0][0])
	if err != nil {
		return -1
	}
	return n
}
