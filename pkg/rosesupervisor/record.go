package rosesupervisor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// claimTimeout is how long a promotion waits for the store before it goes on
	// without it: the store only keeps supervisors from competing for a term,
	// while the fences ensure safety.
	claimTimeout = 30 * time.Millisecond
	// publishTimeout bounds one attempt to publish a primary.
	publishTimeout = time.Second
	// publishAttempts bounds the attempts; the next promotion publishes again.
	publishAttempts   = 20
	publishRetryDelay = 3 * time.Second
)

// GroupRecord is the stored state of a group. Its term never decreases.
type GroupRecord struct {
	Term uint64
	// Primary is empty until a target has been promoted under Term.
	Primary  rosemary.TargetID
	Proposer string
}

func recordKey(database string) string { return "Groups/" + database }

// readRecord returns the record and its revision; both are zero if there is none.
func readRecord(ctx context.Context, store rosemary.Store, database string) (GroupRecord, int64, error) {
	entry, err := store.Get(ctx, recordKey(database))
	if trace.IsNotFound(err) {
		return GroupRecord{}, 0, nil
	}
	if err != nil {
		return GroupRecord{}, 0, err
	}
	var record GroupRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return GroupRecord{}, entry.Revision, nil // an unreadable record is overwritten
	}
	return record, entry.Revision, nil
}

// advanceRecord writes record unless the store holds one of a later term, or of
// another proposer for the same term, and returns the record then in the store.
// A write whose reply was lost is found by reading back, as the proposer
// identifies the writer.
func advanceRecord(ctx context.Context, store rosemary.Store, database string, record GroupRecord) (GroupRecord, error) {
	for {
		current, revision, err := readRecord(ctx, store, database)
		if err != nil {
			return GroupRecord{}, err
		}
		if current == record || current.Term > record.Term || current.Term == record.Term && current.Proposer != record.Proposer {
			return current, nil
		}
		value, err := json.Marshal(record)
		if err != nil {
			return GroupRecord{}, trace.Wrap(err)
		}
		written, err := store.CompareAndSwap(ctx, recordKey(database), revision, value)
		if err == nil && written {
			return record, nil
		}
		if ctx.Err() != nil {
			return GroupRecord{}, trace.ConnectionProblem(ctx.Err(), "store did not answer in time")
		}
	}
}

// claimTerm announces an attempt in the store. It returns the term to use, and
// false if another supervisor has claimed the term or a later one. While the
// store doesn't answer it returns true, as safety depends on the fences only.
func (s *Supervisor) claimTerm(ctx context.Context, term uint64, proposer string) (uint64, bool) {
	if s.config.Store == nil {
		return term, true
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	current, _, err := readRecord(ctx, s.config.Store, s.database())
	if err != nil {
		return term, true
	}
	term = max(term, current.Term+1)
	winner, err := advanceRecord(ctx, s.config.Store, s.database(), GroupRecord{Term: term, Proposer: proposer})
	if err != nil {
		return term, true
	}
	return term, winner.Proposer == proposer
}

// publishRecord writes the new primary to the store, with retries while the
// store is down.
func (s *Supervisor) publishRecord(ctx context.Context, record GroupRecord) {
	if s.config.Store == nil {
		return
	}
	for range publishAttempts {
		attempt, cancel := context.WithTimeout(ctx, publishTimeout)
		_, err := advanceRecord(attempt, s.config.Store, s.database(), record)
		cancel()
		if err == nil || !roseclock.Sleep(ctx, publishRetryDelay) {
			return
		}
	}
}
