package rosenode

import "time"

// AdmitOperation counts an operation of a team as before it is sent to a target.
func (n *Node) AdmitOperation(team string) (time.Duration, bool) {
	_, retryAfter, ok := n.caps.limiter.Admit(team)
	return retryAfter, ok
}

// HostsCaps reports whether this proxy hosts usage caps.
func (n *Node) HostsCaps() bool {
	n.caps.mu.Lock()
	defer n.caps.mu.Unlock()
	return n.caps.pool != nil
}
