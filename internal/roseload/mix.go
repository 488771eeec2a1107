package roseload

import (
	"fmt"
	"strconv"
	"time"
)

// registerCount is the number of registers per database, which must not exceed
// rosestack.SeedRowCount. Swaps change the first half, writes the second.
const registerCount = 100

// mix is a customer's mix of reads by key, scans, writes, inserts and swaps:
// their shares, classes, tenants and SQL.
type mix struct {
	// readShare is for reads by key, scanShare for reads by range. The remaining
	// share is for swaps.
	readShare, scanShare, writeShare, insertShare float64
	readClass, scanClass                          string
	writeClass, insertClass                       string
	readTenant, scanTenant                        string
	writeTenant                                   string
	// readMaxAge and scanMaxAge are the MaxAge of readClass and scanClass.
	readMaxAge, scanMaxAge time.Duration
	// key returns the primary key of the row of register i.
	key   func(i int) string
	table string
	// versionField is the index of the version column.
	versionField int
	insertTable  string
	writeSQL     func(i int, value int64) string
	// insertSQL inserts a row that refers to the row of register i.
	insertSQL func(id string, i int) string
}

// scanRows is the number of rows of a read by range.
const scanRows = 10

func mixFor(deployment string) mix {
	if deployment == "guatemala" {
		return raceMix()
	}
	return licenceMix()
}

func licenceMix() mix {
	return mix{
		readShare: 0.45, scanShare: 0.25, writeShare: 0.15, insertShare: 0.07,
		readClass: "lookup", scanClass: "dispatch-status", writeClass: "renewal", insertClass: "suspension",
		readTenant: "inspectors", scanTenant: "dispatch", writeTenant: "counter",
		readMaxAge: 2 * time.Second, scanMaxAge: 10 * time.Second,
		key: strconv.Itoa, table: "licences", versionField: 4, insertTable: "audit",
		writeSQL: func(i int, value int64) string {
			return fmt.Sprintf("UPDATE licences SET expires = 2028, version = %d WHERE id = %d", value, i)
		},
		insertSQL: func(id string, i int) string {
			return fmt.Sprintf("INSERT INTO audit (id, licence, action) VALUES ('%s', %d, 'suspend')", id, i)
		},
	}
}

func raceMix() mix {
	return mix{
		readShare: 0.50, scanShare: 0.30, writeShare: 0.10, insertShare: 0.06,
		readClass: "status", scanClass: "entry-list", writeClass: "sign-up", insertClass: "payment",
		readTenant: "runners", scanTenant: "clubs", writeTenant: "runners",
		readMaxAge: 3 * time.Second, scanMaxAge: 10 * time.Second,
		key: func(i int) string { return fmt.Sprintf("seed-%03d", i) }, table: "entries", versionField: 4, insertTable: "payments",
		writeSQL: func(i int, value int64) string {
			return fmt.Sprintf("UPDATE entries SET status = 'signed', version = %d WHERE id = 'seed-%03d'", value, i)
		},
		insertSQL: func(id string, i int) string {
			return fmt.Sprintf("INSERT INTO payments (id, entry, cents) VALUES ('%s', 'seed-%03d', 15000)", id, i)
		},
	}
}

func (m mix) readSQL(i int) string {
	return fmt.Sprintf("SELECT id, version FROM %s WHERE id = %s /*class='%s'*/", m.table, m.quotedKey(i), m.readClass)
}

func (m mix) scanSQL(i int) string {
	return fmt.Sprintf("SELECT id, version FROM %s WHERE id BETWEEN %s AND %s ORDER BY id LIMIT %d /*class='%s'*/",
		m.table, m.quotedKey(i), m.quotedKey(i+scanRows-1), scanRows, m.scanClass)
}

func (m mix) lockSQL(i int) string {
	return fmt.Sprintf("SELECT id, version FROM %s WHERE id = %s FOR UPDATE", m.table, m.quotedKey(i))
}

func (m mix) quotedKey(i int) string { return "'" + m.key(i) + "'" }
