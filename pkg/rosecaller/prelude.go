package rosecaller

import (
	"hash/fnv"
	"strconv"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// memo is what is set on a link: the values of the session that used it last,
// and the statements prepared on it, whose names every session shares.
type memo struct {
	values   map[string]string
	prepared map[string]bool
}

// newPrepared names a statement by its content, so that sessions whose own
// names collide share what is prepared on a link.
func newPrepared(statement rosemary.Statement) rosemary.Statement {
	hash := fnv.New64a()
	if statement.Writes {
		_, _ = hash.Write([]byte{'w'})
	}
	_, _ = hash.Write([]byte(statement.Payload))
	statement.ID, statement.Name = "", "p"+strconv.FormatUint(hash.Sum64(), 36)
	return statement
}

// prelude returns the statements that bring a link to the session's values
// and names, and what the link's memo is once they have run.
func (j *job) prelude(lease *rosefleet.Lease, statement rosemary.Statement) ([]rosemary.Statement, *memo) {
	var statements []rosemary.Statement
	now := &memo{values: j.task.Values, prepared: make(map[string]bool)}
	known, _ := lease.SessionState().(*memo)
	if known != nil && within(known.values, j.task.Values) {
		now.prepared = known.prepared
	} else if known != nil {
		statements = append(statements, rosemary.Statement{Kind: rosemary.StatementReset})
		known = nil
	}
	for name, value := range j.task.Values {
		if known != nil && known.values[name] == value {
			if _, set := known.values[name]; set {
				continue
			}
		}
		statements = append(statements, rosemary.Statement{Kind: rosemary.StatementSet, Name: name, Payload: value})
	}
	if statement.Kind == rosemary.StatementExecute && !now.prepared[statement.Name] {
		statements = append(statements, j.task.Prepared)
		now.prepared[statement.Name] = true
	}
	return statements, now
}

// within reports whether other has every name that values has.
func within(values, other map[string]string) bool {
	for name := range values {
		if _, has := other[name]; !has {
			return false
		}
	}
	return true
}
