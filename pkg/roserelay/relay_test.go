package roserelay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roserelay"
)

// executor is a fake executor of a home proxy. It records tasks and counts
// transactions.
type executor struct {
	latency time.Duration

	mu       sync.Mutex
	tasks    []rosecaller.Task
	open     int
	finished int
}

func (e *executor) record(task rosecaller.Task) rosecaller.Result {
	time.Sleep(e.latency)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tasks = append(e.tasks, task)
	return rosecaller.Result{
		Answer: rosemary.Answer{Rows: []string{"row"}, Digest: "digest"}, MinPosition: rosemary.Position{LogTerm: 2, Offset: 7},
		Target: "t-1", Primary: true,
	}
}

// Run returns one row.
func (e *executor) Run(_ context.Context, task rosecaller.Task) rosecaller.Result {
	return e.record(task)
}

// Begin opens a transaction.
func (e *executor) Begin(_ context.Context, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result) {
	result := e.record(task)
	e.mu.Lock()
	e.open++
	e.mu.Unlock()
	result.Open, result.Answer.TransactionState = true, rosemary.TransactionOpen
	return &transaction{executor: e}, result
}

func (e *executor) openTransactions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

type transaction struct {
	executor *executor
	ended    bool
}

// Execute keeps the transaction open until a commit.
func (t *transaction) Execute(_ context.Context, task rosecaller.Task) rosecaller.Result {
	result := t.executor.record(task)
	if task.Statement.Kind != rosemary.StatementCommit {
		result.Open, result.Answer.TransactionState = true, rosemary.TransactionOpen
		return result
	}
	t.Rollback()
	return result
}

// Rollback ends the transaction, and counts it once.
func (t *transaction) Rollback() {
	t.executor.mu.Lock()
	defer t.executor.mu.Unlock()
	if !t.ended {
		t.ended = true
		t.executor.open--
		t.executor.finished++
	}
}

// runRelay runs a test with a client and a home proxy on a fake clock.
func runRelay(t *testing.T, latency time.Duration, run func(c *qt.C, e *executor, network *rosenet.Network, server *roserelay.Server, client *roserelay.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := rosenet.NewNetwork(rosenet.Config{InMemory: true, Delay: func(_, _ rosenet.Host) time.Duration { return time.Millisecond }})
		defer network.Close()
		e := &executor{latency: latency}
		server := roserelay.NewServer(roserelay.ServerConfig{Executor: e})
		listener, err := network.Listen(rosenet.Host{Name: "home", Zone: "b"}, "home:1")
		c.Assert(err, qt.IsNil)
		mux := http.NewServeMux()
		mux.Handle("GET "+roserelay.Path, server)
		httpServer := &http.Server{Handler: mux}
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				c.Error(err)
			}
		}()
		client := roserelay.NewClient(roserelay.ClientConfig{Dialer: network.Dialer(rosenet.Host{Name: "client", Zone: "a"})})
		run(c, e, network, server, client)
		client.Close()
		server.Close()
		listener.Close()
		_ = httpServer.Close()
		<-done
		time.Sleep(time.Minute)
	})
}

var home = rosemary.Member{Proxy: "home", Address: "home:1", Zone: "b"}

func task(kind rosemary.StatementKind, id string) rosecaller.Task {
	now := time.Now()
	return rosecaller.Task{
		Route:     rosemary.Route{Group: "g", Priority: 2, Class: rosemary.Class{Name: "own", MaxAge: 2500 * time.Millisecond, ReadYourWrites: true}},
		SessionID: 9, Settings: map[string]string{"tenant": "red"}, MinPosition: rosemary.Position{LogTerm: 2, Offset: 5},
		Prepared:  rosemary.Statement{Kind: rosemary.StatementPrepare, Name: "p1", Writes: true, Payload: "q2"},
		Statement: rosemary.Statement{ID: id, Kind: kind, Writes: kind == rosemary.StatementWrite, Payload: "WRITE 1 one"},
		Deadline:  now.Add(1500 * time.Millisecond), SoftDeadline: now.Add(250 * time.Millisecond),
	}
}

func TestTaskRoundTrip(t *testing.T) {
	runRelay(t, 0, func(c *qt.C, e *executor, _ *rosenet.Network, _ *roserelay.Server, client *roserelay.Client) {
		sent := task(rosemary.StatementWrite, "w1")
		result, delivery := client.Run(context.Background(), home, sent)
		c.Assert(delivery, qt.Equals, roserelay.Answered)
		c.Check(result, qt.DeepEquals, e.record(rosecaller.Task{}))
		got := e.tasks[0]
		c.Check(got.Route, qt.DeepEquals, sent.Route)
		c.Check(got.Settings, qt.DeepEquals, sent.Settings)
		c.Check(got.Prepared, qt.DeepEquals, sent.Prepared)
		c.Check(got.Statement, qt.DeepEquals, sent.Statement)
		c.Check(got.MinPosition, qt.Equals, sent.MinPosition)
		c.Check(got.SessionID&0xffff, qt.Equals, sent.SessionID)
		// Transfer may shorten the remaining time, but never extend it.
		c.Check(got.Deadline.After(sent.Deadline.Add(10*time.Millisecond)), qt.IsFalse)
	})
}

func TestTaskForUnreachableHomeIsNotSent(t *testing.T) {
	runRelay(t, 0, func(c *qt.C, e *executor, network *rosenet.Network, _ *roserelay.Server, client *roserelay.Client) {
		network.SetBlocked(func(_, _ rosenet.Host) bool { return true })
		_, delivery := client.Run(context.Background(), home, task(rosemary.StatementWrite, "w1"))
		c.Check(delivery, qt.Equals, roserelay.NotSent)
		network.SetBlocked(nil)
		time.Sleep(time.Second)
		_, delivery = client.Run(context.Background(), home, task(rosemary.StatementWrite, "w2"))
		c.Check(delivery, qt.Equals, roserelay.Answered)
		c.Check(e.tasks, qt.HasLen, 1)
	})
}

// A statement on a silent link must fail after about a second, not wait for its
// whole deadline.
func TestSilentLinkTimesOut(t *testing.T) {
	runRelay(t, 10*time.Millisecond, func(c *qt.C, e *executor, network *rosenet.Network, _ *roserelay.Server, client *roserelay.Client) {
		open, result, delivery := client.Begin(context.Background(), home, task(rosemary.StatementWrite, "b1"))
		c.Assert(delivery, qt.Equals, roserelay.Answered)
		c.Assert(result.Answer.TransactionState, qt.Equals, rosemary.TransactionOpen)
		network.SetBlocked(func(_, _ rosenet.Host) bool { return true })
		next := task(rosemary.StatementCommit, "b2")
		next.Deadline = time.Now().Add(10 * time.Second)
		started := time.Now()
		result = open.Execute(context.Background(), next)
		c.Check(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
		c.Check(result.Refusal.Outcome, qt.Equals, rosemary.OutcomeUnknown)
		// The rollback can't reach the home proxy, which rolls back by itself.
		time.Sleep(4 * time.Second)
		c.Check(e.openTransactions(), qt.Equals, 0)
	})
}

// The client gives up on a begin at its deadline; the transaction must be
// rolled back when the begin completes later.
func TestUnansweredBeginIsRolledBack(t *testing.T) {
	runRelay(t, time.Second, func(c *qt.C, e *executor, _ *rosenet.Network, _ *roserelay.Server, client *roserelay.Client) {
		late := task(rosemary.StatementWrite, "b1")
		late.Deadline = time.Now().Add(100 * time.Millisecond)
		_, _, delivery := client.Begin(context.Background(), home, late)
		c.Check(delivery, qt.Equals, roserelay.Unanswered)
		time.Sleep(2 * time.Second)
		c.Check(e.openTransactions(), qt.Equals, 0)
		c.Check(e.finished, qt.Equals, 1)
	})
}

func TestDrainRollsBackOpenTransactions(t *testing.T) {
	runRelay(t, 10*time.Millisecond, func(c *qt.C, e *executor, _ *rosenet.Network, server *roserelay.Server, client *roserelay.Client) {
		open, _, _ := client.Begin(context.Background(), home, task(rosemary.StatementWrite, "b1"))
		server.SetDrainDeadlines(rosecaller.DrainDeadlines{IdleSessions: time.Now().Add(time.Second), OpenTransactions: time.Now().Add(2 * time.Second)})
		result, _ := client.Run(context.Background(), home, task(rosemary.StatementWrite, "w1"))
		c.Check(result.Refusal.Kind, qt.Equals, rosemary.KindDraining)
		c.Check(result.Refusal.Outcome, qt.Equals, rosemary.OutcomeNotRun)
		c.Check(open.Execute(context.Background(), task(rosemary.StatementWrite, "b2")).Open, qt.IsTrue)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		started := time.Now()
		server.Wait(ctx)
		c.Check(time.Since(started) > time.Second && time.Since(started) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
		c.Check(e.openTransactions(), qt.Equals, 0)
		c.Check(open.Execute(context.Background(), task(rosemary.StatementCommit, "b3")).Refusal.Kind, qt.Equals, rosemary.KindAborted)
	})
}

// TestReadLeavesSilentHome guards against reads that wait for a home that has fallen silent
// until their deadline, too late to be tried elsewhere. A write waits, as it may have run.
func TestReadLeavesSilentHome(t *testing.T) {
	tests := []struct {
		kind   rosemary.StatementKind
		writes bool
	}{{rosemary.StatementRead, false}, {rosemary.StatementWrite, true}}
	for _, test := range tests {
		t.Run(test.kind.String(), func(t *testing.T) {
			runRelay(t, 0, func(c *qt.C, _ *executor, network *rosenet.Network, _ *roserelay.Server, client *roserelay.Client) {
				_, delivery := client.Run(context.Background(), home, task(test.kind, "first"))
				c.Assert(delivery, qt.Equals, roserelay.Answered)
				network.SetBlocked(func(_, _ rosenet.Host) bool { return true })
				cut := task(test.kind, "cut")
				cut.Deadline = time.Now().Add(time.Second)
				sentAt := time.Now()
				_, delivery = client.Run(context.Background(), home, cut)
				c.Check(delivery, qt.Equals, roserelay.Unanswered)
				left := cut.Deadline.Sub(sentAt) - time.Since(sentAt)
				c.Check(left > 300*time.Millisecond, qt.Equals, !test.writes, qt.Commentf("%v left", left))
				c.Check(client.Record(home).Lost(time.Now()), qt.IsTrue)
			})
		})
	}
}
