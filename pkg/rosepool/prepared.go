package rosepool

import "slices"

// preparedSet records the statements prepared on a connection, oldest first.
type preparedSet struct {
	limit int
	names map[string]struct{}
	order []string
}

func newPreparedSet(limit int) preparedSet {
	return preparedSet{limit: limit, names: make(map[string]struct{})}
}

// HasPrepared reports whether a statement with that name is prepared.
func (c *Conn) HasPrepared(name string) bool {
	_, ok := c.prepared.names[name]
	return ok
}

// AddPrepared records a statement that the target has prepared.
func (c *Conn) AddPrepared(name string) {
	if c.HasPrepared(name) {
		return
	}
	c.prepared.names[name] = struct{}{}
	c.prepared.order = append(c.prepared.order, name)
}

// RemovePrepared records that a statement is no longer prepared.
func (c *Conn) RemovePrepared(name string) {
	if !c.HasPrepared(name) {
		return
	}
	delete(c.prepared.names, name)
	c.prepared.order = slices.DeleteFunc(c.prepared.order, func(n string) bool { return n == name })
}

// PreparedToEvict returns the oldest statement if the connection's limit is
// reached, for the caller to close, or an empty string.
func (c *Conn) PreparedToEvict() string {
	if len(c.prepared.order) < c.prepared.limit {
		return ""
	}
	return c.prepared.order[0]
}
