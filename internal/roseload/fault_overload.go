package roseload

import "context"

// floodFactor is how many times its fair share of the replicas' capacity one
// tenant asks for under overload, while the others go on as before.
const floodFactor = 10

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

// floodRate returns the requests a second of the flooding tenant.
func (r *run) floodRate() float64 {
	d := r.config.Deployment
	replicas := float64(len(d.Databases) * (len(d.Zones) - 1))
	capacity := replicas * float64(d.Slots) / d.ScanTime.Seconds()
	weights := 0.0
	for _, t := range d.Tenants {
		weights += r.weight(t.Name)
	}
	return floodFactor * capacity * r.weight(r.mix.listTenant) / weights
}

// floodShare returns the flooding tenant's share of all requests.
func (r *run) floodShare() float64 {
	return r.floodRate() / (r.floodRate() + r.config.Rate)
}
