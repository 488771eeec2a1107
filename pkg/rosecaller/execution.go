package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// maxAgeMargin is subtracted from the age that a class accepts, to allow
	// for the time until a read reaches its target.
	maxAgeMargin = 150 * time.Millisecond
	// firstReadTimeout bounds a read's first try, so that time is left to try
	// another target. Reads only reach it if their answer is lost or their
	// target is slow.
	firstReadTimeout = 400 * time.Millisecond
	// answerMargin is reserved from a statement's deadline for returning the
	// answer to the client.
	answerMargin = 5 * time.Millisecond
	// maxTries bounds how often one statement is tried.
	maxTries = 12
	// backoffBase is the base of the exponential backoff. The wait before a
	// try is backoffBase, doubled once for each earlier try.
	backoffBase = 5 * time.Millisecond
)

// execution is the state of one statement over all its tries.
type execution struct {
	statement rosemary.Statement
	group     *rosefleet.Group
	deadline  time.Time
	started   time.Time
	// primaryOnly is set once the statement has to run on the primary.
	primaryOnly bool
	avoid       rosemary.TargetID
	tries       int
}

func (j *job) newExecution(statement rosemary.Statement) (*execution, *rosemary.Refusal) {
	group, found := j.executor.config.Group(j.task.Route.Group)
	if !found {
		return nil, unknownGroup(j.task.Route.Group)
	}
	return &execution{
		statement: statement,
		group:     group,
		started:   time.Now(),
		deadline:  j.task.Deadline,
	}, nil
}

// request returns the requirements on the statement's target. Reads that accept
// stale data may run on a replica if the log position that it must have
// reached is known.
func (j *job) request(execution *execution, readOnly bool) rosefleet.Request {
	request := rosefleet.Request{
		Primary:      true,
		Priority:     j.task.Route.Priority,
		Deadline:     execution.deadline,
		SoftDeadline: j.task.SoftDeadline,
		SessionID:    j.task.SessionID,
		Avoid:        execution.avoid,
		Team:         j.task.Team,
	}
	if priority := j.executor.config.TeamPriority; priority != nil && j.task.Team != "" {
		request.TeamPriority = priority(j.task.Team)
	}
	class := j.task.Route.Class
	if execution.primaryOnly || !readOnly || class.MaxAge <= maxAgeMargin || class.ReadYourWrites && j.task.MinPositionUnknown {
		return request
	}
	minPosition, known := execution.group.MinPosition(class.MaxAge - maxAgeMargin)
	if !known {
		return request
	}
	if class.ReadYourWrites {
		minPosition = minPosition.Max(j.task.MinPosition)
	}
	request.Primary, request.MinPosition = false, minPosition
	return request
}

// prepareRetry reports whether the statement may be retried. The first retry is
// free, and further ones draw on the retry budget. Before the third and later
// ones, prepareRetry waits with exponential backoff, unless the deadline would
// pass meanwhile.
func (j *job) prepareRetry(ctx context.Context, execution *execution) bool {
	execution.tries++
	if execution.tries >= maxTries || ctx.Err() != nil || !time.Now().Before(execution.deadline) {
		return false
	}
	if execution.tries > 1 && !j.executor.config.RetryBudget.TryWithdraw() {
		return false
	}
	if execution.tries <= 2 {
		return true
	}
	backoff := backoffBase << execution.tries
	return backoff < time.Until(execution.deadline) && roseclock.Sleep(ctx, backoff)
}

// runAutocommit runs a statement outside a transaction.
func (j *job) runAutocommit(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	execution, refusal := j.newExecution(statement)
	if refusal != nil {
		return rosemary.Answer{}, refusal
	}
	for {
		askedAt := time.Now()
		lease, refusal := execution.group.Acquire(ctx, j.request(execution, !statement.Writes))
		if refusal != nil {
			return rosemary.Answer{}, refusal
		}
		j.spent.acquired(lease, askedAt)
		answer, result := j.try(execution, lease)
		switch result {
		case tryDone:
			return answer, nil
		case tryUnknown:
			j.task.MinPositionUnknown = true
			return rosemary.Answer{}, outcomeUnknown(lease.Target())
		}
		if !j.prepareRetry(ctx, execution) {
			return j.failure(execution, answer)
		}
	}
}

// failure returns the target's last error, or a refusal if there is none. The
// statement has not run, or it is a read.
func (j *job) failure(execution *execution, answer rosemary.Answer) (rosemary.Answer, *rosemary.Refusal) {
	if answer.Failure != rosemary.FailureNone {
		return answer, nil
	}
	if execution.statement.Writes {
		return rosemary.Answer{}, statementNotRun()
	}
	return rosemary.Answer{}, readUnanswered(time.Since(execution.started))
}

// tryResult is the outcome of one try.
type tryResult int

const (
	// tryDone means that the answer goes to the client.
	tryDone tryResult = iota
	// tryRetry means that the statement has not run, or is a read.
	tryRetry
	// tryUnknown means that a write may have run, so it can't be retried.
	tryUnknown
)

// try runs the statement once.
func (j *job) try(execution *execution, lease *rosefleet.ConnLease) (rosemary.Answer, tryResult) {
	statement := execution.statement
	j.setTarget(lease)
	deadline := j.tryDeadline(execution)
	if applied, err := j.applySession(lease, deadline, statement); err != nil || !applied {
		lease.Release(false)
		execution.avoid = lease.Target()
		return rosemary.Answer{}, tryRetry
	}
	if !lease.Primary() {
		statement.MinPosition = j.request(execution, true).MinPosition
		if statement.MinPosition.IsZero() {
			lease.Release(true)
			execution.primaryOnly = true
			return rosemary.Answer{}, tryRetry
		}
	}
	answers, sent, err := lease.Exchange(deadline, statement)
	if err != nil {
		lease.Release(false)
		execution.avoid = lease.Target()
		if sent && statement.Writes && !retriesUnansweredWrites {
			return rosemary.Answer{}, tryUnknown
		}
		return rosemary.Answer{}, tryRetry
	}
	answer := answers[0]
	result := j.classify(execution, lease, answer)
	lease.Release(answer.TransactionState == rosemary.TransactionNone)
	return answer, result
}

// tryDeadline returns the deadline of the current try. It is shorter for the
// first try of a read, which can still be retried on another target.
func (j *job) tryDeadline(execution *execution) time.Time {
	if execution.statement.Writes || execution.tries > 0 {
		return execution.deadline
	}
	tryDeadline := time.Now().Add(firstReadTimeout)
	if tryDeadline.Before(execution.deadline) {
		return tryDeadline
	}
	return execution.deadline
}

// beginDeadline returns the deadline of the begin of a transaction, and of its first
// statement, on the target chosen last. On a replica, which leaves other targets, it is
// that of a try.
func (j *job) beginDeadline(execution *execution) time.Time {
	if j.onPrimary {
		return execution.deadline
	}
	return j.tryDeadline(execution)
}

// classify decides whether an answer is final, is retried, or leaves the
// outcome of a write unknown.
func (j *job) classify(execution *execution, lease *rosefleet.ConnLease, answer rosemary.Answer) tryResult {
	writes := execution.statement.Writes
	switch answer.Failure {
	case rosemary.FailureNone:
		if lease.Primary() && !lease.StillPrimary() {
			if writes {
				return tryUnknown
			}
			return tryRetry
		}
		if writes {
			j.task.MinPosition = j.task.MinPosition.Max(answer.Position)
		}
		return tryDone
	case rosemary.FailureLagging:
		execution.primaryOnly = execution.tries > 0
		execution.avoid = lease.Target()
		return tryRetry
	case rosemary.FailureReadOnly, rosemary.FailureBusy:
		execution.avoid = lease.Target()
		return tryRetry
	case rosemary.FailureUnknownStatement:
		lease.SetSessionState(&sessionState{settings: j.task.Settings, prepared: make(map[string]bool)})
		return tryRetry
	case rosemary.FailureExecution, rosemary.FailureTimeout:
		if writes {
			return tryDone
		}
		execution.avoid = lease.Target()
		return tryRetry
	}
	return tryDone
}

func allSucceeded(answers []rosemary.Answer) bool {
	for _, a := range answers {
		if a.Failure != rosemary.FailureNone {
			return false
		}
	}
	return true
}
