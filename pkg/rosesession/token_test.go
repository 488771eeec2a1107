package rosesession_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

func TestTokens(t *testing.T) {
	c := qt.New(t)
	old, err := rosesession.NewKeys([]byte("the key of last year"))
	c.Assert(err, qt.IsNil)
	rotating, err := rosesession.NewKeys([]byte("the key of this year"), []byte("the key of last year"))
	c.Assert(err, qt.IsNil)
	rotated, err := rosesession.NewKeys([]byte("the key of this year"))
	c.Assert(err, qt.IsNil)
	session := rosesession.NewSession("clerk", "db").WithMinPosition(rosemary.Position{LogTerm: 3, Offset: 41}).WithUnknownMinPosition()
	token := old.Sign(session)

	verified, err := rotating.Verify(token, "clerk", "db")
	c.Assert(err, qt.IsNil)
	c.Check(verified, qt.DeepEquals, session)
	for name, attempt := range map[string]func() error{
		"retired key":       func() error { _, err := rotated.Verify(token, "clerk", "db"); return err },
		"other tenant":      func() error { _, err := rotating.Verify(token, "runner", "db"); return err },
		"other database":    func() error { _, err := rotating.Verify(token, "clerk", "other"); return err },
		"altered token":     func() error { _, err := rotating.Verify("A"+token[1:], "clerk", "db"); return err },
		"token without dot": func() error { _, err := rotating.Verify("token", "clerk", "db"); return err },
		"truncated token":   func() error { _, err := rotating.Verify(token[:len(token)-2], "clerk", "db"); return err },
		"short key":         func() error { _, err := rosesession.NewKeys([]byte("short")); return err },
		"no key":            func() error { _, err := rosesession.NewKeys(); return err },
	} {
		c.Check(attempt(), qt.IsNotNil, qt.Commentf("%s", name))
	}
}
