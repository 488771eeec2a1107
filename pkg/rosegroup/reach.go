package rosegroup

import (
	"errors"
	"syscall"
)

// isRefused reports whether err is the answer of a VM where nothing listens.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
