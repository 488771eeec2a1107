// Package rosecap keeps the operations of teams within their usage caps over all proxies. A few
// proxies in each availability zone, the hosts, have a fixed share of each cap and grant tokens
// from it. A proxy that runs an operation takes a token for it, from the hosts of its zone or,
// if those have none left, from those of another zone. Nothing here uses the network; times
// are passed in.
package rosecap

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// DefaultWindow is the window in which operations are counted unless it is set otherwise.
const DefaultWindow = 5 * time.Second

const (
	// grantTime is for how long a token may be used after its request was sent.
	grantTime = 300 * time.Millisecond
	// dividedPart is the part of a window's operations that is divided among the hosts.
	dividedPart = 0.98
	// burstPart is the part of its share that a host may keep as tokens. It may keep minBurst
	// tokens in any case unless those are more than maxBurstPart of its share.
	burstPart    = 0.1
	maxBurstPart = 0.4
	minBurst     = 5
	// minHostShare is the smallest number of operations in a window for which each host of a
	// zone has a share of its own, minZoneShare that for which one host of each zone has. Of
	// smaller caps one host of the fleet has all.
	minHostShare = 20
	minZoneShare = 4
)

// Policy is how far the operations of a team in any window may exceed
// rate x window + burst: by the part Excess of it, and by Slack operations.
type Policy struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// operations returns the number of operations that a window may hold.
func (p Policy) operations(usage roseteam.Cap) float64 {
	return (1+p.Excess)*(usage.Rate*p.Window.Seconds()+usage.Burst) + p.Slack
}

// share is the part of a team's cap that one host grants, as a token bucket. A host that starts
// begins with an empty bucket: whatever it granted in the window before its start, it stays
// within its share.
type share struct {
	// rate is the number of tokens that it gets each second, burst the number that it may keep.
	rate, burst float64
}

// newShare returns the share that holds a number of operations in any window, also with tokens
// that were granted just before it and are used in it.
func (p Policy) newShare(operations float64) share {
	burst := max(burstPart*operations, min(minBurst, maxBurstPart*operations))
	if operations >= 1 {
		burst = max(burst, 1)
	}
	return share{rate: max(operations-burst, 0) / (p.Window + grantTime).Seconds(), burst: burst}
}
