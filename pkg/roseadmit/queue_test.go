package roseadmit_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// runCallers starts callers of a flow. Until ctx ends, they request tickets, hold
// each for 10 ms and count it in served.
func runCallers(ctx context.Context, tasks *sync.WaitGroup, queue *roseadmit.Queue, flow roseadmit.Flow, callers int, served *atomic.Int64) {
	for range callers {
		tasks.Go(func() {
			for ctx.Err() == nil {
				acquireCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
				ticket, err := queue.Acquire(acquireCtx, flow)
				cancel()
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				time.Sleep(10 * time.Millisecond)
				ticket.Release(true)
				served.Add(1)
			}
		})
	}
}

func TestTicketsFollowWeights(t *testing.T) {
	for _, test := range []struct {
		name      string
		fifo      bool
		low, high float64
	}{
		{"fair", false, 2.5, 3.5},
		{"first in first out", true, 0.05, 0.2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				queue := roseadmit.NewQueue(roseadmit.Config{MaxInFlight: 1, FirstInFirstOut: test.fifo})
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				var heavy, light atomic.Int64
				var tasks sync.WaitGroup
				runCallers(ctx, &tasks, queue, roseadmit.Flow{Tenant: "heavy", Weight: 3}, 10, &heavy)
				runCallers(ctx, &tasks, queue, roseadmit.Flow{Tenant: "light", Weight: 1}, 100, &light)
				tasks.Wait()
				ratio := float64(heavy.Load()) / float64(light.Load())
				c.Check(ratio > test.low && ratio < test.high, qt.IsTrue, qt.Commentf("%d tickets of heavy, %d of light", heavy.Load(), light.Load()))
			})
		})
	}
}

func TestAcquireRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		queue := roseadmit.NewQueue(roseadmit.Config{MaxInFlight: 1, MaxQueued: 8, MaxQueuedPerTenant: 2})
		slow, err := queue.Acquire(context.Background(), roseadmit.Flow{Tenant: "a"})
		c.Assert(err, qt.IsNil)
		// The latency of the slow request raises the expected wait above 500 ms.
		time.Sleep(time.Second)
		slow.Release(true)
		held, err := queue.Acquire(context.Background(), roseadmit.Flow{Tenant: "a"})
		c.Assert(err, qt.IsNil)

		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, err = queue.Acquire(ctx, roseadmit.Flow{Tenant: "a"})
		var refused *rosemary.Refusal
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Check(refused.Kind, qt.Equals, rosemary.KindOverloaded)
		c.Check(refused.Outcome, qt.Equals, rosemary.OutcomeNotRun)
		c.Check(refused.RetryAfter > 500*time.Millisecond, qt.IsTrue)
		c.Check(time.Since(started), qt.Equals, time.Duration(0))

		for range 2 {
			go func() { _, _ = queue.Acquire(context.Background(), roseadmit.Flow{Tenant: "a"}) }()
		}
		synctest.Wait()
		_, err = queue.Acquire(context.Background(), roseadmit.Flow{Tenant: "a"})
		c.Check(err, qt.ErrorMatches, ".*queue of the target is full.*")
		held.Release(false)
		synctest.Wait()
		c.Check(queue.Load().InFlight, qt.Equals, 1)
		queue.SetMaxInFlight(2)
		synctest.Wait()
		c.Check(queue.Load().Queued, qt.Equals, 0)
	})
}

func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := roseadmit.NewRetryBudget()
		spent := 0
		for range 1000 {
			if budget.TryWithdraw() {
				spent++
			}
		}
		qt.New(t).Check(spent, qt.Equals, 10)
		time.Sleep(time.Second)
		qt.New(t).Check(budget.TryWithdraw(), qt.IsTrue)
	})
}
