package rosemary

import "time"

// TargetID names a target within the whole deployment.
type TargetID string

// Zone names an availability zone.
type Zone string

// ProxyID names a proxy.
type ProxyID string

// Target is one database server of a group.
type Target struct {
	ID      TargetID
	Address string
	Zone    Zone
}

// Group is a database and the targets that hold copies of it.
type Group struct {
	Database string
	Targets  []Target
	// Slots is the number of statements that a target runs at once.
	Slots int
	// Connections is the number of connections that a target accepts.
	MaxConnections int
}

// Quorum returns the number of targets that an acknowledged write is on.
func (g Group) Quorum() int {
	return len(g.Targets)/2 + 1
}

// FenceQuorum returns the number of targets to fence before a promotion, so
// that they include a holder of every acknowledged write.
func (g Group) FenceQuorum() int {
	return len(g.Targets) - g.Quorum() + 1
}

// Find returns the target of that identifier.
func (g Group) Find(id TargetID) (Target, bool) {
	for _, t := range g.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// Class is a declared kind of statement.
type Class struct {
	Name string
	// ReadOnly allows a replica to serve the statement.
	ReadOnly bool
	// MaxAge bounds the age of the data that a replica may serve.
	MaxAge time.Duration
	// OwnWrites makes reads within MaxAge see the session's own writes too.
	ReadYourWrites bool
	// Idempotent allows the statement to be sent again after a failure.
	Idempotent bool
	// Deadline bounds the time to an answer.
	Deadline time.Duration
	// Weight is the share of a class within its tenant.
	Weight int
}

// Tenant is a customer whose work is kept apart from that of others.
type Tenant struct {
	Name string
	// Weight is the tenant's share of scarce capacity.
	Weight int
	// Databases lists those that the tenant may use.
	Databases []string
	// Verifier is the SCRAM-SHA-256 verifier of the tenant's password.
	// Empty means that the tenant is trusted.
	Verifier string
}

// DefaultClass is the class of statements that name none.
func DefaultClass(deadline time.Duration) Class {
	return Class{Name: "default", Deadline: deadline, Weight: 1}
}
