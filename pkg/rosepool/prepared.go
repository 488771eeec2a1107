package rosepool

import "slices"

// preparedSet knows which statements a connection has prepared, oldest first.
type preparedSet struct {
	most  int
	names map[string]struct{}
	order []string
}

func newPreparedSet(most int) preparedSet {
	return preparedSet{most: most, names: make(map[string]struct{})}
}

// HasPrepared reports whether the statement of that name is prepared.
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

// RemovePrepared records that a statement is gone.
func (c *Conn) RemovePrepared(name string) {
	if !c.HasPrepared(name) {
		return
	}
	delete(c.prepared.names, name)
	c.prepared.order = slices.DeleteFunc(c.prepared.order, func(n string) bool { return n == name })
}

// PreparedToEvict returns the oldest statement when there are too many, for
// the caller to close, or an empty string.
func (c *Conn) PreparedToEvict() string {
	if len(c.prepared.order) < c.prepared.most {
		return ""
	}
	return c.prepared.order[0]
}
