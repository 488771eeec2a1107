package rosemary

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is the error of KeyValue.Changes when the store no longer
// has the changes after the revision asked for; list the keys anew.
var ErrCompacted = errors.New("the store has dropped the changes asked for; list the keys anew")

// Item is a key of the platform's store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change.
	Revision int64
	// Created is the revision at which the key came into being.
	CreateRevision int64
	// Lease is zero for a key that outlives its writer.
	Lease int64
}

// ItemEvent is one change of a key.
type ItemEvent struct {
	Item
	Deleted bool
}

// Precondition is a revision that a key must have; zero means absent.
type Precondition struct {
	Key      string
	Revision int64
}

// Change is a set of writes that takes effect as a whole, or not at all.
type Change struct {
	Preconditions []Precondition
	Writes        []Item
	// Deletes lists keys to remove.
	Deletes []string
}

// KeyValue is the platform's store with ranges, leases and transactions. A
// call that failed may still have taken effect; callers read back. Errors are
// trace.ConnectionProblem when the store can't be reached or refuses.
type KeyValue interface {
	// Read returns the newest value of key, or trace.NotFound.
	Read(ctx context.Context, key string) (Item, error)
	// List returns the keys under prefix and the store's revision. A stale
	// list is cheap and may be seconds old.
	List(ctx context.Context, prefix string, stale bool) ([]Item, int64, error)
	// Changes returns what happened under prefix after a revision, at the
	// latest after wait, and the revision to go on from. The error is
	// ErrHistoryLost when the store has dropped that history.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]ItemEvent, int64, error)
	// Apply makes a change and returns its revision. The error is
	// trace.CompareFailed when an expectation isn't met, and trace.NotFound
	// when the lease of a write has ended.
	Apply(ctx context.Context, change Change) (int64, error)
	// Grant returns a new lease and the lifetime that applies.
	GrantLease(ctx context.Context, lifetime time.Duration) (int64, time.Duration, error)
	// Renew extends a lease, or returns trace.NotFound once it has ended.
	RenewLease(ctx context.Context, lease int64) error
	// End removes a lease with its keys.
	RevokeLease(ctx context.Context, lease int64) error
}
