package rosegroup

import (
	"errors"
	"syscall"
)

// isRefused reports whether the VM answered that no process listens on the port.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
