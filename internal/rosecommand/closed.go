package rosecommand

import (
	"errors"
	"net"
	"net/http"
)

// isServerClosed reports whether a server ended because it or its listener was
// closed.
func isServerClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)
}
