package rosecaller_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// script is an executor that answers with results in turn and keeps the tasks.
type script struct {
	results []rosecaller.Result
	tasks   []rosecaller.Task
	rolled  int
}

func (s *script) next(task rosecaller.Task) rosecaller.Result {
	s.tasks = append(s.tasks, task)
	result := s.results[0]
	s.results = s.results[1:]
	return result
}

// Run answers a statement outside a transaction.
func (s *script) Run(_ context.Context, task rosecaller.Task) rosecaller.Result { return s.next(task) }

// Begin opens a transaction if the result says so.
func (s *script) Begin(_ context.Context, task rosecaller.Task) (rosecaller.Transaction, rosecaller.Result) {
	result := s.next(task)
	if !result.Open {
		return nil, result
	}
	return s, result
}

// Next answers a further statement.
func (s *script) Execute(_ context.Context, task rosecaller.Task) rosecaller.Result {
	return s.next(task)
}

// Rollback counts.
func (s *script) Rollback() { s.rolled++ }

// Route returns the only route.
func (s *script) Route(database string) (rosemary.Route, bool) {
	return rosemary.Route{Database: database, Group: "g", LatencyObjective: 100 * time.Millisecond, Class: rosemary.Class{Name: "own", Deadline: time.Second}}, database == "db"
}

// TransactionIdle is short.
func (s *script) TransactionIdleTimeout() time.Duration { return time.Second }

// Served and Refused do nothing.
func (s *script) Served(rosecaller.Task, rosecaller.Result, time.Duration) {}

func (s *script) Refused(string, string, *rosemary.Refusal, rosemary.TargetID, time.Duration) {
}

func newSession(results ...rosecaller.Result) (*rosecaller.Session, *script) {
	s := &script{results: results}
	return rosecaller.New(rosecaller.Config{Directory: s, Database: "db", Executor: s, Observer: s}), s
}

func statement(kind rosemary.StatementKind, name, payload string) rosemary.Statement {
	return rosemary.Statement{ID: "id", Kind: kind, Name: name, Payload: payload, Writes: kind == rosemary.StatementWrite}
}

var position = rosemary.Position{LogTerm: 2, Offset: 7}

func TestTaskCarriesTheSession(t *testing.T) {
	c := qt.New(t)
	done := rosecaller.Result{Answer: rosemary.Answer{Digest: "d"}, MinPosition: position}
	session, s := newSession(done, done, rosecaller.Result{Refusal: &rosemary.Refusal{}, MinPosition: position, MinPositionUnknown: true}, done)
	do := func(st rosemary.Statement) { _, _ = session.Do(context.Background(), st) }
	do(statement(rosemary.StatementSet, "tenant", "red"))
	do(statement(rosemary.StatementPrepare, "mine", "shape"))
	do(statement(rosemary.StatementWrite, "", "w"))
	do(statement(rosemary.StatementExecute, "mine", "x"))
	do(statement(rosemary.StatementWrite, "", "w"))
	do(statement(rosemary.StatementRead, "", "r"))
	c.Assert(s.tasks, qt.HasLen, 4)
	c.Check(s.tasks[0].MinPosition.IsZero(), qt.IsTrue)
	c.Check(s.tasks[1].MinPosition, qt.Equals, position)
	c.Check(s.tasks[1].Values, qt.DeepEquals, map[string]string{"tenant": "red"})
	c.Check(s.tasks[1].Prepared.Payload, qt.Equals, "shape")
	c.Check(s.tasks[1].Statement.Name, qt.Equals, s.tasks[1].Prepared.Name)
	c.Check(s.tasks[1].Statement.Name, qt.Not(qt.Equals), "mine")
	c.Check(s.tasks[2].MinPositionUnknown, qt.IsFalse)
	c.Check(s.tasks[3].MinPositionUnknown, qt.IsTrue)
}

func TestTransactionStaysWithItsExecutor(t *testing.T) {
	c := qt.New(t)
	open := rosecaller.Result{Answer: rosemary.Answer{Digest: "d", TransactionState: rosemary.TransactionOpen}, Open: true}
	failed := rosecaller.Result{Answer: rosemary.Answer{Failure: rosemary.FailureExecution, TransactionState: rosemary.TransactionFailed}, Open: true}
	session, s := newSession(open, failed)
	for _, kind := range []rosemary.StatementKind{rosemary.StatementBegin, rosemary.StatementRead, rosemary.StatementWrite} {
		_, refusal := session.Do(context.Background(), statement(kind, "", "x"))
		c.Assert(refusal == nil, qt.IsTrue)
	}
	c.Check(session.TransactionState(), qt.Equals, rosemary.TransactionFailed)
	_, refusal := session.Do(context.Background(), statement(rosemary.StatementRead, "", "x"))
	c.Check(refusal.Kind, qt.Equals, rosemary.KindProtocol)
	_, refusal = session.Do(context.Background(), statement(rosemary.StatementRollback, "", ""))
	c.Check(refusal == nil, qt.IsTrue)
	c.Check(s.rolled, qt.Equals, 1)
	c.Check(session.TransactionState(), qt.Equals, rosemary.TransactionNone)
}

func TestExpiredTransactionIsTold(t *testing.T) {
	c := qt.New(t)
	session, s := newSession(rosecaller.Result{Answer: rosemary.Answer{Digest: "d", TransactionState: rosemary.TransactionOpen}, Open: true})
	_, _ = session.Do(context.Background(), statement(rosemary.StatementBegin, "", ""))
	_, _ = session.Do(context.Background(), statement(rosemary.StatementWrite, "", "w"))
	c.Check(session.IdleTimeout(), qt.Equals, time.Second)
	session.Expire()
	c.Check(s.rolled, qt.Equals, 1)
	_, refusal := session.Do(context.Background(), statement(rosemary.StatementWrite, "", "w"))
	c.Check(refusal.Kind, qt.Equals, rosemary.KindAborted)
	_, refusal = session.Do(context.Background(), statement(rosemary.StatementCommit, "", ""))
	c.Check(refusal.Kind, qt.Equals, rosemary.KindAborted)
	c.Check(session.TransactionState(), qt.Equals, rosemary.TransactionNone)
}

func TestWhatALostAnswerMeans(t *testing.T) {
	task := func(kind rosemary.StatementKind) rosecaller.Task {
		return rosecaller.Task{Statement: statement(kind, "", "x"), MinPosition: position}
	}
	tests := []struct {
		name           string
		kind           rosemary.StatementKind
		inBlock, wrote bool
		outcome        rosemary.Outcome
		block          rosemary.TransactionState
		uncertain      bool
	}{
		{"a read", rosemary.StatementRead, false, false, rosemary.OutcomeUnknown, rosemary.TransactionNone, false},
		{"a write", rosemary.StatementWrite, false, false, rosemary.OutcomeUnknown, rosemary.TransactionNone, true},
		{"a write of a transaction", rosemary.StatementWrite, true, true, rosemary.OutcomeNotRun, rosemary.TransactionFailed, false},
		{"a commit of writes", rosemary.StatementCommit, true, true, rosemary.OutcomeUnknown, rosemary.TransactionNone, true},
		{"a commit of reads", rosemary.StatementCommit, true, false, rosemary.OutcomeNotRun, rosemary.TransactionNone, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := rosecaller.ConnectionLostResult(task(test.kind), "t-1", test.inBlock, test.wrote)
			qt.Check(t, result.Refusal.Outcome, qt.Equals, test.outcome)
			qt.Check(t, result.Answer.TransactionState, qt.Equals, test.block)
			qt.Check(t, result.MinPositionUnknown, qt.Equals, test.uncertain)
			qt.Check(t, result.MinPosition, qt.Equals, position)
			qt.Check(t, result.Open, qt.IsFalse)
		})
	}
}
