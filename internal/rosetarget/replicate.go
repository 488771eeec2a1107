package rosetarget

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// replicationRetry limits the wait for a change at the primary. Nothing signals
// that an unavailable primary is back, or that a record held back by the lag has
// become old enough.
const replicationRetry = 20 * time.Millisecond

// startReplication starts replication from the target's primary, after stopping
// that from an earlier one. The caller holds mu.
func (t *Target) startReplication() {
	if t.cancelReplication != nil {
		t.cancelReplication()
	}
	ctx, cancel := context.WithCancel(t.run.ctx)
	t.cancelReplication = cancel
	primary, term := t.group.targets[t.primary], t.term
	t.run.goroutines.Go(func() { t.replicate(ctx, primary, term) })
}

// replicate copies the log of primary until ctx is canceled. A crash, a fence and
// a change of the primary or the term cancel it.
func (t *Target) replicate(ctx context.Context, primary *Target, term uint64) {
	defer t.clearStreaming()
	for ctx.Err() == nil && primary != nil {
		updated, changed := t.replicateOnce(ctx, primary, term)
		t.updateStreaming(changed != nil || updated, primary)
		if updated {
			continue
		}
		select {
		case <-changed:
		case <-time.After(replicationRetry):
		case <-ctx.Done():
		}
	}
}

// streamTimeout is the time without contact with the primary after which a
// replica reports its replication stream as broken.
const streamTimeout = 600 * time.Millisecond

// updateStreaming updates whether the replica reports a replication stream. A
// primary that crashed is detected immediately, as it closes its connections; one
// that can't be reached or doesn't lead the term only after streamTimeout.
func (t *Target) updateStreaming(contacted bool, primary *Target) {
	primary.mu.Lock()
	closed := primary.run == nil
	primary.mu.Unlock()
	closed = closed && !t.config.Network.Blocked(primary.host(), t.host())
	t.mu.Lock()
	defer t.mu.Unlock()
	if contacted {
		t.lastContact = time.Now()
	}
	streaming := contacted || t.streaming && !closed && time.Since(t.lastContact) < streamTimeout
	if streaming != t.streaming {
		t.streaming = streaming
		t.notify()
	}
}

// clearStreaming ends the reported stream once replication has ended. A target
// that is still a replica keeps it, as it may only have changed its primary.
func (t *Target) clearStreaming() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.role != rosemary.RoleReplica && t.streaming {
		t.streaming = false
		t.notify()
	}
}

// replicateOnce truncates the log where it diverges from the primary's, and then
// appends the primary's records that are older than the lag. It returns whether
// the log changed, and a channel that is closed when the primary's state next
// changes; nil if the primary can't be reached or doesn't lead the term, or the
// target isn't its replica any more.
func (t *Target) replicateOnce(ctx context.Context, primary *Target, term uint64) (bool, <-chan struct{}) {
	from, to := primary.host(), t.host()
	primary.mu.Lock()
	changed := primary.changed
	available := primary.run != nil && primary.role == rosemary.RolePrimary && primary.term == term
	source := database{log: primary.data.log}
	primary.mu.Unlock()
	if !available || t.config.Network.Blocked(from, to) {
		return false, nil
	}
	t.mu.Lock()
	common := t.data.commonPrefix(&source)
	lag := t.lag
	diverged := common < len(t.data.log)
	t.mu.Unlock()
	end := len(source.log)
	for lag > 0 && end > common && time.Since(source.log[end-1].committedAt) < lag {
		end--
	}
	if end == common && !diverged {
		return false, changed
	}
	if !roseclock.Sleep(ctx, t.config.Network.Delay(from, to)) || t.config.Network.Blocked(from, to) {
		return false, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || t.role != rosemary.RoleReplica || ctx.Err() != nil {
		return false, nil
	}
	t.data.truncate(common)
	for _, r := range source.log[common:max(end, common)] {
		t.data.append(r)
	}
	t.notify()
	return true, changed
}

// fence moves the target to term, in which it accepts no writes until it is
// promoted. It refuses an older term, or the current one from another proposer.
func (t *Target) fence(term uint64, proposer string) (rosemary.Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term || term == t.term && proposer != t.proposer {
		return t.status(), newError("55000", "fence for term %d refused: term %d is newer or belongs to another proposer", term, t.term)
	}
	if term > t.term {
		t.term = term
		t.proposer = proposer
		t.role = rosemary.RoleFenced
		t.stopReplication()
		t.notify()
	}
	return t.status(), nil
}

func (t *Target) stopReplication() {
	if t.cancelReplication != nil {
		t.cancelReplication()
		t.cancelReplication = nil
	}
}

// promote makes a target fenced for term its primary. It refuses another term,
// and a replica.
func (t *Target) promote(term uint64) (rosemary.Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || t.role == rosemary.RoleReplica {
		return t.status(), newError("55000", "promotion to term %d refused: current term is %d, role %s", term, t.term, t.role)
	}
	if t.role == rosemary.RoleFenced {
		t.role = rosemary.RolePrimary
		t.primary = t.config.ID
		t.data.append(record{term: term, committedAt: time.Now()})
		t.notify()
	}
	return t.status(), nil
}

// followPrimary makes the target a replica of primary in term. It refuses an older
// term, or the current one if the target is its primary.
func (t *Target) followPrimary(primary rosemary.TargetID, term uint64) (rosemary.Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term || term == t.term && t.role == rosemary.RolePrimary {
		return t.status(), newError("55000", "follow in term %d refused: current term is %d, role %s", term, t.term, t.role)
	}
	if term == t.term && t.role == rosemary.RoleReplica && t.primary == primary {
		return t.status(), nil
	}
	t.term = term
	t.role = rosemary.RoleReplica
	t.primary = primary
	t.startReplication()
	t.notify()
	return t.status(), nil
}
