package rosecaller_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// executor returns the given results in turn and records the tasks.
type executor struct {
	results   []rosecaller.Result
	tasks     []rosecaller.Task
	rollbacks int
	teams     *roseteam.Directory
}

func (e *executor) pop(task rosecaller.Task) rosecaller.Result {
	e.tasks = append(e.tasks, task)
	result := e.results[0]
	e.results = e.results[1:]
	return result
}

// Run returns the next result.
func (e *executor) Run(_ context.Context, t rosecaller.Task) rosecaller.Result { return e.pop(t) }

// Begin returns a transaction if the next result is open.
func (e *executor) Begin(_ context.Context, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result) {
	result := e.pop(task)
	if !result.Open {
		return nil, result
	}
	return e, result
}

// Execute returns the next result.
func (e *executor) Execute(_ context.Context, t rosecaller.Task) rosecaller.Result { return e.pop(t) }

// Rollback counts its calls.
func (e *executor) Rollback() { e.rollbacks++ }

// Route knows the database "db" only.
func (e *executor) Route(database string) (rosemary.Route, bool) {
	return rosemary.Route{Database: database, Group: "g", LatencyObjective: 100 * time.Millisecond, Class: rosemary.Class{Name: "own", Timeout: time.Second}}, database == "db"
}

// TransactionIdleTimeout returns one second.
func (e *executor) TransactionIdleTimeout() time.Duration { return time.Second }

// Served and Refused do nothing.
func (e *executor) Served(rosecaller.Task, rosecaller.Result, time.Duration) {}

func (e *executor) Refused(rosecaller.RefusedRequest) {}

// Teams returns the teams that the test has set.
func (e *executor) Teams() *roseteam.Directory { return e.teams }

func newSession(results ...rosecaller.Result) (*rosecaller.Session, *executor) {
	e := &executor{results: results}
	return rosecaller.NewSession(rosecaller.Config{ConfigProvider: e, Database: "db", Executor: e, Observer: e}), e
}

func statement(kind rosemary.StatementKind, name, payload string) rosemary.Statement {
	return rosemary.Statement{ID: "id", Kind: kind, Name: name, Payload: payload, Writes: kind == rosemary.StatementWrite}
}

var position = rosemary.Position{LogTerm: 2, Offset: 7}

func TestTaskCarriesSessionState(t *testing.T) {
	c := qt.New(t)
	done := rosecaller.Result{Answer: rosemary.Answer{Digest: "d"}, MinPosition: position}
	session, e := newSession(done, done, rosecaller.Result{Refusal: &rosemary.Refusal{}, MinPosition: position, MinPositionUnknown: true}, done)
	do := func(st rosemary.Statement) { _, _ = session.Do(context.Background(), st) }
	do(statement(rosemary.StatementSet, "tenant", "red"))
	do(statement(rosemary.StatementPrepare, "mine", "shape"))
	do(statement(rosemary.StatementWrite, "", "w"))
	do(statement(rosemary.StatementExecute, "mine", "x"))
	do(statement(rosemary.StatementWrite, "", "w"))
	do(statement(rosemary.StatementRead, "", "r"))
	c.Assert(e.tasks, qt.HasLen, 4)
	c.Check(e.tasks[0].MinPosition.IsZero(), qt.IsTrue)
	c.Check(e.tasks[1].MinPosition, qt.Equals, position)
	c.Check(e.tasks[1].Settings, qt.DeepEquals, map[string]string{"tenant": "red"})
	c.Check(e.tasks[1].Prepared.Payload, qt.Equals, "shape")
	c.Check(e.tasks[1].Statement.Name, qt.Equals, e.tasks[1].Prepared.Name)
	c.Check(e.tasks[1].Statement.Name, qt.Not(qt.Equals), "mine")
	c.Check(e.tasks[2].MinPositionUnknown, qt.IsFalse)
	c.Check(e.tasks[3].MinPositionUnknown, qt.IsTrue)
}

func TestOpenTransactionRunsFurtherStatements(t *testing.T) {
	c := qt.New(t)
	open := rosecaller.Result{Answer: rosemary.Answer{Digest: "d", TransactionState: rosemary.TransactionOpen}, Open: true}
	failed := rosecaller.Result{Answer: rosemary.Answer{Failure: rosemary.FailureExecution, TransactionState: rosemary.TransactionFailed}, Open: true}
	session, e := newSession(open, failed)
	for _, kind := range []rosemary.StatementKind{rosemary.StatementBegin, rosemary.StatementRead, rosemary.StatementWrite} {
		_, refusal := session.Do(context.Background(), statement(kind, "", "x"))
		c.Assert(refusal == nil, qt.IsTrue)
	}
	c.Check(session.TransactionState(), qt.Equals, rosemary.TransactionFailed)
	_, refusal := session.Do(context.Background(), statement(rosemary.StatementRead, "", "x"))
	c.Check(refusal.Kind, qt.Equals, rosemary.KindProtocol)
	_, refusal = session.Do(context.Background(), statement(rosemary.StatementRollback, "", ""))
	c.Check(refusal == nil, qt.IsTrue)
	c.Check(e.rollbacks, qt.Equals, 1)
	c.Check(session.TransactionState(), qt.Equals, rosemary.TransactionNone)
}

func TestExpiredTransactionIsReported(t *testing.T) {
	c := qt.New(t)
	session, e := newSession(rosecaller.Result{Answer: rosemary.Answer{Digest: "d", TransactionState: rosemary.TransactionOpen}, Open: true})
	_, _ = session.Do(context.Background(), statement(rosemary.StatementBegin, "", ""))
	_, _ = session.Do(context.Background(), statement(rosemary.StatementWrite, "", "w"))
	c.Check(session.IdleTimeout(), qt.Equals, time.Second)
	session.Expire()
	c.Check(e.rollbacks, qt.Equals, 1)
	_, refusal := session.Do(context.Background(), statement(rosemary.StatementWrite, "", "w"))
	c.Check(refusal.Kind, qt.Equals, rosemary.KindAborted)
	_, refusal = session.Do(context.Background(), statement(rosemary.StatementCommit, "", ""))
	c.Check(refusal.Kind, qt.Equals, rosemary.KindAborted)
	c.Check(session.TransactionState(), qt.Equals, rosemary.TransactionNone)
}

func TestConnectionLostResult(t *testing.T) {
	task := func(kind rosemary.StatementKind) rosecaller.Task {
		return rosecaller.Task{Statement: statement(kind, "", "x"), MinPosition: position}
	}
	tests := []struct {
		name                 string
		kind                 rosemary.StatementKind
		inTransaction, wrote bool
		outcome              rosemary.Outcome
		state                rosemary.TransactionState
		positionUnknown      bool
	}{
		{"read", rosemary.StatementRead, false, false, rosemary.OutcomeUnknown, rosemary.TransactionNone, false},
		{"write", rosemary.StatementWrite, false, false, rosemary.OutcomeUnknown, rosemary.TransactionNone, true},
		{"write in a transaction", rosemary.StatementWrite, true, true, rosemary.OutcomeNotRun, rosemary.TransactionFailed, false},
		{"commit after writes", rosemary.StatementCommit, true, true, rosemary.OutcomeUnknown, rosemary.TransactionNone, true},
		{"commit after reads", rosemary.StatementCommit, true, false, rosemary.OutcomeNotRun, rosemary.TransactionNone, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := rosecaller.ConnectionLostResult(task(test.kind), "t-1", test.inTransaction, test.wrote)
			qt.Check(t, result.Refusal.Outcome, qt.Equals, test.outcome)
			qt.Check(t, result.Answer.TransactionState, qt.Equals, test.state)
			qt.Check(t, result.MinPositionUnknown, qt.Equals, test.positionUnknown)
			qt.Check(t, result.MinPosition, qt.Equals, position)
			qt.Check(t, result.Open, qt.IsFalse)
		})
	}
}
