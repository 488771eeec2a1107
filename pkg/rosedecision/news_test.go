package rosedecision

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// One call that isn't answered at the worst moment leaves time for the next, and a proxy that
// hears of the store isn't sent there while it hears of a reader that does well.
func TestNewsBudget(t *testing.T) {
	const (
		poll   = 500 * time.Millisecond
		check  = 250 * time.Millisecond
		answer = 50 * time.Millisecond
	)
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second} {
		own, root := NewNewsBudget(bound, false), NewNewsBudget(bound, true)
		qt.Check(t, own.Wait+own.WatchMargin+own.ReadTimeout+answer < bound, qt.IsTrue, qt.Commentf("%s", bound))
		qt.Check(t, root.MaxAge+check+root.ReadTimeout+answer < bound, qt.IsTrue, qt.Commentf("%s", bound))
		qt.Check(t, root.Wait+root.WatchMargin+root.ReadTimeout+answer < root.MaxAge, qt.IsTrue, qt.Commentf("%s", bound))
		qt.Check(t, root.Wait+2*poll+answer < root.MaxAge, qt.IsTrue, qt.Commentf("%s", bound))
	}
	qt.Check(t, NewNewsBudget(0, false), qt.Equals, NewNewsBudget(DefaultNewsBound, false))
}

func TestReadTimeoutAfter(t *testing.T) {
	budget := NewsBudget{ReadTimeout: 400 * time.Millisecond}
	for failures, want := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond} {
		qt.Check(t, budget.ReadTimeoutAfter(failures, 1500*time.Millisecond), qt.Equals, want)
	}
	qt.Check(t, budget.ReadTimeoutAfter(1000, 1500*time.Millisecond), qt.Equals, 1500*time.Millisecond)
}
