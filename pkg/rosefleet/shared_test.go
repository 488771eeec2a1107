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

// statusLink answers questions for the status after a while. t-1 leads.
type statusLink struct {
	target rosemary.TargetID
	way    time.Duration
}

func statusOf(id rosemary.TargetID) rosemary.Status {
	role := rosemary.RoleReplica
	if id == "t-1" {
		role = rosemary.RolePrimary
	}
	return rosemary.Status{Target: id, Role: role, Term: 1, Position: rosemary.Position{LogTerm: 1, Offset: 9}}
}

// Exchange answers nothing.
func (statusLink) Exchange(time.Time, ...rosemary.Statement) ([]rosemary.Answer, bool, error) {
	return nil, false, context.DeadlineExceeded
}

// Status takes a way to the target and back.
func (l statusLink) Status(time.Time) (rosemary.Status, error) {
	time.Sleep(2 * l.way)
	return statusOf(l.target), nil
}

// Pause, StepDown and Resume only tell the status.
func (l statusLink) Pause(d time.Time, _ uint64) (rosemary.Status, error)    { return l.Status(d) }
func (l statusLink) StepDown(d time.Time, _ uint64) (rosemary.Status, error) { return l.Status(d) }
func (l statusLink) Resume(d time.Time) (rosemary.Status, error)             { return l.Status(d) }

// Close does nothing.
func (statusLink) Close() {}

// statusDialer opens links that take as long.
type statusDialer time.Duration

// OpenLink opens a link.
func (d statusDialer) DialTarget(_ context.Context, _ string, target rosemary.Target) (rosemary.Conn, error) {
	return statusLink{target.ID, time.Duration(d)}, nil
}

// A proxy that gets the statuses from another samples by itself before its
// permission to rely on the primary ends, whenever the other one stops.
func TestPermissionOutlivesTheSampler(t *testing.T) {
	for stops := 2 * time.Second; stops < 2300*time.Millisecond; stops += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := rosefleet.New(rosefleet.Config{
				Name: "g", Zone: "z", Dialer: statusDialer(2 * time.Millisecond), Clock: roseclock.Runtime{},
			})
			defer g.Close()
			var listings []rosemary.TargetRegistration
			var ids []rosemary.TargetID
			for i := 1; i <= 3; i++ {
				id := rosemary.TargetID(fmt.Sprint("t-", i))
				ids = append(ids, id)
				listings = append(listings, rosemary.TargetRegistration{Target: rosemary.Target{ID: id, Zone: "z"}, Group: "g", Slots: 3})
			}
			g.Update(listings, rosefleet.ConnLimits{Share: 4, Max: 4})
			started := time.Now()
			for time.Since(started) < 4*time.Second {
				time.Sleep(10 * time.Millisecond)
				now := time.Since(started)
				if now < stops && now%(250*time.Millisecond) == 0 {
					// Sampled up to an interval ago, as the other one does.
					sentAt := time.Now().Add(-300 * time.Millisecond)
					var shared []rosegroup.SharedStatus
					for _, id := range ids {
						shared = append(shared, rosegroup.SharedStatus{Status: statusOf(id), SentAt: sentAt, UnfencedSince: started})
					}
					g.ObserveShared(shared)
				}
				qt.Assert(t, now < time.Second || g.PrimaryValid(), qt.IsTrue, qt.Commentf("after %v, the sampler stopped at %v", now, stops))
			}
		})
	}
}
