package rosetarget

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// replicationRetry is the pause after a replica found no primary of its term.
const replicationRetry = 20 * time.Millisecond

// startFollowing replaces the replication of the target. The lock is held.
func (t *Target) startFollowing() {
	if t.follow != nil {
		t.follow()
	}
	ctx, cancel := context.WithCancel(t.running.ctx)
	t.follow = cancel
	primary, term := t.cluster.targets[t.primary], t.term
	t.running.tasks.Go(func() { t.replicate(ctx, primary, term) })
}

// replicate copies the log of primary while term is in force.
func (t *Target) replicate(ctx context.Context, primary *Target, term uint64) {
	defer t.stopStream()
	for ctx.Err() == nil && primary != nil {
		more, changed := t.copyOnce(ctx, primary, term)
		t.noteStream(changed != nil || more, primary)
		if more {
			continue
		}
		select {
		case <-changed:
		case <-time.After(replicationRetry):
		case <-ctx.Done():
		}
	}
}

// streamTimeout is the silence after which a replica takes its stream for
// broken.
const streamTimeout = 600 * time.Millisecond

// noteStream keeps what the replica reports of its stream. A primary that
// closed the stream is noticed at once, a silent one after a time.
func (t *Target) noteStream(heard bool, primary *Target) {
	primary.mu.Lock()
	closed := primary.running == nil
	primary.mu.Unlock()
	closed = closed && !t.config.Network.Blocked(primary.place(), t.place())
	t.mu.Lock()
	defer t.mu.Unlock()
	if heard {
		t.heardAt = time.Now()
	}
	streaming := heard || t.streaming && !closed && time.Since(t.heardAt) < streamTimeout
	if streaming != t.streaming {
		t.streaming = streaming
		t.notify()
	}
}

func (t *Target) stopStream() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.role != rosemary.RoleReplica && t.streaming {
		t.streaming = false
		t.notify()
	}
}

// copyOnce moves what the primary has and the lag allows. It reports whether
// anything was copied, and a channel that closes when the primary changes.
func (t *Target) copyOnce(ctx context.Context, primary *Target, term uint64) (bool, <-chan struct{}) {
	from, to := primary.place(), t.place()
	primary.mu.Lock()
	changed := primary.changed
	alive := primary.running != nil && primary.role == rosemary.RolePrimary && primary.term == term
	source := database{log: primary.data.log}
	primary.mu.Unlock()
	if !alive || t.config.Network.Blocked(from, to) {
		return false, nil
	}
	t.mu.Lock()
	shared := t.data.common(&source)
	lag := t.lag
	diverged := shared < len(t.data.log)
	t.mu.Unlock()
	end := len(source.log)
	for lag > 0 && end > shared && time.Since(source.log[end-1].at) < lag {
		end--
	}
	if end == shared && !diverged {
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
	t.data.truncate(shared)
	for _, r := range source.log[shared:max(end, shared)] {
		t.data.append(r)
	}
	t.notify()
	return true, changed
}

// fence makes the target accept term and refuse what is older.
func (t *Target) fence(term uint64, proposer string) (rosemary.Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term || term == t.term && proposer != t.proposer {
		return t.status(), newError("55000", "fence for term %d refused: term %d is in force", term, t.term)
	}
	if term > t.term {
		t.term = term
		t.proposer = proposer
		t.role = rosemary.RoleFenced
		t.stopFollowing()
		t.notify()
	}
	return t.status(), nil
}

func (t *Target) stopFollowing() {
	if t.follow != nil {
		t.follow()
		t.follow = nil
	}
}

// promote starts term on a target fenced at it.
func (t *Target) promote(term uint64) (rosemary.Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || t.role == rosemary.RoleReplica {
		return t.status(), newError("55000", "promotion to term %d refused: term %d as %s is in force", term, t.term, t.role)
	}
	if t.role == rosemary.RoleFenced {
		t.role = rosemary.RolePrimary
		t.primary = t.config.ID
		t.data.append(record{term: term, at: time.Now()})
		t.notify()
	}
	return t.status(), nil
}

// followPrimary makes the target a replica of primary under term.
func (t *Target) followPrimary(primary rosemary.TargetID, term uint64) (rosemary.Status, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term || term == t.term && t.role == rosemary.RolePrimary {
		return t.status(), newError("55000", "follow under term %d refused: term %d as %s is in force", term, t.term, t.role)
	}
	if term == t.term && t.role == rosemary.RoleReplica && t.primary == primary {
		return t.status(), nil
	}
	t.term = term
	t.role = rosemary.RoleReplica
	t.primary = primary
	t.startFollowing()
	t.notify()
	return t.status(), nil
}
