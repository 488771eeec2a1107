package rosefront

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
)

// TestTargetNamesDiffer guards against a statement that runs as another client's, whose query
// ends like the bytes of this one's parameter types.
func TestTargetNamesDiffer(t *testing.T) {
	name := func(query string, oids ...uint32) string {
		return newPreparedStatement(&pgproto3.Parse{Name: "s1", Query: query, ParameterOIDs: oids}).targetName
	}
	qt.Check(t, name("select 1 abc"), qt.Not(qt.Equals), name("select 1", 0x20616263))
	qt.Check(t, name("select 1"), qt.Not(qt.Equals), name("select 1", 0))
	qt.Check(t, name("select 1", 23), qt.Equals, name("select 1", 23))
}
