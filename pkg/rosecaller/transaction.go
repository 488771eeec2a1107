package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// runFirstStatement begins the transaction on a target and runs its first
// statement. Until the client has an answer, the transaction can be restarted
// on another target.
func (j *job) runFirstStatement(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	execution, refusal := j.newExecution(statement)
	if refusal != nil {
		j.setBeginFailed(statement)
		return rosemary.Answer{}, refusal
	}
	for {
		if refusal := j.beginTransaction(ctx, execution); refusal != nil {
			j.setBeginFailed(statement)
			return rosemary.Answer{}, refusal
		}
		if j.lease == nil {
			if j.prepareRetry(ctx, execution) {
				continue
			}
			j.setBeginFailed(statement)
			return rosemary.Answer{}, statementNotRun()
		}
		target := j.lease.Target()
		answer, refusal := j.runNextStatement(j.beginDeadline(execution), statement)
		if !j.canRestart(statement, answer, refusal) {
			return answer, refusal
		}
		j.Rollback()
		execution.avoid = target
		if !j.prepareRetry(ctx, execution) {
			return answer, refusal
		}
		j.transactionState = rosemary.TransactionOpen
	}
}

// setBeginFailed records that no target began the transaction. A commit still
// ends it; after any other statement the client has to roll back.
func (j *job) setBeginFailed(statement rosemary.Statement) {
	j.transactionState = rosemary.TransactionFailed
	if statement.Kind == rosemary.StatementCommit {
		j.transactionState = rosemary.TransactionNone
	}
}

// canRestart reports whether a transaction whose first statement failed may be
// restarted. This is safe because the client has seen no result of it.
func (j *job) canRestart(statement rosemary.Statement, answer rosemary.Answer, refusal *rosemary.Refusal) bool {
	if statement.Kind == rosemary.StatementCommit {
		return false
	}
	if refusal != nil {
		return refusal.Outcome == rosemary.OutcomeNotRun
	}
	switch answer.Failure {
	case rosemary.FailureBusy, rosemary.FailureLagging, rosemary.FailureReadOnly, rosemary.FailureUnknownStatement, rosemary.FailureAborted:
		return true
	}
	return false
}

// beginTransaction acquires a connection and begins the transaction on it. If
// it returns nil and the job has no lease, the caller should retry.
func (j *job) beginTransaction(ctx context.Context, execution *execution) *rosemary.Refusal {
	askedAt := time.Now()
	lease, refusal := execution.group.Acquire(ctx, j.request(execution, j.task.ReadOnly))
	if refusal != nil {
		return refusal
	}
	j.spent.acquired(lease, askedAt)
	j.setTarget(lease)
	begin := rosemary.Statement{Kind: rosemary.StatementBegin, ReadOnly: j.task.ReadOnly}
	if !lease.Primary() {
		begin.MinPosition = j.request(execution, true).MinPosition
		if begin.MinPosition.IsZero() {
			lease.Release(true)
			execution.primaryOnly = true
			return nil
		}
	}
	// A begin without the session's settings changes nothing: the connection is closed then.
	current, _ := lease.SessionState().(*sessionState)
	setup, state := j.task.setupStatements(current, execution.statement)
	answers, _, err := lease.Exchange(j.beginDeadline(execution), append(setup, begin)...)
	if err != nil {
		lease.Release(false)
		execution.avoid = lease.Target()
		return nil
	}
	beginAnswer := answers[len(answers)-1]
	if allSucceeded(answers[:len(setup)]) {
		lease.SetSessionState(state)
	}
	if !allSucceeded(answers) || beginAnswer.TransactionState != rosemary.TransactionOpen {
		lease.Release(allSucceeded(answers[:len(setup)]) && beginAnswer.TransactionState == rosemary.TransactionNone)
		execution.avoid = lease.Target()
		execution.primaryOnly = execution.primaryOnly || beginAnswer.Failure == rosemary.FailureLagging && execution.tries > 0
		return nil
	}
	if lease.Primary() && !lease.StillPrimary() {
		lease.Release(false)
		return nil
	}
	j.lease = lease
	return nil
}

// runNextStatement runs a statement on the transaction's connection.
func (j *job) runNextStatement(deadline time.Time, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	isCommit := statement.Kind == rosemary.StatementCommit
	applied, err := j.applySession(j.lease, deadline, statement)
	if err != nil {
		return rosemary.Answer{}, j.connectionLost(false)
	}
	if !applied {
		j.discardLease()
		j.transactionState = rosemary.TransactionFailed
		if isCommit {
			j.transactionState = rosemary.TransactionNone
		}
		return rosemary.Answer{}, aborted("the session's settings and prepared statements could not be applied on the target")
	}
	answers, sent, err := j.lease.Exchange(deadline, statement)
	if err != nil {
		return rosemary.Answer{}, j.connectionLost(sent)
	}
	answer := answers[0]
	if isCommit {
		return j.finishCommit(answer)
	}
	if statement.Writes && answer.Failure == rosemary.FailureNone {
		j.wrote = true
	}
	j.transactionState = answer.TransactionState
	if answer.TransactionState == rosemary.TransactionNone {
		// The target ended the transaction on its own.
		j.releaseLease(true)
		j.transactionState = rosemary.TransactionFailed
	}
	return answer, nil
}

// connectionLost ends a transaction whose connection was lost.
func (j *job) connectionLost(sent bool) *rosemary.Refusal {
	j.discardLease()
	result := ConnectionLostResult(j.task, j.target, true, j.wrote && sent)
	j.transactionState, j.task.MinPositionUnknown = result.Answer.TransactionState, result.MinPositionUnknown
	return result.Refusal
}

// finishCommit ends the transaction after the answer to its commit. The
// outcome of writes is unknown if the commit failed but may have taken effect,
// or if the target may no longer have been the primary.
func (j *job) finishCommit(answer rosemary.Answer) (rosemary.Answer, *rosemary.Refusal) {
	confirmed := !j.wrote || j.lease.StillPrimary()
	target := j.lease.Target()
	j.releaseLease(answer.TransactionState == rosemary.TransactionNone)
	j.transactionState = rosemary.TransactionNone
	if answer.Failure != rosemary.FailureNone {
		if j.wrote && answer.Failure.MayHaveRun() {
			j.task.MinPositionUnknown = true
		}
		return answer, nil
	}
	if !confirmed {
		j.task.MinPositionUnknown = true
		return rosemary.Answer{}, outcomeUnknown(target)
	}
	if j.wrote {
		j.task.MinPosition = j.task.MinPosition.Max(answer.Position)
	}
	return answer, nil
}

func (j *job) releaseLease(reusable bool) {
	j.lease.Release(reusable)
	j.lease = nil
}

func (j *job) discardLease() { j.releaseLease(false) }
