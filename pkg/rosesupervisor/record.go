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
	// claimTimeout is what a failover spends on the store before it goes on
	// without: the store keeps supervisors from getting in each other's way,
	// the fences keep them safe.
	claimTimeout = 30 * time.Millisecond
	// publishTimeout bounds one attempt to publish a primary.
	publishTimeout = time.Second
	// publishAttempts bounds the attempts; a later promotion or a repair
	// publishes again.
	publishAttempts = 20
	// publishPause separates them.
	publishPause = 3 * time.Second
)

// GroupRecord is what the store holds of a group. It only rises.
type GroupRecord struct {
	Term uint64
	// Primary is empty while the term has none yet.
	Primary  rosemary.TargetID
	Proposer string
}

func recordKey(database string) string { return "Groups/" + database }

// readRecord returns the record and its revision; both zero if there is none.
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
		return GroupRecord{}, entry.Revision, nil // an unreadable record is written anew
	}
	return record, entry.Revision, nil
}

// raise writes record if it is higher than the one in the store. An answer
// that was lost is made up for by reading back: the proposer tells whose
// write it was.
func raise(ctx context.Context, store rosemary.Store, database string, record GroupRecord) (GroupRecord, error) {
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
			return GroupRecord{}, trace.ConnectionProblem(ctx.Err(), "the store did not answer in time")
		}
	}
}

// claim announces an attempt in the store. It returns the term to use, and
// false when another supervisor is ahead.
func (s *Supervisor) claim(ctx context.Context, term uint64, proposer string) (uint64, bool) {
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
	won, err := raise(ctx, s.config.Store, s.database(), GroupRecord{Term: term, Proposer: proposer})
	if err != nil {
		return term, true
	}
	return term, won.Proposer == proposer
}

// publish writes the new primary to the store, however long that is down.
func (s *Supervisor) publish(ctx context.Context, record GroupRecord) {
	if s.config.Store == nil {
		return
	}
	for range publishAttempts {
		attempt, cancel := context.WithTimeout(ctx, publishTimeout)
		_, err := raise(attempt, s.config.Store, s.database(), record)
		cancel()
		if err == nil || !roseclock.Sleep(ctx, publishPause) {
			return
		}
	}
}
