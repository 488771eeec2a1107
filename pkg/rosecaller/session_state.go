package rosecaller

import (
	"crypto/sha256"
	"encoding/base64"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// sessionState is the state of a connection to a target: the settings of the
// session that used it last, and the prepared statements, whose names all
// sessions share.
type sessionState struct {
	settings map[string]string
	prepared map[string]bool
}

// withSharedName names a prepared statement by a hash of its content. Names
// that clients choose may collide on a connection that several sessions use;
// with content hashes, the sessions share equal statements instead. Clients choose the
// content too, so the hash has to resist collisions.
func withSharedName(statement rosemary.Statement) rosemary.Statement {
	access := "r"
	if statement.Writes {
		access = "w"
	}
	sum := sha256.Sum256([]byte(access + statement.Payload))
	statement.ID, statement.Name = "", "p"+base64.RawURLEncoding.EncodeToString(sum[:])
	return statement
}

// setupStatements returns the statements that apply the session's settings and
// prepared statements to a connection, and its state once they have run.
func (j *job) setupStatements(lease *rosefleet.ConnLease, statement rosemary.Statement) ([]rosemary.Statement, *sessionState) {
	var statements []rosemary.Statement
	next := &sessionState{settings: j.task.Settings, prepared: make(map[string]bool)}
	current, _ := lease.SessionState().(*sessionState)
	if current != nil && namesWithin(current.settings, j.task.Settings) {
		next.prepared = current.prepared
	} else if current != nil {
		statements = append(statements, rosemary.Statement{Kind: rosemary.StatementReset})
		current = nil
	}
	for name, value := range j.task.Settings {
		if current != nil && current.settings[name] == value {
			if _, isSet := current.settings[name]; isSet {
				continue
			}
		}
		statements = append(statements, rosemary.Statement{Kind: rosemary.StatementSet, Name: name, Payload: value})
	}
	if statement.Kind == rosemary.StatementExecute && !next.prepared[statement.Name] {
		statements = append(statements, j.task.Prepared)
		next.prepared[statement.Name] = true
	}
	return statements, next
}

// logRefusedSetup logs that a target refused one of the statements that apply a session, with the
// answer to the statement that was sent along with them.
func logRefusedSetup(lease *rosefleet.ConnLease, setup []rosemary.Statement, statement rosemary.Statement, answers []rosemary.Answer) {
	for i, s := range setup {
		if answers[i].Failure != rosemary.FailureNone {
			along := answers[len(setup)]
			klog.InfoS("session not applied", "target", lease.Target(), "kind", s.Kind.String(), "code", answers[i].Code,
				"along", statement.Kind.String(), "id", statement.ID, "alongRan", along.Failure.MayHaveRun(), "alongCode", along.Code)
			return
		}
	}
}

// namesWithin reports whether other has every name that settings has.
func namesWithin(settings, other map[string]string) bool {
	for name := range settings {
		if _, has := other[name]; !has {
			return false
		}
	}
	return true
}
