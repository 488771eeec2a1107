package rosecaller

import (
	"math/rand/v2"
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

// modelTarget is the session that a target has, whatever a proxy believes of it.
type modelTarget struct {
	settings map[string]string
	prepared map[string]string
}

func (m *modelTarget) run(s rosemary.Statement) {
	switch s.Kind {
	case rosemary.StatementReset:
		m.settings, m.prepared = map[string]string{}, map[string]string{}
	case rosemary.StatementSet:
		m.settings[s.Name] = s.Payload
	case rosemary.StatementPrepare:
		m.prepared[s.Name] = s.Payload
	}
}

// TestSessionStateIsThatOfTheTarget guards against a connection whose state claims a setting or a
// prepared statement that its target doesn't have: sessions take turns on one connection, their
// statements are refused at random places, or aren't sent at all.
func TestSessionStateIsThatOfTheTarget(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, seed))
		pick := func(words ...string) string { return words[random.IntN(len(words))] }
		target := &modelTarget{settings: map[string]string{}, prepared: map[string]string{}}
		var state *sessionState
		for range 200 {
			task := Task{Settings: map[string]string{}}
			for range random.IntN(3) {
				task.Settings[pick("role", "zone")] = pick("a", "b")
			}
			task.Prepared = withSharedName(rosemary.Statement{Kind: rosemary.StatementPrepare, Payload: pick("q1", "q2", "q3")})
			statement := rosemary.Statement{Kind: rosemary.StatementExecute, Name: task.Prepared.Name}
			setup, next := task.setupStatements(state, statement)
			refused := random.IntN(4) == 0 && len(setup) > 0
			switch {
			case random.IntN(4) == 0:
				// The connection goes back unused.
			case refused:
				for n, at := 0, random.IntN(len(setup)); n < len(setup); n++ {
					if n != at {
						target.run(setup[n])
					}
				}
				// Its connection is closed.
				target, state = &modelTarget{settings: map[string]string{}, prepared: map[string]string{}}, nil
			default:
				for _, s := range setup {
					target.run(s)
				}
				state = next
				qt.Assert(t, target.settings, qt.DeepEquals, task.Settings)
				qt.Assert(t, target.prepared[statement.Name], qt.Equals, task.Prepared.Payload)
			}
			if state == nil {
				continue
			}
			qt.Assert(t, target.settings, qt.DeepEquals, state.settings)
			for name := range state.prepared {
				_, known := target.prepared[name]
				qt.Assert(t, known, qt.IsTrue, qt.Commentf("seed %d: %s isn't prepared", seed, name))
			}
		}
	}
}
