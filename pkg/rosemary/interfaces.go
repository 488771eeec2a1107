package rosemary

import (
	"context"
	"net"
	"time"
)

// Dialer opens connections to targets, peers and the platform.
type Dialer interface {
	// Dial opens a stream to address. It returns network errors unchanged.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TargetControl calls the control functions of one target. Every call is
// idempotent.
type TargetControl interface {
	// Watch returns the target's status as soon as it differs from known,
	// at the latest after wait.
	Watch(ctx context.Context, known Status, wait time.Duration) (Status, error)
	// Fence makes the target accept term and reject writes of older terms.
	// A target rejects the call if it has accepted a later term, or the same
	// term from another proposer.
	Fence(ctx context.Context, term uint64, proposer string) (Status, error)
	// Promote makes a target that is fenced at term the primary of term.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the target replicate from primary under term.
	Follow(ctx context.Context, primary TargetID, term uint64) (Status, error)
}

// Entry is a value in a Store and its revision.
type Entry struct {
	Value    []byte
	Revision int64
}

// Store is the part of etcd's key-value API that works on single keys; bundles
// and supervisors use it. A failed call may still have taken effect, so callers
// have to read the key back. The error is a trace.ConnectionProblem if the store
// can't be reached, and a trace.NotFound if the key doesn't exist.
type Store interface {
	// Get returns the latest value of key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if key is still at revision, where zero
	// stands for an absent key. It reports whether it wrote.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error)
	// Watch sends the entry of key on every change. It closes the channel
	// when ctx is done or the connection fails.
	Watch(ctx context.Context, key string) (<-chan Entry, error)
}

// Member is a proxy and its VM, as listed by the platform.
type Member struct {
	Proxy   ProxyID
	Zone    Zone
	Address string
	Leaving bool
	// Weight is the capacity of the VM relative to that of others.
	Weight int
}

// MemberSource lists the proxies that the platform knows.
type MemberSource interface {
	// Members returns the platform's list, which may be stale.
	Members(ctx context.Context) ([]Member, error)
}
