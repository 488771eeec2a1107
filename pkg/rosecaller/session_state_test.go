package rosecaller

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// TestSharedNamesDiffer guards against a statement that runs as another client's, as both got
// the same name on a connection.
func TestSharedNamesDiffer(t *testing.T) {
	byName := make(map[string]rosemary.Statement)
	for _, payload := range []string{"age", "wage", "wwage", "rage", "w", "r", "", " age", "age ", "age\nw"} {
		for _, writes := range []bool{false, true} {
			s := rosemary.Statement{Kind: rosemary.StatementPrepare, Name: "s1", Payload: payload, Writes: writes}
			name := withSharedName(s).Name
			other, taken := byName[name]
			qt.Check(t, taken, qt.IsFalse, qt.Commentf("%q (writes: %v) and %q (writes: %v)", payload, writes, other.Payload, other.Writes))
			qt.Check(t, strings.ContainsAny(name, " \r\n"), qt.IsFalse)
			byName[name] = s
			s.Name = "another client's"
			qt.Check(t, withSharedName(s).Name, qt.Equals, name)
		}
	}
}
