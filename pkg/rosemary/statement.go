package rosemary

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// StatementKind classifies statements by their effect on the session.
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
	// StatementReset clears the settings and prepared statements of a
	// connection.
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

// String returns the name of the kind.
func (k StatementKind) String() string { return statementNames[k] }

// Statement is one request of a session, independent of the protocol.
type Statement struct {
	// ID identifies the client's request; empty for statements that the
	// proxy issues itself.
	ID   string
	Kind StatementKind
	// Writes is set for a write and for preparing one.
	Writes bool
	// ReadOnly is set for a StatementBegin of a read-only transaction.
	ReadOnly bool
	// Name is the name of a setting or of a prepared statement.
	Name string
	// Payload is the text of the statement that is forwarded unchanged.
	Payload string
	// MinPosition is the position that a target must have reached to run
	// the statement; zero for none.
	MinPosition Position
}

// TransactionState is the state of a session's transaction.
type TransactionState uint8

// Transaction states.
const (
	// TransactionNone is a session outside of any transaction.
	TransactionNone TransactionState = iota
	// TransactionOpen is a session within a transaction.
	TransactionOpen
	// TransactionFailed is a session whose transaction can only be rolled
	// back.
	TransactionFailed
)

// Failure is the reason why a statement failed at a target.
type Failure uint8

// Failures of a statement. MayHaveRun depends on their order: those between
// FailureNone and FailureExecution mean that the statement didn't run.
const (
	FailureNone Failure = iota
	// FailureBusy means that the target had no free slot.
	FailureBusy
	// FailureLagging means that the target hasn't reached MinPosition.
	FailureLagging
	// FailureReadOnly means that the target isn't the primary of its group.
	FailureReadOnly
	// FailureUnknownStatement means that no statement of that name is
	// prepared at the target.
	FailureUnknownStatement
	// FailureMalformed means that the target couldn't parse the statement.
	FailureMalformed
	// FailureAborted means that the target rolled back the transaction and
	// didn't run the statement.
	FailureAborted
	// FailureExecution means that the statement ran and failed.
	FailureExecution
	// FailureTimeout means that the statement exceeded the target's own time
	// limit.
	FailureTimeout
	// FailureOther stands for error codes that the proxy doesn't know.
	FailureOther
)

// MayHaveRun reports whether the statement may have taken effect.
func (f Failure) MayHaveRun() bool { return f == FailureNone || f >= FailureExecution }

// Answer is a target's response to a statement.
type Answer struct {
	Rows []string
	// Digest is the target's digest of the result; empty on failure.
	Digest string
	// Failure is FailureNone on success.
	Failure Failure
	// Code and Message are the target's error code and message.
	Code             string
	Message          string
	TransactionState TransactionState
	// Position is the target's applied position; zero if not reported.
	Position Position
}

// Conn is a connection to a target. It handles one exchange at a time.
type Conn interface {
	// Exchange pipelines the statements and returns their answers in order.
	// On error it returns the answers received until then, and the caller
	// has to close the connection. sent reports whether any data may have
	// been sent.
	Exchange(deadline time.Time, statements ...Statement) (answers []Answer, sent bool, err error)
	// Status queries the target's status.
	Status(deadline time.Time) (Status, error)
	// Pause fences a replica: it rejects its primary's log until a later
	// term starts.
	Pause(deadline time.Time, term uint64) (Status, error)
	// StepDown demotes a primary of a lower term to a replica.
	StepDown(deadline time.Time, term uint64) (Status, error)
	// Resume ends the fence of Pause.
	Resume(deadline time.Time) (Status, error)
	// Close closes the connection. The target rolls back a transaction that
	// is open on it.
	Close()
}

// TargetDialer connects to targets. The error is a trace.LimitExceeded if the
// target has no connection left, a trace.NotFound if a different target or
// group is served at the address, and a trace.ConnectionProblem otherwise.
type TargetDialer interface {
	// DialTarget connects on behalf of a team, or of the proxy itself if team is empty.
	DialTarget(ctx context.Context, group string, target Target, team string) (Conn, error)
}

// Promoter calls the platform to promote a target to primary of its group. The
// error is a trace.CompareFailed if the target can't be promoted now, a
// trace.LimitExceeded if the platform is overloaded, and a
// trace.ConnectionProblem if the outcome is unknown.
type Promoter interface {
	// Ping checks that the platform can be reached.
	Ping(ctx context.Context) error
	// Promote requests the promotion on behalf of the holder of the group's
	// lock. The platform can reject requests of former holders by the
	// lock's generation.
	Promote(ctx context.Context, group string, target TargetID, holder string, generation int64) error
}

// TargetSource lists the targets registered with the platform. It skips and
// counts unreadable entries.
type TargetSource interface {
	Targets(ctx context.Context) (registrations []TargetRegistration, unreadable int, err error)
}

// Route is the configuration of one database.
type Route struct {
	Database string
	Group    string
	Class    Class
	// LatencyObjective is the response time that clients expect.
	LatencyObjective time.Duration
	// Priority orders queued requests; 0 is the highest.
	Priority int
	// Public is set if callers need no key.
	Public bool
}

// GroupSettings is the configuration of one group.
type GroupSettings struct {
	Name string
	// MaxConnections is the number of connections that a target accepts
	// from all proxies together.
	MaxConnections int
	// SyncReplicas is the number of replicas that have stored a commit when
	// the primary acknowledges it.
	SyncReplicas int
}

// Configuration is an immutable version of the operators' configuration.
type Configuration struct {
	Version int64
	Routes  map[string]Route
	Groups  map[string]GroupSettings
	// TransactionIdleTimeout is the idle time after which a transaction is
	// rolled back.
	TransactionIdleTimeout time.Duration
	// Teams holds the teams that may use the databases, nil if callers need no key.
	Teams *roseteam.Directory
	// Text is the configuration in the form that proxies pass on to each other. It holds
	// no keys.
	Text string
	// Origin is where it was read, if known.
	Origin Origin
}

// WithTeams returns the configuration with other teams.
func (c *Configuration) WithTeams(teams *roseteam.Directory) *Configuration {
	next := *c
	next.Teams = teams
	return &next
}

// WithOrigin returns the configuration with another origin.
func (c *Configuration) WithOrigin(origin Origin) *Configuration {
	next := *c
	next.Origin = origin
	return &next
}

// Origin is where in the store a configuration was read.
type Origin struct {
	// Revision is that of its key; zero if unknown.
	Revision int64
	// Epoch is the epoch of the store in which the revision means something.
	Epoch uint64
}

// ConfigurationRevision tells what a read of the configuration has seen.
type ConfigurationRevision struct {
	// Item is the revision of the configuration, a malformed one too.
	Item int64
	// Store is the store's revision.
	Store int64
}

// ConfigurationSource reads the current configuration. A call takes as long as its answer makes
// progress, see roseclock.Progress.
type ConfigurationSource interface {
	// Fetch returns the latest configuration, or nil if its revision is still known; zero
	// stands for none.
	Fetch(ctx context.Context, known int64) (*Configuration, ConfigurationRevision, error)
	// Await waits for a change after a revision of the store and returns the new
	// configuration, or nil if there was none within wait. On ErrCompacted
	// the caller has to Fetch again.
	Await(ctx context.Context, revision int64, wait time.Duration) (*Configuration, ConfigurationRevision, error)
	// Parse parses a Configuration.Text, such as one received from another proxy.
	Parse(text string) (*Configuration, error)
}
