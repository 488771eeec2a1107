package rosesupervisor

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// fenceTimeout bounds the wait for a fence quorum.
	fenceTimeout = 800 * time.Millisecond
	// fenceGrace is the additional wait for the remaining targets once a quorum
	// is fenced.
	fenceGrace = 10 * time.Millisecond
	// commandTimeout bounds one call to a target.
	commandTimeout = 800 * time.Millisecond
)

// Promotion is one attempt to start a term. Each step is idempotent; after a
// step that fails, the next attempt starts over under a higher term.
type Promotion struct {
	Group    rosemary.Group
	Term     uint64
	Proposer string
	// Control returns the control functions of a target.
	Control func(rosemary.TargetID) rosemary.TargetControl
	// Avoid reports whether a target is to be promoted only if no other
	// qualifies.
	Avoid func(rosemary.TargetID) bool
	// Preferred is promoted if it qualifies; empty for no preference.
	Preferred rosemary.TargetID
}

// fenceResult is the reply of one target to a fence.
type fenceResult struct {
	status rosemary.Status
	err    error
}

// Fence fences the targets and returns the statuses of those that accepted. The
// error is a trace.CompareFailed if they are fewer than a fence quorum.
func (p *Promotion) Fence(ctx context.Context) ([]rosemary.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	results := make(chan fenceResult, len(p.Group.Targets))
	for _, t := range p.Group.Targets {
		go func() {
			status, err := p.Control(t.ID).Fence(ctx, p.Term, p.Proposer)
			results <- fenceResult{status, err}
		}()
	}
	defer cancel()
	var fenced []rosemary.Status
	var lastErr error
	var grace <-chan time.Time
	for range p.Group.Targets {
		select {
		case result := <-results:
			if result.err != nil {
				lastErr = result.err
				continue
			}
			fenced = append(fenced, result.status)
			if len(fenced) == p.Group.FenceQuorum() {
				grace = time.After(fenceGrace)
			}
		case <-grace:
			return fenced, nil
		case <-ctx.Done():
			lastErr = ctx.Err()
		}
	}
	if len(fenced) < p.Group.FenceQuorum() {
		return fenced, trace.CompareFailed("only %d of %d targets needed accepted the fence of term %d: %v",
			len(fenced), p.Group.FenceQuorum(), p.Term, lastErr)
	}
	return fenced, nil
}

// Run fences the targets, promotes one of them and returns its status.
func (p *Promotion) Run(ctx context.Context) (rosemary.Status, error) {
	fenced, err := p.Fence(ctx)
	if err != nil {
		return rosemary.Status{}, err
	}
	chosen, found := ChoosePrimary(p.Group, fenced, p.Avoid, p.Preferred)
	if !found {
		return rosemary.Status{}, trace.CompareFailed("no fenced target holds every acknowledged write")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	status, err := p.Control(chosen.Target).Promote(ctx, p.Term)
	if err != nil {
		return rosemary.Status{}, trace.Wrap(err, "promote %s", chosen.Target)
	}
	return status, nil
}
