package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Task is a statement that a target has to run, with all of its session that
// decides how.
type Task struct {
	// Route is that of the session's database when the statement, or its
	// transaction, began.
	Route rosemary.Route
	// Owner tells sessions apart.
	SessionID uint64
	Statement rosemary.Statement
	// ReadOnly is set in a transaction that only reads.
	ReadOnly bool
	// Values are the session's settings.
	Values map[string]string
	// Prepared prepares what an execute names; zero for other statements.
	Prepared rosemary.Statement
	// Floor is the position of the session's last acknowledged write.
	MinPosition rosemary.Position
	// Uncertain is set once the outcome of a write is unknown: its position
	// is not known either, so reads go to the primary.
	MinPositionUnknown bool
	// Deadline is when the answer is of no more use, Aim when it should be
	// there.
	Deadline     time.Time
	SoftDeadline time.Time
}

// Result is what became of a task.
type Result struct {
	// Answer's block is the state of the session's transaction after it.
	Answer  rosemary.Answer
	Refusal *rosemary.Refusal
	// Floor and Uncertain are the session's after the task.
	MinPosition        rosemary.Position
	MinPositionUnknown bool
	// Target is the last one that was asked, and Primary is set if it led its
	// group.
	Target  rosemary.TargetID
	Primary bool
	// Open is set while the transaction stays on its target.
	Open bool
}

// Executor has targets run statements: those of this proxy, or of another that
// it passes them on to.
type Executor interface {
	// Run runs a statement outside a transaction.
	Run(ctx context.Context, task Task) Result
	// Begin opens a transaction with its first statement. Without an open
	// result there is no transaction.
	Begin(ctx context.Context, task Task) (Transaction, Result)
}

// Transaction is one that is open on a target. It runs one statement at a time.
type Transaction interface {
	// Next runs a further statement. Only an open result may be followed by
	// another.
	Execute(ctx context.Context, task Task) Result
	// Rollback ends the transaction on its target.
	Rollback()
}

// ConnectionLostResult returns the result of a task whose answer can't come any more. A
// transaction that wasn't asked to commit is rolled back with its link.
func ConnectionLostResult(task Task, target rosemary.TargetID, inBlock, wrote bool) Result {
	result := Result{MinPosition: task.MinPosition, MinPositionUnknown: task.MinPositionUnknown, Target: target}
	commits := task.Statement.Kind == rosemary.StatementCommit
	switch {
	case commits && wrote, !inBlock && task.Statement.Writes:
		result.MinPositionUnknown = true
		result.Refusal = unknown(target)
	case commits:
		result.Refusal = aborted("the link to the target was lost before anything was committed")
	case inBlock:
		result.Answer.TransactionState = rosemary.TransactionFailed
		result.Refusal = aborted("the link to the target was lost within the transaction")
	default:
		result.Refusal = readFailed(0)
	}
	return result
}
