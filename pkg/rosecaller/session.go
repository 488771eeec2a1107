// Package rosecaller is the core of a caller's session, free of any protocol:
// its values and prepared names, its transaction, the floor of its reads, and
// the truth of what it is told.
package rosecaller

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Directory answers what the configuration in force says. Its answers may
// change from call to call.
type Directory interface {
	// Route returns the route of a database.
	Route(database string) (rosemary.Route, bool)
	// TransactionIdle is how long a transaction may rest.
	TransactionIdleTimeout() time.Duration
}

// Config sets up a Session.
type Config struct {
	Directory Directory
	Database  string
	Executor  Executor
	Observer  Observer
}

// Observer is told of what became of requests. It must not block.
type Observer interface {
	// Served is told of an answer of a target and the time that it took.
	Served(task Task, result Result, took time.Duration)
	// Refused is told of a refusal, of the last target that was asked, and of
	// the time that it took.
	Refused(database, id string, refusal *rosemary.Refusal, target rosemary.TargetID, took time.Duration)
}

// owners numbers the sessions of the process.
var owners atomic.Uint64

// Session is one caller's session. It serves one statement at a time.
type Session struct {
	config Config
	owner  uint64
	values map[string]string
	// prepared holds, by the caller's names, the preparations that all
	// sessions share.
	prepared map[string]rosemary.Statement
	// floor is the position of the session's last acknowledged write.
	floor rosemary.Position
	// uncertain is set once the outcome of a write is unknown.
	uncertain bool

	block    rosemary.TransactionState
	readOnly bool
	route    rosemary.Route
	// transaction is nil until a target runs its first statement.
	transaction Transaction
	// asked is the last target that was asked.
	asked rosemary.TargetID
	// expired is set once the transaction was ended while its caller rested,
	// until the caller has been told.
	expired bool
}

// New returns a session on a database.
func New(config Config) *Session {
	return &Session{config: config, owner: owners.Add(1), prepared: make(map[string]rosemary.Statement)}
}

// TransactionState returns the state of the session's transaction.
func (s *Session) TransactionState() rosemary.TransactionState { return s.block }

// IdleTimeout is how long the caller may rest now; zero means without limit.
func (s *Session) IdleTimeout() time.Duration {
	if s.block != rosemary.TransactionOpen {
		return 0
	}
	return s.config.Directory.TransactionIdleTimeout()
}

// Expire ends a transaction whose caller rested for too long. The caller
// learns of it with its next statement.
func (s *Session) Expire() {
	s.rollback()
	s.block, s.expired = rosemary.TransactionFailed, true
}

// Close ends the session and rolls back what is open.
func (s *Session) Close() {
	s.rollback()
	s.block = rosemary.TransactionNone
}

// Do runs one statement. The answer's block is that of the session after it.
// With a refusal there is no answer.
func (s *Session) Do(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	s.asked = ""
	started := time.Now()
	answer, refusal := s.do(ctx, statement)
	answer.TransactionState = s.block
	if refusal != nil {
		s.config.Observer.Refused(s.config.Database, statement.ID, refusal, s.asked, time.Since(started))
	}
	return answer, refusal
}

func (s *Session) do(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	if s.block == rosemary.TransactionFailed && statement.Kind != rosemary.StatementRollback && statement.Kind != rosemary.StatementCommit {
		if s.expired {
			s.expired = false
			return rosemary.Answer{}, aborted("the transaction rested for too long and was rolled back")
		}
		return rosemary.Answer{}, inFailedBlock()
	}
	switch statement.Kind {
	case rosemary.StatementSet:
		changed := maps.Clone(s.values)
		if changed == nil {
			changed = make(map[string]string)
		}
		changed[statement.Name] = statement.Payload
		s.values = changed
		return local(), nil
	case rosemary.StatementPrepare:
		s.prepared[statement.Name] = newPrepared(statement)
		return local(), nil
	case rosemary.StatementClose:
		if _, known := s.prepared[statement.Name]; !known {
			return rosemary.Answer{}, unknownName(statement.Name)
		}
		delete(s.prepared, statement.Name)
		return local(), nil
	case rosemary.StatementBegin:
		return s.startBlock(statement)
	case rosemary.StatementRollback:
		s.rollback()
		s.block = rosemary.TransactionNone
		return local(), nil
	}
	return s.run(ctx, statement)
}

// startBlock opens a transaction. The target learns of it with the first
// statement.
func (s *Session) startBlock(statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	if s.block != rosemary.TransactionNone {
		return rosemary.Answer{}, protocolError("a transaction is open already", "end it first")
	}
	route, found := s.config.Directory.Route(s.config.Database)
	if !found {
		return rosemary.Answer{}, unknownDatabase(s.config.Database)
	}
	s.block, s.readOnly, s.route, s.expired = rosemary.TransactionOpen, statement.ReadOnly, route, false
	return local(), nil
}

// run serves a statement that a target has to run.
func (s *Session) run(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	if statement.Kind == rosemary.StatementCommit && s.block != rosemary.TransactionOpen {
		return s.commitWithoutBlock()
	}
	task := Task{SessionID: s.owner, Values: s.values, MinPosition: s.floor, MinPositionUnknown: s.uncertain}
	if statement.Kind == rosemary.StatementExecute {
		p, known := s.prepared[statement.Name]
		if !known {
			return rosemary.Answer{}, unknownName(statement.Name)
		}
		statement.Name, statement.Writes = p.Name, p.Writes
		task.Prepared = p
	}
	if s.block == rosemary.TransactionNone {
		route, found := s.config.Directory.Route(s.config.Database)
		if !found {
			return rosemary.Answer{}, unknownDatabase(s.config.Database)
		}
		s.route, s.readOnly = route, false
	}
	started := time.Now()
	task.Statement, task.Route, task.ReadOnly = statement, s.route, s.readOnly
	task.Deadline, task.SoftDeadline = started.Add(s.route.Class.Deadline-answerSlack), started.Add(s.route.LatencyObjective)
	result := s.execute(ctx, task)
	if result.Refusal == nil && result.Answer.Failure == rosemary.FailureNone {
		s.config.Observer.Served(task, result, time.Since(started))
	}
	return result.Answer, result.Refusal
}

// execute has a target run a task, and takes in what became of it.
func (s *Session) execute(ctx context.Context, task Task) Result {
	var result Result
	switch {
	case s.block == rosemary.TransactionNone:
		result = s.config.Executor.Run(ctx, task)
	case s.transaction == nil:
		s.transaction, result = s.config.Executor.Begin(ctx, task)
	default:
		result = s.transaction.Execute(ctx, task)
	}
	if !result.Open {
		s.transaction = nil
	}
	s.block, s.floor, s.uncertain, s.asked = result.Answer.TransactionState, result.MinPosition, result.MinPositionUnknown, result.Target
	return result
}

// commitWithoutBlock answers a commit outside an open transaction. One that
// failed is rolled back.
func (s *Session) commitWithoutBlock() (rosemary.Answer, *rosemary.Refusal) {
	if s.block == rosemary.TransactionFailed {
		s.rollback()
		s.block = rosemary.TransactionNone
		return rosemary.Answer{}, aborted("the transaction had failed and was rolled back")
	}
	return rosemary.Answer{}, protocolError("no transaction is open", "begin one first")
}

// rollback ends what is open on a target.
func (s *Session) rollback() {
	if s.transaction != nil {
		s.transaction.Rollback()
		s.transaction = nil
	}
}

func local() rosemary.Answer { return rosemary.Answer{Digest: localDigest} }

// localDigest is that of statements which no target ran.
const localDigest = "-"
