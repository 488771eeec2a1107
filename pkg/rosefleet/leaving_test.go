package rosefleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// TestQueuedRequestRunsOnLeavingTarget guards against requests that were placed before
// their target left, and run on it once a connection is free.
func TestQueuedRequestRunsOnLeavingTarget(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		request rosemary.TargetID
		primary bool
		// busyFor is how long the connection stays in use after the target starts
		// to leave.
		busyFor time.Duration
		// want is the target that runs the request; empty if none does.
		want rosemary.TargetID
	}{
		{name: "replica", targets: 2, request: "t-2", busyFor: 100 * time.Millisecond, want: "t-1"},
		{name: "primary within its grace", targets: 3, request: "t-1", primary: true, busyFor: time.Second, want: "t-1"},
		{name: "primary", targets: 3, request: "t-1", primary: true, busyFor: 7 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := rosefleet.ConnLimits{Share: 1, Max: 1}
				g, registrations := startGroup(t, test.targets, limits)
				time.Sleep(4 * time.Second)
				request := rosefleet.Request{Primary: test.primary, MinPosition: rosemary.Position{LogTerm: 1, Offset: 1}}
				request.Deadline = time.Now().Add(time.Minute)
				request.SoftDeadline = request.Deadline
				running, _ := g.Acquire(t.Context(), request)
				qt.Assert(t, running, qt.IsNotNil)
				qt.Assert(t, running.Target(), qt.Equals, test.request)

				type result struct {
					lease   *rosefleet.ConnLease
					refusal *rosemary.Refusal
				}
				queued := make(chan result)
				go func() {
					request.Deadline = time.Now().Add(test.busyFor + time.Second)
					request.SoftDeadline = request.Deadline
					lease, refusal := g.Acquire(context.Background(), request)
					queued <- result{lease, refusal}
				}()
				synctest.Wait()
				for i := range registrations {
					registrations[i].LastReadyAt = time.Now()
					registrations[i].Leaving = registrations[i].ID == test.request
				}
				g.Update(registrations, limits)
				time.Sleep(test.busyFor)
				running.Release(true)
				got := <-queued
				if test.want == "" {
					qt.Assert(t, got.lease, qt.IsNil)
					qt.Check(t, got.refusal.Outcome, qt.Equals, rosemary.OutcomeNotRun)
					return
				}
				qt.Assert(t, got.lease, qt.IsNotNil)
				qt.Check(t, got.lease.Target(), qt.Equals, test.want)
				got.lease.Release(true)
			})
		})
	}
}
