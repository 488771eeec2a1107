package rosecaller

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

const (
	// maxOutdatedTries bounds how often a statement is tried because another proxy knows a
	// newer configuration.
	maxOutdatedTries = 3
	// outdatedRetryAfter is when a client should retry a statement that was refused because
	// this proxy's configuration is outdated.
	outdatedRetryAfter = 50 * time.Millisecond
)

// identity is the team that holds a session's key in one version of the configuration.
type identity struct {
	// directory is nil if callers need no key.
	directory *roseteam.Directory
	team      string
	// known is set if a team holds the key, or if callers need none.
	known bool
}

func newIdentity(directory *roseteam.Directory, key roseteam.KeyDigest) identity {
	if directory == nil {
		return identity{known: true}
	}
	team, known := directory.ByKey(key)
	return identity{directory: directory, team: team.Name, known: known}
}

// version returns the version of the configuration that the identity was resolved in, zero
// if callers need no key.
func (i identity) version() int64 {
	if i.directory == nil {
		return 0
	}
	return i.directory.Version()
}

// resolveTeam looks the session's key up if the teams have changed, and returns the refusal
// if it may not use a route.
func (s *Session) resolveTeam(route rosemary.Route) *rosemary.Refusal {
	if directory := s.config.ConfigProvider.Teams(); directory != s.identity.directory {
		s.identity = newIdentity(directory, s.config.Key)
		if s.identity.known {
			s.lastTeam = s.identity.team
		}
	}
	if s.identity.known || route.Public {
		return nil
	}
	return Denied(s.config.Key)
}

// Denied is the refusal of a caller whose key belongs to no team.
func Denied(key roseteam.KeyDigest) *rosemary.Refusal {
	return &rosemary.Refusal{
		Kind: rosemary.KindDenied, Outcome: rosemary.OutcomeNotRun,
		Message: "no team holds the caller's key, fingerprint " + key.Fingerprint(), Remedy: "connect with a key that the configuration in force holds",
	}
}

// executeForTeam runs a task in the name of the team that holds the session's key now, and
// sets the task's team. If a home proxy knows a newer configuration, the key is looked up in
// that and the task tried again.
func (s *Session) executeForTeam(ctx context.Context, task *Task) Result {
	for try := 1; ; try++ {
		if refusal := s.checkTeam(*task); refusal != nil {
			return refusedResult(*task, refusal)
		}
		task.Team, task.ConfigurationVersion = s.identity.team, s.identity.version()
		result := s.execute(ctx, *task)
		if result.Refusal == nil || result.Refusal.Kind != rosemary.KindOutdated {
			return result
		}
		if try == maxOutdatedTries || s.config.ConfigProvider.Teams() == s.identity.directory || !time.Now().Before(task.Deadline) {
			s.failTransaction(task.Statement)
			return result
		}
	}
}

// checkTeam returns the refusal if the session's key may not run a task. An open transaction
// ends then, and also if the key has moved to another team.
func (s *Session) checkTeam(task Task) *rosemary.Refusal {
	refusal := s.resolveTeam(task.Route)
	if s.transactionState == rosemary.TransactionNone {
		return refusal
	}
	if refusal != nil {
		s.rollback()
		s.transactionState = rosemary.TransactionNone
		return refusal
	}
	if s.identity.team != s.transactionTeam {
		s.failTransaction(task.Statement)
		return aborted("the caller's key was moved to another team, and the transaction was rolled back")
	}
	return nil
}

// failTransaction rolls back an open transaction at one of its statements. Unless that is the
// commit, the client has to end the transaction.
func (s *Session) failTransaction(statement rosemary.Statement) {
	if s.transactionState == rosemary.TransactionNone {
		return
	}
	s.rollback()
	s.transactionState = rosemary.TransactionFailed
	if statement.Kind == rosemary.StatementCommit {
		s.transactionState = rosemary.TransactionNone
	}
}

// TransactionStage is where in a transaction a task is.
type TransactionStage int

// Stages of a transaction.
const (
	// OutsideTransaction is a task of its own.
	OutsideTransaction TransactionStage = iota
	// BeforeTransaction is the first task of a transaction.
	BeforeTransaction
	// InTransaction is a further task of one that is open on its target.
	InTransaction
)

// OutdatedResult is the result of a task that a home proxy refuses because it knows a newer
// version of the configuration. The transaction that the task belongs to stays open, so that
// the session may try again.
func OutdatedResult(task Task, stage TransactionStage, version int64) Result {
	result := refusedResult(task, &rosemary.Refusal{
		Kind: rosemary.KindOutdated, Outcome: rosemary.OutcomeNotRun, RetryAfter: outdatedRetryAfter,
		Message: "the teams or their keys have changed in a configuration that this proxy doesn't have yet", Remedy: "retry",
	})
	result.NewerVersion, result.Open = version, stage == InTransaction
	if stage != OutsideTransaction {
		result.Answer.TransactionState = rosemary.TransactionOpen
	}
	return result
}
