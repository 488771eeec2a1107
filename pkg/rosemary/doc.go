// Package rosemary defines the interfaces and value types shared by the
// proxy's packages. It opens no sockets and starts no goroutines, so that the
// logic built on it can be embedded and tested under a fake clock.
package rosemary
