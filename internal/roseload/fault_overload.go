package roseload

import "context"

// overloadFactor is the load that an overload adds, as a multiple of the
// overloading tenant's fair share of the replicas' capacity. The load of other
// tenants does not change.
const overloadFactor = 10

func init() {
	registerFault(fault{name: "overload", inject: injectOverload, heal: healOverload})
}

func injectOverload(_ context.Context, f *injector) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overloadTenant = f.run.mix.scanTenant
}

func healOverload(f *injector) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overloadTenant = ""
}

// overloadRate returns the number of requests per second that an overload adds.
func (r *run) overloadRate() float64 {
	d := r.config.Deployment
	replicas := float64(len(d.Databases) * (len(d.Zones) - 1))
	capacity := replicas * float64(d.Slots) / d.ScanTime.Seconds()
	weights := 0.0
	for _, t := range d.Tenants {
		weights += r.weight(t.Name)
	}
	return overloadFactor * capacity * r.weight(r.mix.scanTenant) / weights
}

// overloadShare returns the share of all requests that an overload adds.
func (r *run) overloadShare() float64 {
	return r.overloadRate() / (r.overloadRate() + r.config.Rate)
}
