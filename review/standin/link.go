package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the network path from one process to one address. A cut is silent, as a partition
// is: what was sent on an open connection arrives once the cut has healed, unless its sender
// has reset the connection. A connection that is opened during a cut never gets through.
type link struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	isCut   bool
	changed chan struct{}
}

// newLink opens a path to an address.
func newLink(to string) *link {
	l := &link{listener: listen(), to: to, changed: make(chan struct{})}
	go l.accept()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// setCut begins or ends a cut.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = cut
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) state() (bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut, l.changed
}

// awaitHealed returns once the path works.
func (l *link) awaitHealed() {
	for {
		cut, changed := l.state()
		if !cut {
			return
		}
		<-changed
	}
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn.(*net.TCPConn))
	}
}

func (l *link) serve(from *net.TCPConn) {
	if cut, _ := l.state(); cut {
		// Its opening packet is lost.
		l.awaitHealed()
		_ = from.SetLinger(0)
		from.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		_ = from.SetLinger(0)
		from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	go l.copy(to, from)
	l.copy(from, to)
}

// copy passes on the bytes of one direction. During a cut it holds them, up to the end of the
// stream, and drops them if the sender resets the connection.
func (l *link) copy(to, from *net.TCPConn) {
	chunks := make(chan []byte, 1024)
	var reset sync.Once
	wasReset := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- buffer[:n]
			}
			if err == nil {
				continue
			}
			if !errors.Is(err, io.EOF) && errors.Is(err, syscall.ECONNRESET) {
				reset.Do(func() { close(wasReset) })
			}
			return
		}
	}()
	for c := range chunks {
		l.awaitHealed()
		select {
		case <-wasReset:
			_ = to.SetLinger(0)
			to.Close()
			return
		default:
		}
		if _, err := to.Write(c); err != nil {
			from.Close()
			return
		}
	}
	l.awaitHealed()
	_ = to.CloseWrite()
	time.AfterFunc(2*time.Second, func() { to.Close() })
}

// listen listens on a free port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("can't listen: %v", err)
	}
	return l
}
