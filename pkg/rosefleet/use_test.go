package rosefleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// stalledReplica dials a group whose primary writes a record each 10 ms. Its replica t-2
// applies nothing between stallsAt and caughtUpAt.
type stalledReplica struct {
	started, stallsAt, caughtUpAt time.Time
}

// stalledConn is a connection to a target of a stalledReplica's group.
type stalledConn struct {
	statusConn
	replicas *stalledReplica
}

// DialTarget opens a connection.
func (r *stalledReplica) DialTarget(_ context.Context, _ string, target rosemary.Target, _ string) (rosemary.Conn, error) {
	return stalledConn{statusConn{target.ID, time.Millisecond}, r}, nil
}

func (c stalledConn) applied() rosemary.Position {
	now := time.Now()
	if c.target != "t-1" && now.After(c.replicas.stallsAt) && now.Before(c.replicas.caughtUpAt) {
		now = c.replicas.stallsAt
	}
	return rosemary.Position{LogTerm: 1, Offset: 1 + uint64(now.Sub(c.replicas.started)/(10*time.Millisecond))}
}

// Status returns the status after a round trip.
func (c stalledConn) Status(deadline time.Time) (rosemary.Status, error) {
	status, err := c.statusConn.Status(deadline)
	status.Applied = c.applied()
	if c.target == "t-1" {
		status.Position = status.Applied
	}
	return status, err
}

// Exchange answers a read.
func (c stalledConn) Exchange(_ time.Time, statements ...rosemary.Statement) ([]rosemary.Answer, bool, error) {
	time.Sleep(2 * c.latency)
	answer := rosemary.Answer{Digest: "d", Position: c.applied()}
	if !answer.Position.AtLeast(statements[0].MinPosition) {
		answer.Digest, answer.Failure = "", rosemary.FailureLagging
	}
	return []rosemary.Answer{answer}, true, nil
}

// A read that a replica far behind can't serve isn't tried on it, since each try costs it a
// round trip and part of the retry budget. Once the replica has caught up, it serves again
// within a sample and its answer.
func TestReplicaFarBehindIsNotTried(t *testing.T) {
	const maxAge, noticed, usedAgainWithin = 1350 * time.Millisecond, time.Second, 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		replicas := &stalledReplica{started: now, stallsAt: now.Add(2 * time.Second), caughtUpAt: now.Add(6 * time.Second)}
		farBehindAt := replicas.stallsAt.Add(maxAge + noticed)
		g := rosefleet.NewGroup(rosefleet.Config{Name: "g", Zone: "z", Dialer: replicas, Clock: roseclock.Runtime{}})
		defer g.Close()
		var registrations []rosemary.TargetRegistration
		for _, id := range []rosemary.TargetID{"t-1", "t-2"} {
			registrations = append(registrations, rosemary.TargetRegistration{Target: rosemary.Target{ID: id, Zone: "z"}, Group: "g", LastReadyAt: now})
		}
		g.Update(registrations, rosefleet.ConnLimits{Share: 4, Max: 4})
		tried, servedAt := 0, time.Time{}
		for range 800 {
			time.Sleep(10 * time.Millisecond)
			position, known := g.MinPosition(maxAge)
			if !known {
				continue
			}
			lease, refusal := g.Acquire(t.Context(), rosefleet.Request{MinPosition: position, Deadline: time.Now().Add(time.Second), SoftDeadline: time.Now().Add(time.Second)})
			qt.Assert(t, refusal == nil, qt.IsTrue)
			answers, _, err := lease.Exchange(time.Now().Add(time.Second), rosemary.Statement{MinPosition: position})
			qt.Assert(t, err, qt.IsNil)
			lease.Release(true)
			now := time.Now()
			switch {
			case lease.Target() == "t-1":
			case now.After(farBehindAt) && answers[0].Failure == rosemary.FailureLagging:
				tried++
			case now.After(replicas.caughtUpAt) && servedAt.IsZero():
				servedAt = now
			}
		}
		qt.Check(t, tried, qt.Equals, 0)
		qt.Check(t, servedAt.IsZero(), qt.IsFalse)
		qt.Check(t, servedAt.Sub(replicas.caughtUpAt) < usedAgainWithin, qt.IsTrue, qt.Commentf("used again after %v", servedAt.Sub(replicas.caughtUpAt)))
	})
}
