// Package rosedial dials connections on which nothing is delivered after they are given up.
package rosedial

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Resetting opens connections that are reset when they are closed, also by the end of the
// process. A partition may hold up data that was sent; after an ordinary close the kernel
// goes on retransmitting it, and the other end acts on it whenever the path is back.
type Resetting struct {
	Dialer rosemary.Dialer
	// UnackedTimeout is how long sent data may stay unacknowledged before the kernel drops
	// the connection, which it does even while the process is stopped. Zero means the
	// system's default.
	UnackedTimeout time.Duration
}

var _ rosemary.Dialer = Resetting{}

// Dial opens a connection to address. It fails with trace.NotImplemented if the connections
// of the underlying dialer can't be reset.
func (d Resetting) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := d.prepare(conn); err != nil {
		conn.Close()
		return nil, trace.Wrap(err)
	}
	return conn, nil
}

func (d Resetting) prepare(conn net.Conn) error {
	resettable, ok := conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return trace.NotImplemented("connections of type %T can't be reset; use a dialer whose connections have SetLinger", conn)
	}
	if err := resettable.SetLinger(0); err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && d.UnackedTimeout > 0 {
		return setUnackedTimeout(tcp, d.UnackedTimeout)
	}
	return nil
}

func setUnackedTimeout(conn *net.TCPConn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, max(int(timeout.Milliseconds()), 1))
	})
	if err != nil {
		return err
	}
	return optionErr
}
