package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// LocalExecutorConfig configures a LocalExecutor.
type LocalExecutorConfig struct {
	// Group returns the targets of a group.
	Group       func(name string) (*rosefleet.Group, bool)
	RetryBudget *roseadmit.RetryBudget
	// Usage keeps teams within their usage caps; nil for no caps.
	Usage UsageLimiter
	// TeamPriority returns the priority of a team; nil if there are no teams.
	TeamPriority func(team string) int
}

// UsageLimiter keeps the operations of teams within their usage caps.
type UsageLimiter interface {
	// Admit counts an operation of a team that begins now and is about to be sent to a
	// target before a time. Without ok it would exceed the cap, and may succeed after
	// retryAfter.
	Admit(team string) (before time.Time, retryAfter time.Duration, ok bool)
	// Return takes back what Admit has counted, as the operation wasn't sent to a target.
	Return(team string, before time.Time)
}

// LocalExecutor runs tasks on this proxy's own connections to targets.
type LocalExecutor struct {
	config LocalExecutorConfig
}

var _ Executor = (*LocalExecutor)(nil)

// NewLocalExecutor returns an executor for the groups of config.
func NewLocalExecutor(config LocalExecutorConfig) *LocalExecutor { return &LocalExecutor{config} }

// Run runs a statement outside a transaction.
func (e *LocalExecutor) Run(ctx context.Context, task Task) Result {
	before, refusal := e.admit(task)
	if refusal != nil {
		return refusedResult(task, refusal)
	}
	e.config.RetryBudget.Deposit()
	j := &job{executor: e, task: task}
	result := j.result(j.runAutocommit(ctx, task.Statement))
	e.returnUnused(task, result, before)
	return result
}

// Begin opens a transaction with its first statement.
func (e *LocalExecutor) Begin(ctx context.Context, task Task) (Transaction, Result) {
	before, refusal := e.admit(task)
	if refusal != nil {
		return nil, refusedResult(task, refusal)
	}
	e.config.RetryBudget.Deposit()
	j := &job{executor: e, task: task, transactionState: rosemary.TransactionOpen}
	result := j.result(j.runFirstStatement(ctx, task.Statement))
	e.returnUnused(task, result, before)
	if !result.Open {
		return nil, result
	}
	return j, result
}

// capped reports whether a task's operation counts towards a usage cap.
func (e *LocalExecutor) capped(task Task) bool { return e.config.Usage != nil && task.Team != "" }

// admit counts an operation of a team, and returns the refusal if it exceeds the team's usage
// cap.
func (e *LocalExecutor) admit(task Task) (before time.Time, refusal *rosemary.Refusal) {
	if !e.capped(task) {
		return time.Time{}, nil
	}
	before, retryAfter, ok := e.config.Usage.Admit(task.Team)
	if ok {
		return before, nil
	}
	return time.Time{}, &rosemary.Refusal{
		Kind: rosemary.KindOverCap, Outcome: rosemary.OutcomeNotRun, Message: "the team has used up its usage cap",
		Remedy: "retry later, or ask the operators for a higher cap", RetryAfter: max(retryAfter, time.Millisecond),
	}
}

// returnUnused takes back what was counted for an operation that was refused before it got to
// a target, as it may be passed on to other proxies, each of which counts it.
func (e *LocalExecutor) returnUnused(task Task, result Result, before time.Time) {
	if e.capped(task) && result.Refusal != nil && result.Target == "" {
		e.config.Usage.Return(task.Team, before)
	}
}

// refusedResult is the result of a task that was not begun.
func refusedResult(task Task, refusal *rosemary.Refusal) Result {
	return Result{Refusal: refusal, MinPosition: task.MinPosition, MinPositionUnknown: task.MinPositionUnknown}
}

// job is one task, or a transaction with its current task.
type job struct {
	executor         *LocalExecutor
	task             Task
	transactionState rosemary.TransactionState
	lease            *rosefleet.ConnLease
	wrote            bool
	// target is the last target that the job had a lease on, and
	// onPrimary is set if it was the primary of its group.
	target    rosemary.TargetID
	onPrimary bool
	spent     spending
}

var _ Transaction = (*job)(nil)

// Execute runs a further statement of the transaction.
func (j *job) Execute(_ context.Context, task Task) Result {
	j.task, j.spent = task, spending{}
	return j.result(j.runNextStatement(task.Deadline, task.Statement))
}

// Rollback rolls back the transaction and releases the connection.
func (j *job) Rollback() {
	if j.lease == nil {
		return
	}
	answers, _, err := j.lease.Exchange(time.Now().Add(rollbackTimeout), rosemary.Statement{Kind: rosemary.StatementRollback})
	j.lease.Release(err == nil && answers[0].TransactionState == rosemary.TransactionNone)
	j.lease = nil
}

// setTarget records the target of a lease.
func (j *job) setTarget(l *rosefleet.ConnLease) { j.target, j.onPrimary = l.Target(), l.Primary() }

func (j *job) result(answer rosemary.Answer, refusal *rosemary.Refusal) Result {
	answer.TransactionState = j.transactionState
	return Result{
		Answer: answer, Refusal: refusal, MinPosition: j.task.MinPosition, MinPositionUnknown: j.task.MinPositionUnknown,
		Target: j.target, Primary: j.onPrimary, Open: j.lease != nil, Spent: j.spent.late(j.task.SoftDeadline),
	}
}

// rollbackTimeout bounds the wait for a target's answer to a rollback.
const rollbackTimeout = 500 * time.Millisecond
