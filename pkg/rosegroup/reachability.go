package rosegroup

import (
	"errors"
	"syscall"
)

// isConnectionRefused reports whether the VM answered that no process listens on the port.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
