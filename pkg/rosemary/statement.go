package rosemary

import (
	"context"
	"time"
)

// StatementKind is what a statement does to its session.
type StatementKind uint8

// Kinds of statement.
const (
	StatementBegin StatementKind = iota + 1
	StatementCommit
	StatementRollback
	StatementRead
	StatementWrite
	StatementSet
	StatementPrepare
	StatementExecute
	StatementClose
	// StatementReset clears a connection's values and prepared names.
	StatementReset
)

var statementNames = map[StatementKind]string{
	StatementBegin:    "begin",
	StatementCommit:   "commit",
	StatementRollback: "rollback",
	StatementRead:     "read",
	StatementWrite:    "write",
	StatementSet:      "set",
	StatementPrepare:  "prepare",
	StatementExecute:  "execute",
	StatementClose:    "close",
	StatementReset:    "reset",
}

// String names the kind.
func (k StatementKind) String() string { return statementNames[k] }

// Statement is one request of a session, free of any protocol.
type Statement struct {
	// ID identifies the caller's request; empty for the proxy's own.
	ID   string
	Kind StatementKind
	// Writes is set for writes and for the preparation of one.
	Writes bool
	// ReadOnly is set for the begin of a transaction that only reads.
	ReadOnly bool
	// Name is that of a value or of a prepared statement.
	Name string
	// Payload is passed on unchanged.
	Payload string
	// Floor, unless zero, is the position that a target must hold to run
	// the statement.
	MinPosition Position
}

// TransactionState is the state of a session's transaction.
type TransactionState uint8

// States of a session's transaction.
const (
	// BlockIdle is a session outside any transaction.
	TransactionNone TransactionState = iota
	// BlockOpen is a session within a transaction.
	TransactionOpen
	// BlockFailed is a session whose transaction can only be rolled back.
	TransactionFailed
)

// Failure is why a target did not answer a statement with success.
type Failure uint8

// Failures of a statement. Each tells whether the statement ran.
const (
	FailureNone Failure = iota
	// FailureBusy has not run: the target had no slot.
	FailureBusy
	// FailureBehind has not run: the target's log lacks the floor.
	FailureLagging
	// FailureReadOnly has not run: the target doesn't lead its group.
	FailureReadOnly
	// FailureUnprepared has not run: the target doesn't know the name.
	FailureUnknownStatement
	// FailureMalformed has not run: the target couldn't read it.
	FailureMalformed
	// FailureAborted has not run, and its transaction was rolled back.
	FailureAborted
	// FailureFailed ran without success.
	FailureExecution
	// FailureTimeout ran into the target's own limit.
	FailureTimeout
	// FailureOther is an error that the proxy has no rule for.
	FailureOther
)

// MayHaveRun reports whether the statement may have had an effect.
func (f Failure) MayHaveRun() bool { return f == FailureNone || f >= FailureExecution }

// Answer is what a target made of a statement.
type Answer struct {
	Rows   []string
	Digest string
	// Failure is FailureNone for a success.
	Failure Failure
	// Code and Message are the target's own words of a failure.
	Code             string
	Message          string
	TransactionState TransactionState
	// Position is that of the target's log, applied; zero when not told.
	Position Position
}

// Conn is one connection to a target. It serves one exchange at a time.
type Conn interface {
	// Exchange sends the statements at once and returns their answers in
	// order. With an error the answers that came before it are returned,
	// and the link is to be closed; sent tells whether anything left.
	Exchange(deadline time.Time, statements ...Statement) (answers []Answer, sent bool, err error)
	// Status asks the target for its state.
	Status(deadline time.Time) (Status, error)
	// Pause makes a replica refuse its primary's log until a later term.
	Pause(deadline time.Time, term uint64) (Status, error)
	// StepDown makes a primary of a lower term a replica.
	StepDown(deadline time.Time, term uint64) (Status, error)
	// Resume ends a pause.
	Resume(deadline time.Time) (Status, error)
	// Close ends the connection; the target rolls back what is open on it.
	Close()
}

// TargetDialer opens links. Errors are trace.LimitExceeded when the target has
// no connection left, trace.NotFound when another target or group answers at
// that address, and trace.ConnectionProblem.
type TargetDialer interface {
	DialTarget(ctx context.Context, group string, target Target) (Conn, error)
}

// Promoter asks the platform to make a target the primary of its group.
// Errors are trace.CompareFailed when the target can't lead now,
// trace.LimitExceeded, and trace.ConnectionProblem when the outcome is unknown.
type Promoter interface {
	// Reach reports whether the platform can be reached, without an order.
	Ping(ctx context.Context) error
	Promote(ctx context.Context, group string, target TargetID, holder string, generation int64) error
}

// TargetRegistration is what the platform knows of one target.
type TargetRegistration struct {
	Target
	Group       string
	Slots       int
	Leaving     bool
	Primary     bool
	Incarnation int64
	Sequence    int64
}

// TargetSource lists the targets that the platform knows. Entries that can't
// be read are left out and counted.
type TargetSource interface {
	Targets(ctx context.Context) (listings []TargetRegistration, unreadable int, err error)
}

// Route is what the configuration says of one database.
type Route struct {
	Database string
	Group    string
	Class    Class
	// Aim is the time within which callers want the answer.
	LatencyObjective time.Duration
	// Priority orders waiting requests; 0 goes first.
	Priority int
}

// GroupSettings is what the configuration says of one group.
type GroupSettings struct {
	Name string
	// Connections is the number that a target accepts from all proxies.
	MaxConnections int
	// SyncReplicas is the number of replicas that hold a commit when the
	// target acknowledges it.
	SyncReplicas int
}

// Configuration is one version of the operators' configuration. It is
// immutable.
type Configuration struct {
	Version int64
	Routes  map[string]Route
	Groups  map[string]GroupSettings
	// TransactionIdle ends a transaction whose caller is silent.
	TransactionIdleTimeout time.Duration
	// Text is what the configuration was read from.
	Text string
}

// ConfigurationSource reads the configuration in force.
type ConfigurationSource interface {
	// Fetch returns the newest configuration and the revision to await
	// changes from.
	Fetch(ctx context.Context) (*Configuration, int64, error)
	// Await returns the configuration once it changed after revision, or
	// nil after wait. The error is ErrHistoryLost when only Fetch helps.
	Await(ctx context.Context, revision int64, wait time.Duration) (*Configuration, int64, error)
	// Parse reads a configuration's text, as another proxy passed it on.
	Parse(text string) (*Configuration, error)
}
