package rosemary

import "time"

// TargetID identifies a target; it is unique within the deployment.
type TargetID string

// Zone is the name of an availability zone.
type Zone string

// ProxyID identifies a proxy.
type ProxyID string

// Target is one database server of a group.
type Target struct {
	ID      TargetID
	Address string
	Zone    Zone
}

// Group is a database and the targets that replicate it.
type Group struct {
	Database string
	Targets  []Target
	// Slots is the number of statements that a target runs concurrently.
	Slots int
	// MaxConnections is the number of connections that a target accepts.
	MaxConnections int
}

// Quorum returns the number of targets that store an acknowledged write.
func (g Group) Quorum() int {
	return len(g.Targets)/2 + 1
}

// FenceQuorum returns the number of targets to fence before a promotion. Any
// set of that size includes a copy of every acknowledged write.
func (g Group) FenceQuorum() int {
	return len(g.Targets) - g.Quorum() + 1
}

// Find returns the target with the given identifier.
func (g Group) Find(id TargetID) (Target, bool) {
	for _, t := range g.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// Class sets the consistency, timeout and scheduling weight of statements.
type Class struct {
	Name string
	// ReadOnly declares that the statements only read, so that a replica
	// may serve them within MaxAge.
	ReadOnly bool
	// MaxAge bounds the age of the data that a replica may serve; at zero
	// only the primary serves the class.
	MaxAge time.Duration
	// ReadYourWrites makes reads from a replica also see the session's own
	// writes.
	ReadYourWrites bool
	// Idempotent allows the statement to be retried after a failure.
	Idempotent bool
	// Timeout bounds the response time.
	Timeout time.Duration
	// Weight is the scheduling weight of the class within its tenant.
	Weight int
}

// Tenant is a customer whose load is isolated from that of others.
type Tenant struct {
	Name string
	// Weight is the tenant's share of the capacity under overload.
	Weight int
	// Databases lists the databases that the tenant may use.
	Databases []string
	// Verifier is the SCRAM-SHA-256 verifier of the tenant's password. If
	// it is empty, the tenant connects without a password.
	Verifier string
}

// DefaultClass returns the class of statements that don't specify a class.
func DefaultClass(timeout time.Duration) Class {
	return Class{Name: "default", Timeout: timeout, Weight: 1}
}
