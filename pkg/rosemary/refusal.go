package rosemary

import (
	"errors"
	"fmt"
	"time"
)

// Outcome tells a caller what became of a request that got an error.
type Outcome string

// Outcomes of a refused or failed request.
const (
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "outcome unknown"
	OutcomeRan     Outcome = "ran"
)

// Kind is the reason for a refusal.
type Kind string

// Kinds of refusal.
const (
	KindOverloaded       Kind = "overloaded"
	KindDeadline         Kind = "deadline"
	KindNoPrimary        Kind = "no-primary"
	KindNoReplica        Kind = "no-replica"
	KindUnconfirmed      Kind = "unconfirmed"
	KindConnectionLost   Kind = "connection-lost"
	KindDraining         Kind = "draining"
	KindUnsupported      Kind = "unsupported"
	KindUnknownClass     Kind = "unknown-class"
	KindBadToken         Kind = "bad-token"
	KindDuplicateRequest Kind = "duplicate-request"
	KindAuthentication   Kind = "authentication"
	KindUnknownDatabase  Kind = "unknown-database"
	KindProtocol         Kind = "protocol"
	KindReadOnlyClass    Kind = "read-only-class"
	KindAborted          Kind = "aborted"
	KindUnknownStatement Kind = "unknown-statement"
)

// sqlStates maps a kind to the SQLSTATE that callers see.
var sqlStates = map[Kind]string{
	KindOverloaded:       "53000",
	KindDeadline:         "57014",
	KindNoPrimary:        "57P03",
	KindNoReplica:        "57P03",
	KindUnconfirmed:      "08007",
	KindConnectionLost:   "08006",
	KindDraining:         "57P01",
	KindUnsupported:      "0A000",
	KindUnknownClass:     "22023",
	KindBadToken:         "22023",
	KindDuplicateRequest: "23505",
	KindAuthentication:   "28P01",
	KindUnknownDatabase:  "3D000",
	KindProtocol:         "08P01",
	KindReadOnlyClass:    "25006",
	KindAborted:          "40000",
	KindUnknownStatement: "26000",
}

// Refusal is the typed error that a caller is answered with.
type Refusal struct {
	Kind    Kind
	Outcome Outcome
	Message string
	// Remedy tells the caller what to do next.
	Remedy string
	// RetryAfter is when a retry is worthwhile; zero means any time.
	RetryAfter time.Duration
}

// Error names the refusal, its outcome and its remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s); %s", r.Kind, r.Message, r.Outcome, r.Hint())
}

// SQLState returns the five-character code of the refusal.
func (r *Refusal) SQLState() string {
	if r.Outcome == OutcomeUnknown {
		return "08007"
	}
	if state, ok := sqlStates[r.Kind]; ok {
		return state
	}
	return "XX000"
}

// Hint returns the remedy with the time of a retry.
func (r *Refusal) Hint() string {
	if r.RetryAfter <= 0 {
		return r.Remedy
	}
	return fmt.Sprintf("%s; retry after %d ms", r.Remedy, r.RetryAfter.Milliseconds())
}

// WithOutcome returns a copy of r with another outcome.
func (r *Refusal) WithOutcome(outcome Outcome) *Refusal {
	refusal := *r
	refusal.Outcome = outcome
	return &refusal
}

// AsRefusal returns the refusal within err, or one of kind connection-lost
// with the given outcome.
func AsRefusal(err error, outcome Outcome) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{
		Kind:    KindConnectionLost,
		Outcome: outcome,
		Message: err.Error(),
		Remedy:  "check the target, then ask for the outcome or retry",
	}
}
