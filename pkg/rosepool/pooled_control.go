package rosepool

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// PooledControl calls a target's control functions over connections of the
// target's pool. It holds none between calls, which suits the few calls of
// failovers and status checks. It implements rosemary.TargetControl.
type PooledControl struct {
	pool *Pool
}

var _ rosemary.TargetControl = (*PooledControl)(nil)

// NewPooledControl returns a control that uses connections of pool.
func NewPooledControl(pool *Pool) *PooledControl { return &PooledControl{pool: pool} }

// Watch returns the target's status as soon as it differs from known, at the
// latest after wait.
func (c *PooledControl) Watch(ctx context.Context, known rosemary.Status, wait time.Duration) (rosemary.Status, error) {
	return c.withConn(ctx, func(control *Control) (rosemary.Status, error) { return control.Watch(ctx, known, wait) })
}

// Fence makes the target accept term and reject writes of older terms.
func (c *PooledControl) Fence(ctx context.Context, term uint64, proposer string) (rosemary.Status, error) {
	return c.withConn(ctx, func(control *Control) (rosemary.Status, error) { return control.Fence(ctx, term, proposer) })
}

// Promote makes a target that is fenced at term the primary of term.
func (c *PooledControl) Promote(ctx context.Context, term uint64) (rosemary.Status, error) {
	return c.withConn(ctx, func(control *Control) (rosemary.Status, error) { return control.Promote(ctx, term) })
}

// Follow makes the target replicate from primary under term.
func (c *PooledControl) Follow(ctx context.Context, primary rosemary.TargetID, term uint64) (rosemary.Status, error) {
	return c.withConn(ctx, func(control *Control) (rosemary.Status, error) { return control.Follow(ctx, primary, term) })
}

func (c *PooledControl) withConn(ctx context.Context, operation func(*Control) (rosemary.Status, error)) (rosemary.Status, error) {
	conn, err := c.pool.acquire(ctx, controlReserve)
	if err != nil {
		return rosemary.Status{}, err
	}
	defer c.pool.Release(conn)
	control := &Control{config: c.pool.config, conn: conn}
	status, err := operation(control)
	return status, err
}
