// Package rosebundle implements bundles. A bundle is a version of the
// configuration that all proxies share, signed by operators: the databases,
// targets, classes and tenants, and the operators who may change them. It is in
// force at a proxy once the proxy has verified and applied it.
package rosebundle

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Content is the configuration in a bundle. It is read from TOML files and
// immutable once in force.
type Content struct {
	Databases []Database
	Classes   []Class
	Tenants   []Tenant
	Operators []Operator
	// Signatures is the number of operators that must sign a change.
	Signatures int
}

// Database configures a database and its group, the targets that replicate it.
type Database struct {
	Name string
	// Slots is the number of statements that a target runs at once.
	Slots int
	// Connections is the number of connections that a target accepts from all
	// proxies together.
	Connections int
	Targets     []Target
}

// Target is one server of a database.
type Target struct {
	ID      string
	Address string
	Zone    string
	// Leaving excludes the target from new work.
	Leaving bool
}

// Class configures a class of statements; rosemary.Class explains the fields.
// Deadline is the Timeout there.
type Class struct {
	Name       string
	ReadOnly   bool
	MaxAge     Duration
	Idempotent bool
	Deadline   Duration
	Weight     int
}

// Tenant configures a customer whose work is isolated from that of others.
type Tenant struct {
	Name   string
	Weight int
	// Databases lists the databases that the tenant may use; "*" means all.
	Databases []string
	// Verifier is the SCRAM-SHA-256 verifier of the tenant's password.
	Verifier string
	// Trust allows connections without a password. Either Verifier or Trust
	// must be set, not both.
	Trust bool
}

// Operator is allowed to sign changes.
type Operator struct {
	Name string
	// PublicKey is an Ed25519 key in base64.
	PublicKey string
}

// Duration is a duration written as "250ms" or "5s".
type Duration time.Duration

// UnmarshalText reads the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	*d = Duration(duration)
	return err
}

// MarshalText writes the format that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Group returns the group of a database.
func (d Database) Group() rosemary.Group {
	group := rosemary.Group{Database: d.Name, Slots: d.Slots, MaxConnections: d.Connections}
	for _, t := range d.Targets {
		group.Targets = append(group.Targets, rosemary.Target{
			ID:      rosemary.TargetID(t.ID),
			Address: t.Address,
			Zone:    rosemary.Zone(t.Zone),
		})
	}
	return group
}

// Class returns the class of that name.
func (c *Content) Class(name string) (rosemary.Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return rosemary.Class{
				Name:       name,
				ReadOnly:   class.ReadOnly,
				MaxAge:     time.Duration(class.MaxAge),
				Idempotent: class.Idempotent,
				Timeout:    time.Duration(class.Deadline),
				Weight:     class.Weight,
			}, true
		}
	}
	return rosemary.Class{}, false
}

// Tenant returns the tenant of that name.
func (c *Content) Tenant(name string) (rosemary.Tenant, bool) {
	for _, t := range c.Tenants {
		if t.Name == name {
			return rosemary.Tenant{Name: name, Weight: t.Weight, Databases: t.Databases, Verifier: t.Verifier}, true
		}
	}
	return rosemary.Tenant{}, false
}

// Leaving reports whether a target is marked as leaving.
func (c *Content) Leaving(id rosemary.TargetID) bool {
	for _, d := range c.Databases {
		for _, t := range d.Targets {
			if t.ID == string(id) {
				return t.Leaving
			}
		}
	}
	return false
}
