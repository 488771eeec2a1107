package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// runFirst begins the transaction on a target and runs its first statement.
// Until that has an answer, the transaction may begin anew elsewhere.
func (j *job) runFirst(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	a, refusal := j.newAttempt(statement)
	if refusal != nil {
		j.failBlock(statement)
		return rosemary.Answer{}, refusal
	}
	for {
		if refusal := j.openBlock(ctx, a); refusal != nil {
			j.failBlock(statement)
			return rosemary.Answer{}, refusal
		}
		if j.lease == nil {
			if j.again(ctx, a) {
				continue
			}
			j.failBlock(statement)
			return rosemary.Answer{}, notRun()
		}
		target := j.lease.Target()
		answer, refusal := j.runNext(a.deadline, statement)
		if !j.restarts(statement, answer, refusal) {
			return answer, refusal
		}
		j.Rollback()
		a.avoid = target
		if !j.again(ctx, a) {
			return answer, refusal
		}
		j.block = rosemary.TransactionOpen
	}
}

// failBlock records that the transaction began nowhere.
func (j *job) failBlock(statement rosemary.Statement) {
	j.block = rosemary.TransactionFailed
	if statement.Kind == rosemary.StatementCommit {
		j.block = rosemary.TransactionNone
	}
}

// restarts reports whether a transaction whose first statement failed may
// begin anew: nothing that the caller knows of has run in it.
func (j *job) restarts(statement rosemary.Statement, answer rosemary.Answer, refusal *rosemary.Refusal) bool {
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

// openBlock takes a link and begins the transaction on it. Without a lease
// and a refusal, another try is due.
func (j *job) openBlock(ctx context.Context, a *attempt) *rosemary.Refusal {
	lease, refusal := a.group.Acquire(ctx, j.request(a, j.task.ReadOnly))
	if refusal != nil {
		return refusal
	}
	j.took(lease)
	begin := rosemary.Statement{Kind: rosemary.StatementBegin, ReadOnly: j.task.ReadOnly}
	if !lease.Primary() {
		begin.MinPosition = j.request(a, true).MinPosition
		if begin.MinPosition.IsZero() {
			lease.Release(true)
			a.primary = true
			return nil
		}
	}
	prelude, memo := j.prelude(lease, a.statement)
	answers, _, err := lease.Exchange(a.deadline, append(prelude, begin)...)
	if err != nil {
		lease.Release(false)
		a.avoid = lease.Target()
		return nil
	}
	began := answers[len(answers)-1]
	if preludeHolds(answers[:len(prelude)]) {
		lease.SetSessionState(memo)
	}
	if !preludeHolds(answers) || began.TransactionState != rosemary.TransactionOpen {
		lease.Release(preludeHolds(answers[:len(prelude)]) && began.TransactionState == rosemary.TransactionNone)
		a.avoid = lease.Target()
		a.primary = a.primary || began.Failure == rosemary.FailureLagging && a.tries > 0
		return nil
	}
	if lease.Primary() && !lease.StillPrimary() {
		lease.Release(false)
		return nil
	}
	j.lease = lease
	return nil
}

// runNext runs a statement on the transaction's link.
func (j *job) runNext(deadline time.Time, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	prelude, memo := j.prelude(j.lease, statement)
	commits := statement.Kind == rosemary.StatementCommit
	answers, sent, err := j.lease.Exchange(deadline, append(prelude, statement)...)
	if err != nil {
		return rosemary.Answer{}, j.lost(sent)
	}
	if !preludeHolds(answers[:len(prelude)]) {
		j.abandonLease()
		j.block = rosemary.TransactionFailed
		return rosemary.Answer{}, aborted("the session's values could not be set on the target")
	}
	j.lease.SetSessionState(memo)
	answer := answers[len(prelude)]
	if commits {
		return j.afterCommit(answer)
	}
	if statement.Writes && answer.Failure == rosemary.FailureNone {
		j.wrote = true
	}
	j.block = answer.TransactionState
	if answer.TransactionState == rosemary.TransactionNone {
		// The target has ended the transaction by itself.
		j.releaseLease(true)
		j.block = rosemary.TransactionFailed
	}
	return answer, nil
}

// lost ends a transaction whose link was lost.
func (j *job) lost(sent bool) *rosemary.Refusal {
	j.abandonLease()
	result := ConnectionLostResult(j.task, j.target, true, j.wrote && sent)
	j.block, j.task.MinPositionUnknown = result.Answer.TransactionState, result.MinPositionUnknown
	return result.Refusal
}

// afterCommit ends the transaction.
func (j *job) afterCommit(answer rosemary.Answer) (rosemary.Answer, *rosemary.Refusal) {
	certain := !j.wrote || j.lease.StillPrimary()
	target := j.lease.Target()
	j.releaseLease(answer.TransactionState == rosemary.TransactionNone)
	j.block = rosemary.TransactionNone
	if answer.Failure != rosemary.FailureNone {
		if j.wrote && answer.Failure.MayHaveRun() {
			j.task.MinPositionUnknown = true
		}
		return answer, nil
	}
	if !certain {
		j.task.MinPositionUnknown = true
		return rosemary.Answer{}, unknown(target)
	}
	if j.wrote {
		j.task.MinPosition = j.task.MinPosition.Max(answer.Position)
	}
	return answer, nil
}

func (j *job) releaseLease(good bool) {
	j.lease.Release(good)
	j.lease = nil
}

func (j *job) abandonLease() { j.releaseLease(false) }
