package roseload

import "context"

// overloadFactor is the load of the overloading tenant as a multiple of its fair
// share of the replicas' capacity. The load of other tenants does not change.
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

// overloadRate returns the requests per second of the overloading tenant.
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

// overloadShare returns the overloading tenant's share of all requests.
func (r *run) overloadShare() float64 {
	return r.overloadRate() / (r.overloadRate() + r.config.Rate)
}
