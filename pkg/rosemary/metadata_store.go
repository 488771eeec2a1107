package rosemary

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned by MetadataStore.AwaitEvents if the store no longer
// has all changes after the requested revision. The caller has to list the keys
// again.
var ErrCompacted = errors.New("the store has compacted the requested revision; list the keys again")

// Item is a key of a MetadataStore and its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key.
	Revision int64
	// CreateRevision is the store's revision at which the key was created.
	CreateRevision int64
	// Lease is the lease whose end deletes the key; zero for none.
	Lease int64
}

// ItemEvent is a change of one key.
type ItemEvent struct {
	Item
	Deleted bool
}

// Precondition is the revision that a key must have; zero means absent.
type Precondition struct {
	Key      string
	Revision int64
}

// Change is a set of writes and deletions that is applied atomically.
type Change struct {
	Preconditions []Precondition
	// Writes lists the keys to write. Their revisions are ignored.
	Writes []Item
	// Deletes lists the keys to delete.
	Deletes []string
}

// MetadataStore is the platform's metadata store: a key-value store with prefix
// listings, leases and transactions; lock managers use it. A failed call may
// still have taken effect, so callers have to read the keys back. The error is a
// trace.ConnectionProblem if the store can't be reached or rejects the call, or
// if the answer is of an earlier epoch than one seen before.
type MetadataStore interface {
	// Epoch returns the newest epoch that an answer of the store has carried,
	// zero if none has. It rises each time the store is restored from an older
	// copy. Revisions, leases and watch positions of earlier epochs are void.
	Epoch() uint64
	// Read returns the latest value of key, or trace.NotFound.
	Read(ctx context.Context, key string) (Item, error)
	// Compare reports whether key still has a revision. It returns the item, or
	// trace.NotFound, if it doesn't, and the store's revision if it does.
	Compare(ctx context.Context, key string, revision int64) (changed *Item, newest int64, err error)
	// List returns the keys with the prefix and the store's revision. With
	// stale it may return data that is seconds old, which costs less.
	List(ctx context.Context, prefix string, stale bool) ([]Item, int64, error)
	// AwaitEvents waits up to wait for changes of keys with the prefix after a
	// revision. It returns them and the revision to continue from. The
	// error is ErrCompacted if the store no longer has these changes.
	AwaitEvents(ctx context.Context, prefix string, after int64, wait time.Duration) ([]ItemEvent, int64, error)
	// Apply commits a change and returns its revision. The error is a
	// trace.CompareFailed if a precondition isn't met, and a trace.NotFound
	// if the lease of a write has expired.
	Apply(ctx context.Context, change Change) (int64, error)
	// GrantLease returns a new lease and its actual lifetime.
	GrantLease(ctx context.Context, lifetime time.Duration) (int64, time.Duration, error)
	// RenewLease extends a lease. The error is a trace.NotFound if it has
	// expired.
	RenewLease(ctx context.Context, lease int64) error
	// RevokeLease removes a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease int64) error
}
