package rosecaller

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"time"

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

// applySession applies the session's settings and prepared statements, as far as statement needs
// them, to a connection, and reports whether the target has acknowledged all of them. Statement
// must not be sent before: a target runs what follows a statement that it has refused.
func (j *job) applySession(lease *rosefleet.ConnLease, deadline time.Time, statement rosemary.Statement) (bool, error) {
	current, _ := lease.SessionState().(*sessionState)
	setup, state := j.task.setupStatements(current, statement)
	if len(setup) == 0 {
		return true, nil
	}
	answers, _, err := lease.Exchange(deadline, setup...)
	if err != nil {
		return false, err
	}
	for i, a := range answers {
		if a.Failure != rosemary.FailureNone {
			klog.InfoS("session not applied", "target", lease.Target(), "kind", setup[i].Kind.String(), "code", a.Code, "for", statement.Kind.String(), "id", statement.ID)
			return false, nil
		}
	}
	lease.SetSessionState(state)
	return true, nil
}

// setupStatements returns the statements that apply the session's settings and
// prepared statements to a connection, and its state once they have run. The current
// state, nil for a new connection, stays as it is.
func (t Task) setupStatements(current *sessionState, statement rosemary.Statement) ([]rosemary.Statement, *sessionState) {
	var statements []rosemary.Statement
	next := &sessionState{settings: t.Settings, prepared: make(map[string]bool)}
	if current != nil && namesWithin(current.settings, t.Settings) {
		next.prepared = current.prepared
	} else if current != nil {
		statements = append(statements, rosemary.Statement{Kind: rosemary.StatementReset})
		current = nil
	}
	for name, value := range t.Settings {
		if current != nil && current.settings[name] == value {
			if _, isSet := current.settings[name]; isSet {
				continue
			}
		}
		statements = append(statements, rosemary.Statement{Kind: rosemary.StatementSet, Name: name, Payload: value})
	}
	if statement.Kind == rosemary.StatementExecute && !next.prepared[statement.Name] {
		statements = append(statements, t.Prepared)
		// The connection's present state must not claim the name before the target knows it.
		next.prepared = maps.Clone(next.prepared)
		next.prepared[statement.Name] = true
	}
	return statements, next
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
