// Package rosemary holds the interfaces and plain values shared by the
// proxy's packages. It has no sockets and no goroutines, so the decisions
// built on it can be embedded and run under a paused clock.
package rosemary
