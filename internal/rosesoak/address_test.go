package rosesoak

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAddressesAreGivenOnce guards against a process that never starts, as another one was given
// its address before it listened.
func TestAddressesAreGivenOnce(t *testing.T) {
	c := qt.New(t)
	pool := newAddressPool()
	given := make(map[string]bool)
	for range 2000 {
		address, err := pool.take()
		c.Assert(err, qt.IsNil)
		c.Assert(given[address], qt.IsFalse, qt.Commentf("%s", address))
		given[address] = true
	}
}
