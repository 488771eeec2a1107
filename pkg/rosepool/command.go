package rosepool

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Commander drives a target over connections of its pool, for the few calls
// of a failover. It implements rosemary.TargetControl.
type Commander struct {
	pool *Pool
}

var _ rosemary.TargetControl = (*Commander)(nil)

// NewCommander returns a commander over pool.
func NewCommander(pool *Pool) *Commander { return &Commander{pool: pool} }

// Watch returns the target's status once it differs from known, or after wait.
func (c *Commander) Watch(ctx context.Context, known rosemary.Status, wait time.Duration) (rosemary.Status, error) {
	return c.with(ctx, func(control *Control) (rosemary.Status, error) { return control.Watch(ctx, known, wait) })
}

// Fence makes the target accept term and refuse writes of older terms.
func (c *Commander) Fence(ctx context.Context, term uint64, proposer string) (rosemary.Status, error) {
	return c.with(ctx, func(control *Control) (rosemary.Status, error) { return control.Fence(ctx, term, proposer) })
}

// Promote makes a target fenced at term its primary.
func (c *Commander) Promote(ctx context.Context, term uint64) (rosemary.Status, error) {
	return c.with(ctx, func(control *Control) (rosemary.Status, error) { return control.Promote(ctx, term) })
}

// Follow makes the target replicate from primary under term.
func (c *Commander) Follow(ctx context.Context, primary rosemary.TargetID, term uint64) (rosemary.Status, error) {
	return c.with(ctx, func(control *Control) (rosemary.Status, error) { return control.Follow(ctx, primary, term) })
}

func (c *Commander) with(ctx context.Context, call func(*Control) (rosemary.Status, error)) (rosemary.Status, error) {
	conn, err := c.pool.acquire(ctx, reserved)
	if err != nil {
		return rosemary.Status{}, err
	}
	defer c.pool.Release(conn)
	control := &Control{config: c.pool.config, conn: conn}
	status, err := call(control)
	return status, err
}
