package roseload

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

// lagTime is how far a lagging replica falls behind.
const lagTime = 4 * time.Second

func init() {
	addFault(fault{name: "replica-lag", strike: strikeLag, heal: healLag})
	addFault(fault{name: "silent-connections", strike: strikeSilence})
}

// strikeLag holds one replica of every database back.
func strikeLag(_ context.Context, f *faults) {
	for _, cluster := range f.run.stack.Clusters {
		for _, t := range cluster.Targets() {
			if status := t.Status(); !status.LeadsTerm() {
				t.SetLag(lagTime)
				break
			}
		}
	}
}

func healLag(f *faults) {
	for _, cluster := range f.run.stack.Clusters {
		for _, t := range cluster.Targets() {
			t.SetLag(0)
		}
	}
}

// strikeSilence stalls every open connection of one target for good, three
// times.
func strikeSilence(ctx context.Context, f *faults) {
	targets := f.run.stack.Clusters[f.database()].Targets()
	for range 3 {
		i := f.pick(len(targets))
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
