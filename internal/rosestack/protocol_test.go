package rosestack_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

// queryError runs a statement that must fail and returns the server's error.
func queryError(c *qt.C, conn *pgconn.PgConn, text string) *pgconn.PgError {
	_, err := rosestack.Query(context.Background(), conn, text)
	var pgErr *pgconn.PgError
	c.Assert(errors.As(err, &pgErr), qt.IsTrue, qt.Commentf("%s: %v", text, err))
	return pgErr
}

// Errors of the proxy carry the outcome as detail and a hint; those of the target
// are passed on. The connection must remain usable after either.
func TestErrorsHaveCodeOutcomeAndHint(t *testing.T) {
	withStack(t, "costa-rica", func(c *qt.C, stack *rosestack.Stack) {
		conn := connect(c, stack, 0, nil)
		defer conn.Close(context.Background())
		for _, test := range []struct{ statement, code, detail string }{
			{"LISTEN news", "0A000", "not run"},
			{"COPY licences TO STDOUT", "0A000", "not run"},
			{"CREATE TEMP TABLE t (id bigint)", "0A000", "not run"},
			{"SET work_mem = '1GB'", "0A000", "not run"},
			{"SET rosemary.class = 'unheard'", "22023", "not run"},
			{"SET rosemary.token = 'forged.token'", "22023", "not run"},
			{"SELECT 1; SET timezone = 'UTC'", "0A000", "not run"},
			{"SELECT 1 /*class='unheard'*/", "22023", "not run"},
			{"SELECT * FROM nowhere", "42P01", ""},
		} {
			pgErr := queryError(c, conn, test.statement)
			c.Check(pgErr.Code, qt.Equals, test.code, qt.Commentf("%s", test.statement))
			c.Check(pgErr.Detail, qt.Equals, test.detail, qt.Commentf("%s", test.statement))
			c.Check(pgErr.Hint != "" || test.detail == "", qt.IsTrue, qt.Commentf("%s", test.statement))
		}
		c.Check(query(c, conn, "SELECT count(*) FROM licences"), qt.DeepEquals, [][]string{{"100"}})
	})
}

func TestPreparedStatementsOnPrimaryAndReplicas(t *testing.T) {
	withStack(t, "costa-rica", func(c *qt.C, stack *rosestack.Stack) {
		ctx := context.Background()
		conn := connect(c, stack, 0, nil)
		defer conn.Close(ctx)
		_, err := conn.Prepare(ctx, "find", "SELECT version FROM licences WHERE id = $1 /*class='lookup'*/", nil)
		c.Assert(err, qt.IsNil)
		_, err = conn.Prepare(ctx, "change", "UPDATE licences SET version = $1 WHERE id = $2", nil)
		c.Assert(err, qt.IsNil)
		for i := range 20 {
			value := []byte(strings.Repeat("1", i%5+1))
			changed := conn.ExecPrepared(ctx, "change", [][]byte{value, []byte("7")}, nil, nil).Read()
			c.Assert(changed.Err, qt.IsNil)
			c.Check(changed.CommandTag.String(), qt.Equals, "UPDATE 1")
			found := conn.ExecPrepared(ctx, "find", [][]byte{[]byte("7")}, nil, nil).Read()
			c.Assert(found.Err, qt.IsNil)
			c.Check(string(found.Rows[0][0]), qt.Equals, string(value))
		}
		c.Assert(conn.Deallocate(ctx, "find"), qt.IsNil)
		c.Check(conn.ExecPrepared(ctx, "find", [][]byte{[]byte("7")}, nil, nil).Read().Err, qt.IsNotNil)
		c.Check(query(c, conn, "SELECT 1"), qt.DeepEquals, [][]string{{"1"}})
	})
}

func TestDriverDefaultQueryMode(t *testing.T) {
	withStack(t, "guatemala", func(c *qt.C, stack *rosestack.Stack) {
		ctx := context.Background()
		config, err := pgx.ParseConfig("sslmode=disable")
		c.Assert(err, qt.IsNil)
		config.DialFunc = dialProxy(stack, 1)
		config.LookupFunc = func(context.Context, string) ([]string, error) { return []string{"proxy"}, nil }
		config.Host, config.User, config.Database = "proxy", "runners", "carreras1"
		conn, err := pgx.ConnectConfig(ctx, config)
		c.Assert(err, qt.IsNil)
		defer conn.Close(ctx)
		tx, err := conn.Begin(ctx)
		c.Assert(err, qt.IsNil)
		_, err = tx.Exec(ctx, "UPDATE races SET places = places - $1 WHERE id = $2", int64(3), int64(4))
		c.Assert(err, qt.IsNil)
		var places int64
		c.Assert(tx.QueryRow(ctx, "SELECT places FROM races WHERE id = $1", int64(4)).Scan(&places), qt.IsNil)
		c.Check(places, qt.Equals, int64(4997))
		c.Assert(tx.Rollback(ctx), qt.IsNil)
		c.Assert(conn.QueryRow(ctx, "SELECT places FROM races WHERE id = $1 /*class='status'*/", int64(4)).Scan(&places), qt.IsNil)
		c.Check(places, qt.Equals, int64(5000))
	})
}

// A cancel request must not reach another session's statement, nor the session's
// next statement if it arrives late.
func TestCancelReachesOnlyItsOwnStatement(t *testing.T) {
	withStack(t, "costa-rica", func(c *qt.C, stack *rosestack.Stack) {
		ctx := context.Background()
		canceled, other := connect(c, stack, 0, nil), connect(c, stack, 0, nil)
		defer canceled.Close(ctx)
		defer other.Close(ctx)
		slept := make(chan error, 1)
		go func() {
			_, err := rosestack.Query(ctx, other, "SELECT pg_sleep(3)")
			slept <- err
		}()
		time.AfterFunc(500*time.Millisecond, func() { c.Check(canceled.CancelRequest(ctx), qt.IsNil) })
		started := time.Now()
		pgErr := queryError(c, canceled, "SELECT pg_sleep(5)")
		c.Check(pgErr.Code, qt.Equals, "57014")
		c.Check(time.Since(started) < time.Second, qt.IsTrue)
		c.Check(<-slept, qt.IsNil)
		c.Check(canceled.CancelRequest(ctx), qt.IsNil)
		c.Check(query(c, canceled, "SELECT 1"), qt.DeepEquals, [][]string{{"1"}})
	})
}

// After a proxy crashes, another proxy must report the outcome of a request and
// refuse to run it again.
func TestOutcomeAfterProxyCrash(t *testing.T) {
	for _, committed := range []bool{true, false} {
		withStack(t, "guatemala", func(c *qt.C, stack *rosestack.Stack) {
			ctx := context.Background()
			first := connect(c, stack, 0, nil)
			query(c, first, "BEGIN /*request_id='pay-1'*/")
			query(c, first, "INSERT INTO payments (id, entry, cents) VALUES ('p1', 'seed-001', 100)")
			if committed {
				query(c, first, "COMMIT")
			}
			stack.Proxies[0].Kill()
			second := connect(c, stack, 1, nil)
			defer second.Close(ctx)
			want := map[bool]string{true: "ran", false: "did not run"}[committed]
			c.Check(query(c, second, "SELECT rosemary.outcome('pay-1')"), qt.DeepEquals, [][]string{{want}})
			pgErr := queryError(c, second, "INSERT INTO payments (id, entry, cents) VALUES ('p2', 'seed-001', 100) /*request_id='pay-1'*/")
			c.Check(pgErr.Code, qt.Equals, "23505")
			c.Check(pgErr.Message, qt.Matches, ".*outcome: "+want)
			rows := query(c, second, "SELECT count(*) FROM payments")
			c.Check(rows[0][0], qt.Equals, map[bool]string{true: "1", false: "0"}[committed])
		})
	}
}

func TestDrainAwaitsOpenTransaction(t *testing.T) {
	withStack(t, "costa-rica", func(c *qt.C, stack *rosestack.Stack) {
		ctx := context.Background()
		busy, idle := connect(c, stack, 0, nil), connect(c, stack, 0, nil)
		query(c, busy, "BEGIN")
		query(c, busy, "UPDATE licences SET version = 5 WHERE id = 5")
		drained := make(chan error, 1)
		go func() { drained <- stack.Proxies[0].Drain(ctx) }()
		time.Sleep(time.Second)
		pgErr := queryError(c, idle, "SELECT 1")
		c.Check(pgErr.Code, qt.Equals, "57P01")
		c.Check(pgErr.Detail, qt.Equals, "not run")
		query(c, busy, "COMMIT")
		token := busy.ParameterStatus("rosemary.token")
		c.Check(<-drained, qt.IsNil)
		second := connect(c, stack, 1, map[string]string{"rosemary.token": token, "rosemary.class": "lookup"})
		defer second.Close(ctx)
		c.Check(query(c, second, "SELECT version FROM licences WHERE id = 5"), qt.DeepEquals, [][]string{{"5"}})
	})
}

func TestSessionSettings(t *testing.T) {
	withStack(t, "costa-rica", func(c *qt.C, stack *rosestack.Stack) {
		ctx := context.Background()
		conn := connect(c, stack, 0, nil)
		defer conn.Close(ctx)
		query(c, conn, "SET statement_timeout = '3s'")
		query(c, conn, "SET rosemary.class = 'lookup'")
		c.Check(query(c, conn, "SHOW rosemary.class"), qt.DeepEquals, [][]string{{"lookup"}})
		c.Check(query(c, conn, "SELECT version FROM licences WHERE id = 1"), qt.DeepEquals, [][]string{{"0"}})
		query(c, conn, "RESET ALL")
		query(c, conn, "DISCARD ALL")
	})
}
