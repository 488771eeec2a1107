package rosesoak

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/gravitational/trace"
)

const (
	// minPort and maxPort lie below the system's range for outgoing connections,
	// which could otherwise take the port of a process that is down.
	minPort = 15000
	maxPort = 30000
	// maxPortAttempts bounds the random ports that take tries.
	maxPortAttempts = 100
)

// addressPool hands out the addresses of one soak. It is used by one goroutine.
type addressPool struct {
	// host is a loopback address of this soak's own, so that none takes a port of another's
	// process that is down.
	host string
	// taken are the addresses handed out. A process may start to listen long after that.
	taken map[string]bool
}

// newAddressPool returns a pool on a random loopback address.
func newAddressPool() *addressPool {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return &addressPool{host, make(map[string]bool)}
}

// take returns an address that nothing listens on and that wasn't handed out before.
func (p *addressPool) take() (string, error) {
	var lastErr error = trace.LimitExceeded("no free port on %s", p.host)
	for range maxPortAttempts {
		address := fmt.Sprintf("%s:%d", p.host, minPort+rand.IntN(maxPort-minPort))
		if p.taken[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		p.taken[address] = true
		return address, trace.ConvertSystemError(listener.Close())
	}
	return "", trace.ConvertSystemError(lastErr)
}
