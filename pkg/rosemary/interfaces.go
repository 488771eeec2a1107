package rosemary

import (
	"context"
	"net"
	"time"
)

// Dialer opens connections to targets, peers and the platform.
type Dialer interface {
	// Dial opens a stream to address. The error is that of the network.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TargetControl drives one target through its control functions. Every call
// is idempotent. Errors are those of the connection or of the target.
type TargetControl interface {
	// Watch returns the target's status once it differs from known, or
	// after wait.
	Watch(ctx context.Context, known Status, wait time.Duration) (Status, error)
	// Fence makes the target accept term and refuse writes of older terms.
	// A target at or above term refuses and reports its status.
	Fence(ctx context.Context, term uint64, proposer string) (Status, error)
	// Promote makes a target fenced at term its primary.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the target replicate from primary under term.
	Follow(ctx context.Context, primary TargetID, term uint64) (Status, error)
}

// Entry is a value of the platform's store with its revision.
type Entry struct {
	Value    []byte
	Revision int64
}

// Store is the platform's key-value service. A call may fail after it has
// taken effect; callers read back. Errors are trace.ConnectionProblem when
// the service can't be reached and trace.NotFound for an absent key.
type Store interface {
	// Get returns the newest value of key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if key is still at revision; revision
	// zero means that key is absent. It reports whether it wrote.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error)
	// Watch sends the entry of key whenever it changes, until ctx ends or
	// the connection fails, and closes the channel then.
	Watch(ctx context.Context, key string) (<-chan Entry, error)
}

// Member is one VM of the platform's list.
type Member struct {
	Proxy   ProxyID
	Zone    Zone
	Address string
	Leaving bool
	// Weight is its capacity in comparison with others.
	Weight int
}

// MemberSource is the platform's lagging list of VMs.
type MemberSource interface {
	// Members returns the list as the platform knows it now.
	Members(ctx context.Context) ([]Member, error)
}
