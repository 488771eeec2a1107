package rosemary

import (
	"errors"
	"fmt"
	"time"
)

// Outcome tells a client whether a refused or failed request took effect.
type Outcome string

// Outcomes of a refused or failed request.
const (
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "outcome unknown"
	OutcomeRan     Outcome = "ran"
)

// RefusalKind classifies refusals by their reason.
type RefusalKind string

// Kinds of refusal.
const (
	KindOverloaded       RefusalKind = "overloaded"
	KindDeadline         RefusalKind = "deadline"
	KindNoPrimary        RefusalKind = "no-primary"
	KindNoReplica        RefusalKind = "no-replica"
	KindUnconfirmed      RefusalKind = "unconfirmed"
	KindConnectionLost   RefusalKind = "connection-lost"
	KindDraining         RefusalKind = "draining"
	KindUnsupported      RefusalKind = "unsupported"
	KindUnknownClass     RefusalKind = "unknown-class"
	KindBadToken         RefusalKind = "bad-token"
	KindDuplicateRequest RefusalKind = "duplicate-request"
	KindAuthentication   RefusalKind = "authentication"
	KindUnknownDatabase  RefusalKind = "unknown-database"
	KindProtocol         RefusalKind = "protocol"
	KindReadOnlyClass    RefusalKind = "read-only-class"
	KindAborted          RefusalKind = "aborted"
	KindUnknownStatement RefusalKind = "unknown-statement"
	// KindNotReady means that this proxy has no configuration yet.
	KindNotReady RefusalKind = "not-ready"
	// KindDenied means that the caller's key belongs to no team.
	KindDenied RefusalKind = "denied"
	// KindOverCap means that the caller's team has used up its usage cap.
	KindOverCap RefusalKind = "over-cap"
	// KindOutdated means that a home proxy knows a newer configuration, in which the
	// team's keys may have changed, than the proxy that relayed the request.
	KindOutdated RefusalKind = "outdated"
)

// sqlStates maps kinds of refusal to the SQLSTATE codes sent to clients.
var sqlStates = map[RefusalKind]string{
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
	KindNotReady:         "57P03",
	KindDenied:           "28000",
	KindOverCap:          "53400",
	KindOutdated:         "57P03",
}

// Refusal is the error that the proxy returns to a client.
type Refusal struct {
	Kind    RefusalKind
	Outcome Outcome
	Message string
	// Remedy tells the client what to do next.
	Remedy string
	// RetryAfter is the suggested delay before a retry; zero for no
	// suggestion.
	RetryAfter time.Duration
}

// Error formats the kind, message, outcome and hint.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s); %s", r.Kind, r.Message, r.Outcome, r.Hint())
}

// SQLState returns the SQLSTATE code of the refusal. An unknown outcome takes
// precedence over the kind.
func (r *Refusal) SQLState() string {
	if r.Outcome == OutcomeUnknown {
		return "08007"
	}
	if state, ok := sqlStates[r.Kind]; ok {
		return state
	}
	return "XX000"
}

// Hint returns the remedy and the time to wait before a retry.
func (r *Refusal) Hint() string {
	if r.RetryAfter <= 0 {
		return r.Remedy
	}
	return fmt.Sprintf("%s; retry after %d ms", r.Remedy, r.RetryAfter.Milliseconds())
}

// WithOutcome returns a copy of r with the given outcome.
func (r *Refusal) WithOutcome(outcome Outcome) *Refusal {
	refusal := *r
	refusal.Outcome = outcome
	return &refusal
}

// AsRefusal returns the refusal that err wraps. For any other error it returns
// one of kind connection-lost with the given outcome.
func AsRefusal(err error, outcome Outcome) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{
		Kind:    KindConnectionLost,
		Outcome: outcome,
		Message: err.Error(),
		Remedy:  "check the target, then query the outcome or retry",
	}
}
