package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Task is a statement for a target with the session state that it depends on.
type Task struct {
	// Route is the route of the session's database, taken when the statement
	// or its transaction began.
	Route rosemary.Route
	// SessionID is unique among the sessions of one proxy.
	SessionID uint64
	Statement rosemary.Statement
	// ReadOnly is set in a transaction that only reads.
	ReadOnly bool
	// Settings maps the names of the session's settings to their values.
	Settings map[string]string
	// Prepared is the prepare statement that an execute refers to; zero for
	// other statements.
	Prepared rosemary.Statement
	// MinPosition is the log position of the session's last acknowledged
	// write.
	MinPosition rosemary.Position
	// MinPositionUnknown is set once the outcome of a write is unknown. Its
	// position is unknown too, so reads that must see the session's own writes
	// go to the primary.
	MinPositionUnknown bool
	// Deadline is when the statement is abandoned, SoftDeadline when its
	// answer should have arrived.
	Deadline     time.Time
	SoftDeadline time.Time
	// Team is the team on whose behalf the statement runs, empty if the configuration has
	// no teams. ConfigurationVersion is the version in which the caller's key belonged to
	// it.
	Team                 string
	ConfigurationVersion int64
}

// Result is the outcome of a task.
type Result struct {
	// Answer holds the state of the session's transaction after the task.
	Answer  rosemary.Answer
	Refusal *rosemary.Refusal
	// MinPosition and MinPositionUnknown are the session's after the task.
	MinPosition        rosemary.Position
	MinPositionUnknown bool
	// Target is the last target that was used; Primary is set if it was the
	// primary of its group.
	Target  rosemary.TargetID
	Primary bool
	// Open is set while the transaction is open on its target.
	Open bool
	// NewerVersion is the version of the configuration in force at the proxy that refused
	// the task with rosemary.KindOutdated.
	NewerVersion int64
	// Spent is where the time went at the proxy that ran the task; zero unless its
	// answer was late there.
	Spent Spent
	// Wait is how long a further request would wait for a connection to Target at the
	// proxy that ran the task for another one.
	Wait time.Duration
}

// Spent is where the time of a task went.
type Spent struct {
	// TargetWait is the time without a target that could run it, ConnWait that spent
	// waiting for a connection.
	TargetWait, ConnWait time.Duration
	// Failed is the time of tries without a usable answer, and between them; Target is
	// that of the last try.
	Failed, Target time.Duration
	Tries          int
}

// Executor runs tasks on targets, through this proxy's connections or those of
// another proxy.
type Executor interface {
	// Run runs a statement outside a transaction.
	Run(ctx context.Context, task Task) Result
	// Begin opens a transaction with its first statement. The transaction is
	// nil unless the result is open.
	Begin(ctx context.Context, task Task) (Transaction, Result)
}

// Transaction is open on a target. It runs one statement at a time.
type Transaction interface {
	// Execute runs a further statement. It must not be called again once a
	// result isn't open.
	Execute(ctx context.Context, task Task) Result
	// Rollback rolls the transaction back on its target.
	Rollback()
}

// ConnectionLostResult returns the result of a task whose answer was lost with
// its connection. A transaction that wasn't asked to commit is rolled back when
// the connection ends. For a commit, wrote is set if the transaction has writes
// and the commit may have been sent.
func ConnectionLostResult(task Task, target rosemary.TargetID, inTransaction, wrote bool) Result {
	result := Result{MinPosition: task.MinPosition, MinPositionUnknown: task.MinPositionUnknown, Target: target}
	isCommit := task.Statement.Kind == rosemary.StatementCommit
	switch {
	case isCommit && wrote, !inTransaction && task.Statement.Writes:
		result.MinPositionUnknown = true
		result.Refusal = outcomeUnknown(target)
	case isCommit:
		result.Refusal = aborted("the connection to the target was lost before anything was committed")
	case inTransaction:
		result.Answer.TransactionState = rosemary.TransactionFailed
		result.Refusal = aborted("the connection to the target was lost during the transaction")
	default:
		result.Refusal = readUnanswered(0)
	}
	return result
}
