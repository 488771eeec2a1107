package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// floorMargin is taken off the age that a class accepts, for the way
	// of a read to its target.
	floorMargin = 150 * time.Millisecond
	// patience is how long a read waits for one target while the budget
	// allows it another; no read takes as long unless its answer is lost or
	// its target is slow.
	patience = 400 * time.Millisecond
	// answerSlack is left of a statement's time for its answer's way back.
	answerSlack = 5 * time.Millisecond
	// maxTries bounds the targets that one statement is offered to.
	maxTries = 12
	// retryPause separates tries at one group.
	retryPause = 5 * time.Millisecond
)

// attempt is one statement on its way through its tries.
type attempt struct {
	statement rosemary.Statement
	group     *rosefleet.Group
	deadline  time.Time
	started   time.Time
	// primary is set once only the primary will do.
	primary bool
	avoid   rosemary.TargetID
	tries   int
}

func (j *job) newAttempt(statement rosemary.Statement) (*attempt, *rosemary.Refusal) {
	group, found := j.carrier.config.Group(j.task.Route.Group)
	if !found {
		return nil, noGroup(j.task.Route.Group)
	}
	return &attempt{
		statement: statement,
		group:     group,
		started:   time.Now(),
		deadline:  j.task.Deadline,
	}, nil
}

// request tells the fleet what the attempt needs. Reads that accept older
// data may go to a replica if a floor is known.
func (j *job) request(a *attempt, readOnly bool) rosefleet.Request {
	request := rosefleet.Request{
		Primary:      true,
		Priority:     j.task.Route.Priority,
		Deadline:     a.deadline,
		SoftDeadline: j.task.SoftDeadline,
		Owner:        j.task.SessionID,
		Avoid:        a.avoid,
	}
	class := j.task.Route.Class
	if a.primary || !readOnly || class.MaxAge <= floorMargin || class.ReadYourWrites && j.task.MinPositionUnknown {
		return request
	}
	floor, known := a.group.MinPosition(class.MaxAge - floorMargin)
	if !known {
		return request
	}
	if class.ReadYourWrites {
		floor = floor.Max(j.task.MinPosition)
	}
	request.Primary, request.MinPosition = false, floor
	return request
}

// again reports whether another try is worthwhile.
func (j *job) again(ctx context.Context, a *attempt) bool {
	a.tries++
	if a.tries >= maxTries || ctx.Err() != nil || !time.Now().Before(a.deadline) {
		return false
	}
	if a.tries > 1 && !j.carrier.config.Budget.TryWithdraw() {
		return false
	}
	if a.tries > 2 {
		time.Sleep(min(retryPause<<a.tries, time.Until(a.deadline)))
	}
	return true
}

// runAlone serves a statement outside a transaction.
func (j *job) runAlone(ctx context.Context, statement rosemary.Statement) (rosemary.Answer, *rosemary.Refusal) {
	a, refusal := j.newAttempt(statement)
	if refusal != nil {
		return rosemary.Answer{}, refusal
	}
	for {
		lease, refusal := a.group.Acquire(ctx, j.request(a, !statement.Writes))
		if refusal != nil {
			return rosemary.Answer{}, refusal
		}
		answer, result := j.try(a, lease)
		switch result {
		case tryDone:
			return answer, nil
		case tryUnknown:
			j.task.MinPositionUnknown = true
			return rosemary.Answer{}, unknown(lease.Target())
		}
		if !j.again(ctx, a) {
			return j.giveUp(a, answer)
		}
	}
}

// giveUp returns the target's own word, or a refusal. The statement has not
// run, or it is a read.
func (j *job) giveUp(a *attempt, answer rosemary.Answer) (rosemary.Answer, *rosemary.Refusal) {
	if answer.Failure != rosemary.FailureNone {
		return answer, nil
	}
	if a.statement.Writes {
		return rosemary.Answer{}, notRun()
	}
	return rosemary.Answer{}, readFailed(time.Since(a.started))
}

// tryResult is what became of one try.
type tryResult int

const (
	// tryDone has an answer for the caller.
	tryDone tryResult = iota
	// tryAgain has not run, or is a read.
	tryAgain
	// tryUnknown may have run and can't be repeated.
	tryUnknown
)

// try runs the attempt's statement once.
func (j *job) try(a *attempt, lease *rosefleet.Lease) (rosemary.Answer, tryResult) {
	statement := a.statement
	j.took(lease)
	prelude, memo := j.prelude(lease, statement)
	if !lease.Primary() {
		statement.MinPosition = j.request(a, true).MinPosition
		if statement.MinPosition.IsZero() {
			lease.Release(true)
			a.primary = true
			return rosemary.Answer{}, tryAgain
		}
	}
	answers, sent, err := lease.Exchange(j.tryDeadline(a), append(prelude, statement)...)
	if err != nil {
		lease.Release(false)
		a.avoid = lease.Target()
		if sent && statement.Writes && !repeatsLostWrites {
			return rosemary.Answer{}, tryUnknown
		}
		return rosemary.Answer{}, tryAgain
	}
	if !preludeHolds(answers[:len(prelude)]) {
		// What ran after it may have run with other values.
		lease.Release(false)
		if statement.Writes && answers[len(prelude)].Failure.MayHaveRun() {
			return rosemary.Answer{}, tryUnknown
		}
		return rosemary.Answer{}, tryAgain
	}
	lease.SetSessionState(memo)
	answer := answers[len(prelude)]
	result := j.judge(a, lease, answer)
	lease.Release(answer.TransactionState == rosemary.TransactionNone)
	return answer, result
}

// tryDeadline is when a try is given up: early, for a read that may still go
// elsewhere.
func (j *job) tryDeadline(a *attempt) time.Time {
	if a.statement.Writes || a.tries > 0 {
		return a.deadline
	}
	early := time.Now().Add(patience)
	if early.Before(a.deadline) {
		return early
	}
	return a.deadline
}

// judge decides what an answer is worth.
func (j *job) judge(a *attempt, lease *rosefleet.Lease, answer rosemary.Answer) tryResult {
	writes := a.statement.Writes
	switch answer.Failure {
	case rosemary.FailureNone:
		if lease.Primary() && !lease.StillPrimary() {
			if writes {
				return tryUnknown
			}
			return tryAgain
		}
		if writes {
			j.task.MinPosition = j.task.MinPosition.Max(answer.Position)
		}
		return tryDone
	case rosemary.FailureLagging:
		a.primary = a.tries > 0
		a.avoid = lease.Target()
		return tryAgain
	case rosemary.FailureReadOnly, rosemary.FailureBusy:
		a.avoid = lease.Target()
		return tryAgain
	case rosemary.FailureUnknownStatement:
		lease.SetSessionState(&memo{values: j.task.Values, prepared: make(map[string]bool)})
		return tryAgain
	case rosemary.FailureExecution, rosemary.FailureTimeout:
		if writes {
			return tryDone
		}
		a.avoid = lease.Target()
		return tryAgain
	}
	return tryDone
}

func preludeHolds(answers []rosemary.Answer) bool {
	for _, a := range answers {
		if a.Failure != rosemary.FailureNone {
			return false
		}
	}
	return true
}
