package rosesupervisor

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// fenceTimeout bounds the wait for enough fences.
	fenceTimeout = 800 * time.Millisecond
	// fenceGrace is how long the remaining targets are waited for once
	// there are enough.
	fenceGrace = 10 * time.Millisecond
	// commandTimeout bounds one call to a target.
	commandTimeout = 800 * time.Millisecond
)

// Promotion is one attempt to start a term. Each step is idempotent; one that
// fails leaves the group to the next attempt under a higher term.
type Promotion struct {
	Group    rosemary.Group
	Term     uint64
	Proposer string
	// Control drives one target.
	Control func(rosemary.TargetID) rosemary.TargetControl
	// Avoid tells which targets are not to be promoted if others can be.
	Avoid func(rosemary.TargetID) bool
	// Wanted is promoted before others that qualify; empty has no wish.
	Preferred rosemary.TargetID
}

// fenceAnswer is what one target made of a fence.
type fenceAnswer struct {
	status rosemary.Status
	err    error
}

// Fence fences the targets and returns those that accepted. The error is a
// trace.CompareFailed when too few did.
func (p *Promotion) Fence(ctx context.Context) ([]rosemary.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	answers := make(chan fenceAnswer, len(p.Group.Targets))
	for _, t := range p.Group.Targets {
		go func() {
			status, err := p.Control(t.ID).Fence(ctx, p.Term, p.Proposer)
			answers <- fenceAnswer{status, err}
		}()
	}
	defer cancel()
	var fenced []rosemary.Status
	var failure error
	var grace <-chan time.Time
	for range p.Group.Targets {
		select {
		case a := <-answers:
			if a.err != nil {
				failure = a.err
				continue
			}
			fenced = append(fenced, a.status)
			if len(fenced) == p.Group.FenceQuorum() {
				grace = time.After(fenceGrace)
			}
		case <-grace:
			return fenced, nil
		case <-ctx.Done():
			failure = ctx.Err()
		}
	}
	if len(fenced) < p.Group.FenceQuorum() {
		return fenced, trace.CompareFailed("only %d of %d targets needed accepted the fence of term %d: %v",
			len(fenced), p.Group.FenceQuorum(), p.Term, failure)
	}
	return fenced, nil
}

// Run fences, chooses and promotes. It returns the new primary's status.
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
