package rosesupervisor

// unreachableShare is the share of the proxies that must be unable to reach a primary
// for it to be replaced although others reach it. At a smaller share the interruption
// by a replacement costs clients more than the partition.
const unreachableShare = 1.0 / 3

// Poll is what the holder of a failover lock knows when it decides whether to replace a
// primary that it can't reach.
type Poll struct {
	// Members is the number of proxies that use the group's targets, this one included.
	Members int
	// Replied is the number of other proxies that replied. ReachedBy of them reach the
	// primary and NotReachedBy don't; the rest don't know it.
	Replied, ReachedBy, NotReachedBy int
	// PrimaryKnown is set if there is a primary to be replaced.
	PrimaryKnown bool
	// ReplicasAnswer is set if all targets that may prove the primary's lease to some proxy answer
	// this one.
	ReplicasAnswer bool
}

// WithReply adds a reply of another proxy: whether it reaches the primary, and whether
// it knows.
func (p Poll) WithReply(reaches, known bool) Poll {
	p.Replied++
	switch {
	case reaches:
		p.ReachedBy++
	case known:
		p.NotReachedBy++
	}
	return p
}

// Decided reports whether a replacement is agreed whatever the proxies that haven't
// replied yet say.
func (p Poll) Decided() bool {
	worst := p
	worst.ReachedBy += max(p.Members-1-p.Replied, 0)
	return 2*(p.Replied+1) >= p.Members && worst.Agreed()
}

// Agreed reports whether a replacement is worthwhile. Without replies from half of all
// proxies this one may be on the smaller side of a partition, whose larger side still
// uses the primary. But if all replicas are on this side, the other one can't use it for
// long.
func (p Poll) Agreed() bool {
	if 2*(p.Replied+1) < p.Members {
		return p.ReplicasAnswer && p.ReachedBy == 0
	}
	if !p.PrimaryKnown {
		return true
	}
	return p.NotReachedBy > 0 && float64(p.NotReachedBy+1) >= unreachableShare*float64(p.ReachedBy+p.NotReachedBy+1)
}
