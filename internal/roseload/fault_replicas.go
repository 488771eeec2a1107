package roseload

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

// replicaLag is the replication delay of a lagging replica.
const replicaLag = 4 * time.Second

func init() {
	registerFault(fault{name: "replica-lag", inject: injectReplicaLag, heal: healReplicaLag})
	registerFault(fault{name: "silent-connections", inject: injectStalledConnections})
}

// injectReplicaLag delays replication to one replica of every database.
func injectReplicaLag(_ context.Context, f *injector) {
	for _, group := range f.run.stack.Groups {
		for _, t := range group.Targets() {
			if status := t.Status(); !status.LeadsTerm() {
				t.SetLag(replicaLag)
				break
			}
		}
	}
}

func healReplicaLag(f *injector) {
	for _, group := range f.run.stack.Groups {
		for _, t := range group.Targets() {
			t.SetLag(0)
		}
	}
}

// injectStalledConnections permanently stalls all open connections of a random
// target. It does so three times, a second apart.
func injectStalledConnections(ctx context.Context, f *injector) {
	targets := f.run.stack.Groups[f.database()].Targets()
	for range 3 {
		i := f.randomInt(len(targets))
		for id := range targets {
			if i == 0 {
				f.run.stack.Network.StallStreams(string(id))
			}
			i--
		}
		if !roseclock.Sleep(ctx, time.Second) {
			return
		}
	}
}
