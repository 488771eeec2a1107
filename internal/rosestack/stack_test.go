package rosestack_test

import (
	"context"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rosemarywell/rosemarywell/internal/rosestack"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// startStack starts a deployment on an in-memory network. It must be called
// within a synctest bubble.
func startStack(c *qt.C, name string) *rosestack.Stack {
	deployment, err := rosestack.FindDeployment(name)
	c.Assert(err, qt.IsNil)
	stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: deployment, InMemory: true})
	c.Assert(err, qt.IsNil)
	time.Sleep(time.Second)
	return stack
}

// withStack runs check on an in-memory deployment in a synctest bubble.
func withStack(t *testing.T, name string, check func(*qt.C, *rosestack.Stack)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stack := startStack(c, name)
		defer stack.Close()
		check(c, stack)
	})
}

// connect opens a client's connection to proxy i, as the first tenant and to the
// first database.
func connect(c *qt.C, stack *rosestack.Stack, i int, settings map[string]string) *pgconn.PgConn {
	conn, err := rosestack.Connect(context.Background(), stack.CallerDialer("caller"), stack.Proxies[i].Address, rosestack.CallerConfig{
		Tenant:   stack.InitialBundle.Tenants[0].Name,
		Database: stack.InitialBundle.Databases[0].Name,
		Settings: settings,
	})
	c.Assert(err, qt.IsNil)
	return conn
}

func query(c *qt.C, conn *pgconn.PgConn, text string) [][]string {
	rows, err := rosestack.Query(context.Background(), conn, text)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", text))
	return rows
}

// A session resumed on another proxy, by its token or by its name, must see its
// own writes although a replica lags.
func TestReadYourWritesOnAnotherProxy(t *testing.T) {
	for _, resume := range []string{"token", "name"} {
		t.Run(resume, func(t *testing.T) {
			withStack(t, "costa-rica", func(c *qt.C, stack *rosestack.Stack) {
				group := stack.Groups["licencias1"]
				group.Target("licencias1-2").SetLag(700 * time.Millisecond)
				first := connect(c, stack, 0, nil)
				query(c, first, "UPDATE licences SET version = 41 WHERE id = 7")
				settings := map[string]string{"rosemary.class": "lookup"}
				if resume == "token" {
					settings["rosemary.token"] = first.ParameterStatus("rosemary.token")
				} else {
					settings["rosemary.session"] = first.ParameterStatus("rosemary.session")
				}
				first.Close(context.Background())
				for i := 1; i < len(stack.Proxies); i++ {
					second := connect(c, stack, i, settings)
					rows := query(c, second, "SELECT version FROM licences WHERE id = 7")
					c.Check(rows, qt.DeepEquals, [][]string{{"41"}})
					second.Close(context.Background())
				}
			})
		})
	}
}

// A write must not be acknowledged before a replica has it: the primary alone is
// no quorum.
func TestWriteWaitsForAQuorum(t *testing.T) {
	withStack(t, "guatemala", func(c *qt.C, stack *rosestack.Stack) {
		group := stack.Groups["carreras1"]
		for _, id := range []string{"carreras1-2", "carreras1-3"} {
			group.Target(rosemary.TargetID(id)).SetLag(2 * time.Second)
		}
		conn := connect(c, stack, 0, nil)
		defer conn.Close(context.Background())
		started := time.Now()
		query(c, conn, "UPDATE entries SET version = 1 WHERE id = 'seed-001'")
		c.Check(time.Since(started) >= 2*time.Second, qt.IsTrue)
	})
}

// dialProxy returns a dial function for the driver that connects to proxy i.
func dialProxy(stack *rosestack.Stack, i int) pgconn.DialFunc {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		return stack.CallerDialer("driver").Dial(ctx, stack.Proxies[i].Address)
	}
}

// Slow watch responses of targets and a lagging replica must not cause a
// failover. The test simulates 3 minutes, or the duration in ROSEMARY_QUIET, such
// as 1h.
func TestNoUnneededFailover(t *testing.T) {
	duration := 3 * time.Minute
	if text := os.Getenv("ROSEMARY_QUIET"); text != "" {
		parsed, err := time.ParseDuration(text)
		qt.New(t).Assert(err, qt.IsNil)
		duration = parsed
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		deployment, err := rosestack.FindDeployment("costa-rica")
		c.Assert(err, qt.IsNil)
		deployment.Databases = deployment.Databases[:1]
		stack, err := rosestack.Start(context.Background(), rosestack.Config{Deployment: deployment, InMemory: true})
		c.Assert(err, qt.IsNil)
		defer stack.Close()
		targets := stack.Groups["licencias1"].Targets()
		for _, target := range targets {
			const everyTwentieth = 20
			target.SetSlowWatches(everyTwentieth, 450*time.Millisecond)
		}
		targets["licencias1-2"].SetLag(5 * time.Second)
		conn := connect(c, stack, 0, nil)
		defer conn.Close(context.Background())
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(2 * time.Second) {
			query(c, conn, "UPDATE licences SET version = version + 1 WHERE id = 1")
		}
		for id, target := range targets {
			c.Check(target.Status().Term, qt.Equals, uint64(1), qt.Commentf("%s", id))
		}
	})
}
