package rosefleet

import (
	"math"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// ConnectionWait estimates how long a further request would wait for a connection to a
// target, zero for an unknown one.
func (g *Group) ConnectionWait(id rosemary.TargetID) time.Duration {
	g.mu.Lock()
	e := g.endpoints[id]
	g.mu.Unlock()
	if e == nil {
		return 0
	}
	// All that wait go before it.
	wait, _ := e.pool.admit(Request{Priority: math.MaxInt})
	return wait
}
