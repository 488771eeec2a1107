package roseload

import "context"

// floodShare is the share of one tenant's requests under overload: the others
// go on as before, and that tenant sends ten times its own.
const floodShare = 0.9

func init() {
	addFault(fault{name: "overload", strike: strikeFlood, heal: healFlood})
}

func strikeFlood(_ context.Context, f *faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flooding = f.run.mix.listTenant
}

func healFlood(f *faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flooding = ""
}
