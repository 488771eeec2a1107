package rosenode

import "time"

// AdmitOperation counts an operation of a team as before it is sent to a target.
func (n *Node) AdmitOperation(team string) (time.Duration, bool) { return n.caps.limiter.Admit(team) }
