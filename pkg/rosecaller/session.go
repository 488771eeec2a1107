// Package rosecaller implements client sessions independently of the client
// protocol: settings, prepared statements, transactions, read-your-writes
// positions, and retries that never run a write twice.
package rosecaller

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// ConfigProvider looks up the active configuration. Its answers may change
// between calls.
type ConfigProvider interface {
	// Route returns the route of a database.
	Route(database string) (rosemary.Route, bool)
	// TransactionIdleTimeout is how long a transaction may be idle.
	TransactionIdleTimeout() time.Duration
	// Teams returns the teams that may use the databases, nil if callers need no key.
	Teams() *roseteam.Directory
}

// Config configures a Session.
type Config struct {
	ConfigProvider ConfigProvider
	Database       string
	// Key identifies the caller's key.
	Key      roseteam.KeyDigest
	Executor Executor
	Observer Observer
}

// Observer receives the results of requests. Its methods must not block.
type Observer interface {
	// Served reports a successful answer of a target and how long it took.
	Served(task Task, result Result, took time.Duration)
	// Refused reports a refusal.
	Refused(request RefusedRequest)
}

// RefusedRequest is a request that was refused.
type RefusedRequest struct {
	Database string
	// Team is the team that holds the caller's key, or did last; empty if no team ever did.
	Team string
	// ID is the request's Statement.ID.
	ID      string
	Refusal *rosemary.Refusal
	// Target is the last target that was used.
	Target rosemary.TargetID
	Took   time.Duration
}

// lastSessionID numbers the sessions of this process.
var lastSessionID atomic.Uint64

// Session is the session of one client. It runs one statement at a time.
type Session struct {
	config   Config
	id       uint64
	identity identity
	// lastTeam is the last team that held the session's key.
	lastTeam string
	settings map[string]string
	// prepared maps the client's names of prepared statements to the prepare
	// statements that targets get, whose names all sessions share.
	prepared map[string]rosemary.Statement
	// minPosition is the log position of the session's last acknowledged
	// write.
	minPosition rosemary.Position
	// minPositionUnknown is set once the outcome of a write is unknown.
	minPositionUnknown bool

	transactionState rosemary.TransactionState
	readOnly         bool
	route            rosemary.Route
	// transactionTeam is the caller's team when the transaction began.
	transactionTeam string
	// transaction is nil until a target runs its first statement.
	transaction Transaction
	// lastTarget is the last target that the current statement used.
	lastTarget rosemary.TargetID
	// expired is set when a transaction is rolled back because its client was
	// idle, until the client has received the error.
	expired bool
}

// NewSession returns a session on the database of config.
func NewSession(config Config) *Session {
	identity := newIdentity(config.ConfigProvider.Teams(), config.Key)
	return &Session{
		config: config, id: lastSessionID.Add(1), identity: identity, lastTeam: identity.team,
		prepared: make(map[string]rosemary.Statement),
	}
}

// TransactionState returns the state of the session's transaction.
func (s *Session) TransactionState() rosemary.TransactionState { return s.transactionState }

// IdleTimeout returns how long the client may be idle now; zero means without
// limit.
func (s *Session) IdleTimeout() time.Duration {
	if s.transactionState != rosemary.TransactionOpen {
		return 0
	}
	return s.config.ConfigProvider.TransactionIdleTimeout()
}

// Expire rolls back a transaction whose client was idle for too long. The
// client's next statement gets the error.
func (s *Session) Expire() {
	s.rollback()
	s.transactionState, s.expired = rosemary.TransactionFailed, true
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() {
	s.rollback()
	s.transactionState = rosemary.TransactionNone
}

// Do runs one statement. The transaction state in the answer is that of the
// session after the statement, even with a refusal; the rest of the answer is
// then empty.
func (s *Session) Do(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	s.lastTarget = ""
	started := time.Now()
	answer, refusal := s.do(ctx, statement)
	answer.TransactionState = s.transactionState
	if refusal != nil {
		s.config.Observer.Refused(RefusedRequest{
			Database: s.config.Database, Team: s.lastTeam, ID: statement.ID, Refusal: refusal, Target: s.lastTarget, Took: time.Since(started),
		})
	}
	return answer, refusal
}

func (s *Session) do(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	if s.transactionState == rosemary.TransactionFailed && statement.Kind != rosemary.StatementRollback && statement.Kind != rosemary.StatementCommit {
		if s.expired {
			s.expired = false
			return rosemary.Answer{}, aborted("the transaction was idle for too long and was rolled back")
		}
		return rosemary.Answer{}, transactionFailed()
	}
	switch statement.Kind {
	case rosemary.StatementSet:
		settings := maps.Clone(s.settings)
		if settings == nil {
			settings = make(map[string]string)
		}
		settings[statement.Name] = statement.Payload
		s.settings = settings
		return localAnswer(), nil
	case rosemary.StatementPrepare:
		s.prepared[statement.Name] = withSharedName(statement)
		return localAnswer(), nil
	case rosemary.StatementClose:
		if _, known := s.prepared[statement.Name]; !known {
			return rosemary.Answer{}, unknownStatement(statement.Name)
		}
		delete(s.prepared, statement.Name)
		return localAnswer(), nil
	case rosemary.StatementBegin:
		return s.startTransaction(statement)
	case rosemary.StatementRollback:
		s.rollback()
		s.transactionState = rosemary.TransactionNone
		return localAnswer(), nil
	}
	return s.run(ctx, statement)
}

// startTransaction opens a transaction. The target is chosen, and gets the
// begin, with the transaction's first statement.
func (s *Session) startTransaction(statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	if s.transactionState != rosemary.TransactionNone {
		return rosemary.Answer{}, protocolError("a transaction is already open", "commit or roll back the transaction first")
	}
	route, found := s.config.ConfigProvider.Route(s.config.Database)
	if !found {
		return rosemary.Answer{}, unknownDatabase(s.config.Database)
	}
	if refusal := s.resolveTeam(route); refusal != nil {
		return rosemary.Answer{}, refusal
	}
	s.transactionState, s.readOnly, s.route, s.expired = rosemary.TransactionOpen, statement.ReadOnly, route, false
	s.transactionTeam = s.identity.team
	return localAnswer(), nil
}

// run runs a statement on a target.
func (s *Session) run(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	if statement.Kind == rosemary.StatementCommit && s.transactionState != rosemary.TransactionOpen {
		return s.commitOutsideTransaction()
	}
	task := Task{SessionID: s.id, Settings: s.settings, MinPosition: s.minPosition, MinPositionUnknown: s.minPositionUnknown}
	if statement.Kind == rosemary.StatementExecute {
		p, known := s.prepared[statement.Name]
		if !known {
			return rosemary.Answer{}, unknownStatement(statement.Name)
		}
		statement.Name, statement.Writes = p.Name, p.Writes
		task.Prepared = p
	}
	if s.transactionState == rosemary.TransactionNone {
		route, found := s.config.ConfigProvider.Route(s.config.Database)
		if !found {
			return rosemary.Answer{}, unknownDatabase(s.config.Database)
		}
		s.route, s.readOnly = route, false
	}
	started := time.Now()
	task.Statement, task.Route, task.ReadOnly = statement, s.route, s.readOnly
	task.Deadline, task.SoftDeadline = started.Add(s.route.Class.Timeout-answerMargin), started.Add(s.route.LatencyObjective)
	result := s.executeForTeam(ctx, &task)
	if result.Refusal == nil && result.Answer.Failure == rosemary.FailureNone {
		s.config.Observer.Served(task, result, time.Since(started))
	}
	return result.Answer, result.Refusal
}

// execute runs a task on a target and updates the session from the result.
func (s *Session) execute(ctx context.Context, task Task) Result {
	var result Result
	switch {
	case s.transactionState == rosemary.TransactionNone:
		result = s.config.Executor.Run(ctx, task)
	case s.transaction == nil:
		s.transaction, result = s.config.Executor.Begin(ctx, task)
	default:
		result = s.transaction.Execute(ctx, task)
	}
	if !result.Open {
		s.transaction = nil
	}
	s.transactionState, s.minPosition, s.minPositionUnknown, s.lastTarget = result.Answer.TransactionState, result.MinPosition, result.MinPositionUnknown, result.Target
	return result
}

// commitOutsideTransaction answers a commit when no transaction is open. A
// failed transaction is rolled back.
func (s *Session) commitOutsideTransaction() (rosemary.Answer, *rosemary.Refusal) {
	if s.transactionState == rosemary.TransactionFailed {
		s.rollback()
		s.transactionState = rosemary.TransactionNone
		return rosemary.Answer{}, aborted("the transaction failed earlier and was rolled back")
	}
	return rosemary.Answer{}, protocolError("no transaction is open", "begin a transaction first")
}

// rollback rolls back a transaction that is open on a target.
func (s *Session) rollback() {
	if s.transaction != nil {
		s.transaction.Rollback()
		s.transaction = nil
	}
}

func localAnswer() rosemary.Answer { return rosemary.Answer{Digest: localDigest} }

// localDigest is the digest in answers to statements that the proxy handles
// itself.
const localDigest = "-"
