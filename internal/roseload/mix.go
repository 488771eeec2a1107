package roseload

import (
	"fmt"
	"strconv"
	"time"
)

// registers is the number of rows that operations use. The first half is
// changed by swaps, the second by writes.
const registers = 100

// mix is a customer's share of each kind of request, and its SQL.
type mix struct {
	// shares of reads by key and by range, writes, requests that run once;
	// swaps are the rest.
	read, list, write, once float64
	readClass, listClass    string
	writeClass, onceClass   string
	readTenant, listTenant  string
	writeTenant             string
	readAge, listAge        time.Duration
	key                     func(i int) string
	table                   string
	versionField            int
	onceTable               string
	writeSQL                func(i int, value int64) string
	onceSQL                 func(id string, i int) string
}

// listRows is the number of rows of a read by range.
const listRows = 10

func mixFor(deployment string) mix {
	if deployment == "guatemala" {
		return raceMix()
	}
	return licenceMix()
}

func licenceMix() mix {
	return mix{
		read: 0.45, list: 0.25, write: 0.15, once: 0.07,
		readClass: "lookup", listClass: "dispatch-status", writeClass: "renewal", onceClass: "suspension",
		readTenant: "inspectors", listTenant: "dispatch", writeTenant: "counter",
		readAge: 2 * time.Second, listAge: 10 * time.Second,
		key: strconv.Itoa, table: "licences", versionField: 4, onceTable: "audit",
		writeSQL: func(i int, value int64) string {
			return fmt.Sprintf("UPDATE licences SET expires = 2028, version = %d WHERE id = %d", value, i)
		},
		onceSQL: func(id string, i int) string {
			return fmt.Sprintf("INSERT INTO audit (id, licence, action) VALUES ('%s', %d, 'suspend')", id, i)
		},
	}
}

func raceMix() mix {
	return mix{
		read: 0.50, list: 0.30, write: 0.10, once: 0.06,
		readClass: "status", listClass: "entry-list", writeClass: "sign-up", onceClass: "payment",
		readTenant: "runners", listTenant: "clubs", writeTenant: "runners",
		readAge: 3 * time.Second, listAge: 10 * time.Second,
		key: func(i int) string { return fmt.Sprintf("seed-%03d", i) }, table: "entries", versionField: 4, onceTable: "payments",
		writeSQL: func(i int, value int64) string {
			return fmt.Sprintf("UPDATE entries SET status = 'signed', version = %d WHERE id = 'seed-%03d'", value, i)
		},
		onceSQL: func(id string, i int) string {
			return fmt.Sprintf("INSERT INTO payments (id, entry, cents) VALUES ('%s', 'seed-%03d', 15000)", id, i)
		},
	}
}

func (m mix) readSQL(i int) string {
	return fmt.Sprintf("SELECT id, version FROM %s WHERE id = %s /*class='%s'*/", m.table, m.quoted(i), m.readClass)
}

func (m mix) listSQL(i int) string {
	return fmt.Sprintf("SELECT id, version FROM %s WHERE id BETWEEN %s AND %s ORDER BY id LIMIT %d /*class='%s'*/",
		m.table, m.quoted(i), m.quoted(i+listRows-1), listRows, m.listClass)
}

func (m mix) lockSQL(i int) string {
	return fmt.Sprintf("SELECT id, version FROM %s WHERE id = %s FOR UPDATE", m.table, m.quoted(i))
}

func (m mix) quoted(i int) string { return "'" + m.key(i) + "'" }
