// Package rosestack runs a whole deployment in one process: proxies, simulated
// targets and a simulated platform, on a simulated network. The demo, the load
// generator and tests use it.
package rosestack

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

// Deployment describes one customer's deployment: its size, latencies, tables,
// tenants and classes.
type Deployment struct {
	Name      string
	Databases []string
	Zones     []string
	Proxies   int
	// Slots and MaxConnections apply to each target, as in rosetarget.Config.
	Slots          int
	MaxConnections int
	// ZoneDelay is the one-way network delay between zones, CallerDelay that
	// between a client and any other host.
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	// ConnectTime and the times below are those of rosetarget.Config.
	ConnectTime time.Duration
	ReadTime    time.Duration
	WriteTime   time.Duration
	ScanTime    time.Duration
	// Schema creates the tables of each database.
	Schema []string
	// Seed inserts the initial rows.
	Seed    []string
	Tenants []rosebundle.Tenant
	Classes []rosebundle.Class
}

// CallerZone is the zone of all clients and operators, outside the zones of
// the proxies.
const CallerZone = "callers"

// FindDeployment returns the deployment of the given name. For an unknown name
// it returns a trace.NotFound error.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "costa-rica":
		return costaRica(), nil
	case "guatemala":
		return guatemala(), nil
	}
	return Deployment{}, trace.NotFound("unknown deployment %q; use costa-rica or guatemala", name)
}

func costaRica() Deployment {
	return Deployment{
		Name:           "costa-rica",
		Databases:      []string{"licencias1", "licencias2", "licencias3"},
		Zones:          []string{"cr-a", "cr-b", "cr-c"},
		Proxies:        6,
		Slots:          3,
		MaxConnections: 20,
		ZoneDelay:      1500 * time.Microsecond,
		CallerDelay:    3 * time.Millisecond,
		ConnectTime:    10 * time.Millisecond,
		ReadTime:       200 * time.Microsecond,
		WriteTime:      400 * time.Microsecond,
		ScanTime:       10 * time.Millisecond,
		Schema: []string{
			"CREATE TABLE licences (id bigint PRIMARY KEY, driver text, status text, expires bigint, version bigint)",
			"CREATE TABLE audit (id text PRIMARY KEY, licence bigint, action text)",
		},
		Seed: seedRows("licences", "id, driver, status, expires, version", func(i int) string {
			return fmt.Sprintf("(%d, 'driver-%d', 'active', 2027, 0)", i, i)
		}),
		Tenants: []rosebundle.Tenant{
			{Name: "inspectors", Weight: 3, Databases: []string{"*"}, Trust: true},
			{Name: "counter", Weight: 3, Databases: []string{"*"}, Trust: true},
			{Name: "dispatch", Weight: 1, Databases: []string{"*"}, Trust: true},
		},
		Classes: []rosebundle.Class{
			{Name: "lookup", ReadOnly: true, MaxAge: bundleDuration(2 * time.Second), Idempotent: true, Deadline: bundleDuration(2 * time.Second), Weight: 4},
			{Name: "dispatch-status", ReadOnly: true, MaxAge: bundleDuration(10 * time.Second), Idempotent: true, Deadline: bundleDuration(4 * time.Second), Weight: 1},
			{Name: "renewal", Idempotent: true, Deadline: bundleDuration(5 * time.Second), Weight: 2},
			{Name: "suspension", Deadline: bundleDuration(5 * time.Second), Weight: 4},
		},
	}
}

func guatemala() Deployment {
	return Deployment{
		Name:           "guatemala",
		Databases:      []string{"carreras1", "carreras2", "carreras3"},
		Zones:          []string{"gt-a", "gt-b", "gt-c"},
		Proxies:        6,
		Slots:          5,
		MaxConnections: 50,
		ZoneDelay:      500 * time.Microsecond,
		CallerDelay:    time.Millisecond,
		ConnectTime:    10 * time.Millisecond,
		ReadTime:       200 * time.Microsecond,
		WriteTime:      400 * time.Microsecond,
		ScanTime:       10 * time.Millisecond,
		Schema: []string{
			"CREATE TABLE races (id bigint PRIMARY KEY, name text, places bigint)",
			"CREATE TABLE entries (id text PRIMARY KEY, race bigint, runner text, status text, version bigint)",
			"CREATE TABLE payments (id text PRIMARY KEY, entry text, cents bigint)",
		},
		Seed: append(
			seedRows("races", "id, name, places", func(i int) string { return fmt.Sprintf("(%d, 'race-%d', 5000)", i, i) }),
			seedRows("entries", "id, race, runner, status, version", func(i int) string {
				return fmt.Sprintf("('seed-%03d', %d, 'runner-%d', 'paid', 0)", i, i%10, i)
			})...,
		),
		Tenants: []rosebundle.Tenant{
			{Name: "runners", Weight: 3, Databases: []string{"*"}, Trust: true},
			{Name: "clubs", Weight: 1, Databases: []string{"*"}, Trust: true},
			{Name: "organizers", Weight: 1, Databases: []string{"*"}, Trust: true},
		},
		Classes: []rosebundle.Class{
			{Name: "entry-list", ReadOnly: true, MaxAge: bundleDuration(10 * time.Second), Idempotent: true, Deadline: bundleDuration(4 * time.Second), Weight: 1},
			{Name: "status", ReadOnly: true, MaxAge: bundleDuration(3 * time.Second), Idempotent: true, Deadline: bundleDuration(2 * time.Second), Weight: 3},
			{Name: "sign-up", Idempotent: true, Deadline: bundleDuration(5 * time.Second), Weight: 3},
			{Name: "payment", Deadline: bundleDuration(5 * time.Second), Weight: 4},
		},
	}
}

func bundleDuration(d time.Duration) rosebundle.Duration { return rosebundle.Duration(d) }

// SeedRowCount is the number of initial rows of each seeded table.
const SeedRowCount = 100

func seedRows(table, columns string, values func(int) string) []string {
	statement := "INSERT INTO " + table + " (" + columns + ") VALUES "
	for i := range SeedRowCount {
		if i > 0 {
			statement += ", "
		}
		statement += values(i)
	}
	return []string{statement}
}

// delay returns the one-way network delay between two hosts.
func (d Deployment) delay(from, to rosenet.Host) time.Duration {
	switch {
	case from.Zone == CallerZone || to.Zone == CallerZone:
		return d.CallerDelay
	case from.Zone != to.Zone:
		return d.ZoneDelay
	}
	return 0
}
