package rosefleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// statusConn answers status requests after a round trip. t-1 is the primary.
type statusConn struct {
	target  rosemary.TargetID
	latency time.Duration
}

func statusOf(id rosemary.TargetID) rosemary.Status {
	role := rosemary.RoleReplica
	if id == "t-1" {
		role = rosemary.RolePrimary
	}
	return rosemary.Status{Target: id, Role: role, Term: 1, Position: rosemary.Position{LogTerm: 1, Offset: 9}}
}

// Exchange fails.
func (statusConn) Exchange(time.Time, ...rosemary.Statement) ([]rosemary.Answer, bool, error) {
	return nil, false, context.DeadlineExceeded
}

// Status returns the status after a round trip.
func (c statusConn) Status(time.Time) (rosemary.Status, error) {
	time.Sleep(2 * c.latency)
	return statusOf(c.target), nil
}

// Pause, StepDown and Resume only return the status.
func (c statusConn) Pause(d time.Time, _ uint64) (rosemary.Status, error)    { return c.Status(d) }
func (c statusConn) StepDown(d time.Time, _ uint64) (rosemary.Status, error) { return c.Status(d) }
func (c statusConn) Resume(d time.Time) (rosemary.Status, error)             { return c.Status(d) }

// Close does nothing.
func (statusConn) Close() {}

// statusDialer opens connections with that one-way latency.
type statusDialer time.Duration

// DialTarget opens a statusConn.
func (d statusDialer) DialTarget(_ context.Context, _ string, target rosemary.Target, _ string) (rosemary.Conn, error) {
	return statusConn{target.ID, time.Duration(d)}, nil
}

// startGroup returns a group with that many targets, of which t-1 is the primary, and
// their registrations.
func startGroup(t *testing.T, targets int, limits rosefleet.ConnLimits) (*rosefleet.Group, []rosemary.TargetRegistration) {
	g := rosefleet.NewGroup(rosefleet.Config{
		Name: "g", Zone: "z", Dialer: statusDialer(2 * time.Millisecond), Clock: roseclock.Runtime{},
	})
	t.Cleanup(g.Close)
	var registrations []rosemary.TargetRegistration
	for i := 1; i <= targets; i++ {
		target := rosemary.Target{ID: rosemary.TargetID(fmt.Sprint("t-", i)), Zone: "z"}
		registrations = append(registrations, rosemary.TargetRegistration{Target: target, Group: "g", Slots: 3, LastReadyAt: time.Now()})
	}
	g.Update(registrations, limits)
	return g, registrations
}

// A proxy that gets statuses from another one must sample by itself before its
// primary lease ends, whenever the other one stops sharing.
func TestPrimaryStaysValidWhenSharedStatusesStop(t *testing.T) {
	for stopsAt := 2 * time.Second; stopsAt < 2300*time.Millisecond; stopsAt += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g, registrations := startGroup(t, 3, rosefleet.ConnLimits{Share: 4, Max: 4})
			started := time.Now()
			for time.Since(started) < 4*time.Second {
				time.Sleep(10 * time.Millisecond)
				elapsed := time.Since(started)
				if elapsed < stopsAt && elapsed%(250*time.Millisecond) == 0 {
					// The other proxy's sample may be one sample interval old.
					sentAt := time.Now().Add(-300 * time.Millisecond)
					var shared []rosegroup.SharedStatus
					for _, r := range registrations {
						shared = append(shared, rosegroup.SharedStatus{Status: statusOf(r.ID), SentAt: sentAt, UnfencedSince: started})
					}
					g.ObserveShared(shared)
				}
				qt.Assert(t, elapsed < time.Second || g.PrimaryValid(), qt.IsTrue, qt.Commentf("not valid after %v; sharing stopped at %v", elapsed, stopsAt))
			}
		})
	}
}
