package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// LocalExecutorConfig sets up a Carrier.
type LocalExecutorConfig struct {
	// Group returns the targets of a group.
	Group  func(name string) (*rosefleet.Group, bool)
	Budget *roseadmit.RetryBudget
}

// LocalExecutor runs tasks on the targets that this proxy has links to.
type LocalExecutor struct {
	config LocalExecutorConfig
}

var _ Executor = (*LocalExecutor)(nil)

// NewLocalExecutor returns a carrier.
func NewLocalExecutor(config LocalExecutorConfig) *LocalExecutor { return &LocalExecutor{config} }

// Run runs a statement outside a transaction.
func (c *LocalExecutor) Run(ctx context.Context, task Task) Result {
	c.config.Budget.Deposit()
	j := &job{carrier: c, task: task}
	return j.result(j.runAlone(ctx, task.Statement))
}

// Begin opens a transaction with its first statement.
func (c *LocalExecutor) Begin(ctx context.Context, task Task) (Transaction, Result) {
	c.config.Budget.Deposit()
	j := &job{carrier: c, task: task, block: rosemary.TransactionOpen}
	result := j.result(j.runFirst(ctx, task.Statement))
	if !result.Open {
		return nil, result
	}
	return j, result
}

// job is one task, or one transaction with the task that it runs now.
type job struct {
	carrier *LocalExecutor
	task    Task
	block   rosemary.TransactionState
	lease   *rosefleet.Lease
	wrote   bool
	// target is the last one that the job had a lease on.
	target  rosemary.TargetID
	primary bool
}

var _ Transaction = (*job)(nil)

// Next runs a further statement of the transaction.
func (j *job) Execute(_ context.Context, task Task) Result {
	j.task = task
	return j.result(j.runNext(task.Deadline, task.Statement))
}

// Rollback ends what is open on a target and gives the link back.
func (j *job) Rollback() {
	if j.lease == nil {
		return
	}
	answers, _, err := j.lease.Exchange(time.Now().Add(rollbackTimeout), rosemary.Statement{Kind: rosemary.StatementRollback})
	j.lease.Release(err == nil && answers[0].TransactionState == rosemary.TransactionNone)
	j.lease = nil
}

// took records which target a lease is on.
func (j *job) took(lease *rosefleet.Lease) { j.target, j.primary = lease.Target(), lease.Primary() }

func (j *job) result(answer rosemary.Answer, refusal *rosemary.Refusal) Result {
	answer.TransactionState = j.block
	return Result{
		Answer: answer, Refusal: refusal, MinPosition: j.task.MinPosition, MinPositionUnknown: j.task.MinPositionUnknown,
		Target: j.target, Primary: j.primary, Open: j.lease != nil,
	}
}

// rollbackTimeout bounds the rollback of a transaction on a target.
const rollbackTimeout = 500 * time.Millisecond
