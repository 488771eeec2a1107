package rosecommand

import (
	"errors"
	"net"
	"net/http"
)

// isClosed reports whether a server ended because it was told to.
func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)
}
