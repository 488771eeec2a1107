package rosedial

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// tcpDialer opens TCP connections.
type tcpDialer struct{ net.Dialer }

// Dial opens a connection to address.
func (d tcpDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", address)
}

// pipeDialer opens connections that can't be reset.
type pipeDialer struct{}

// Dial returns one end of a pipe.
func (pipeDialer) Dial(context.Context, string) (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

// TestCloseResets guards against an ordinary close, after which the kernel delivers what a
// partition has held up.
func TestCloseResets(t *testing.T) {
	for _, test := range []struct {
		name   string
		resets bool
	}{{"resetting", true}, {"ordinary", false}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var dialer rosemary.Dialer = tcpDialer{}
			if test.resets {
				dialer = Resetting{Dialer: dialer}
			}
			conn, accepted := connect(c, dialer)
			conn.Close()
			_ = accepted.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := accepted.Read(make([]byte, 1))
			if test.resets {
				c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
			} else {
				c.Check(err, qt.Equals, io.EOF)
			}
		})
	}
}

// The kernel gives up unacknowledged data by itself, as the process may be stopped.
func TestUnackedTimeout(t *testing.T) {
	c := qt.New(t)
	conn, _ := connect(c, Resetting{Dialer: tcpDialer{}, UnackedTimeout: 1200 * time.Millisecond})
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var timeout int
	c.Assert(raw.Control(func(fd uintptr) {
		timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}), qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Check(timeout, qt.Equals, 1200)
}

func TestConnectionsThatCantBeReset(t *testing.T) {
	_, err := Resetting{Dialer: pipeDialer{}}.Dial(context.Background(), "")
	qt.Check(t, err, qt.ErrorMatches, `connections of type \*net.pipe can't be reset.*`)
}

// connect opens a connection on the loopback interface and returns both ends.
func connect(c *qt.C, dialer rosemary.Dialer) (conn, accepted net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	conn, err = dialer.Dial(context.Background(), listener.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		conn.Close()
		accepted.Close()
	})
	return conn, accepted
}
