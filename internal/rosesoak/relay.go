package rosesoak

import (
	"net"
	"sync"
	"time"
)

// relayMode is how a tcpRelay treats the bytes that it forwards.
type relayMode int

const (
	// modeForward forwards both ways without delay.
	modeForward relayMode = iota
	// modeStall holds back both directions.
	modeStall
	// modeStallReplies holds back what upstream sends.
	modeStallReplies
	// modeDelay delays each chunk by chunkDelay.
	modeDelay
)

const (
	// chunkDelay exceeds the 400 ms (rosecaller.firstReadTimeout) that a proxy
	// waits for the first target of a read before it tries another.
	chunkDelay = 450 * time.Millisecond
	// chunkBytes is the size of the read buffer.
	chunkBytes = 8 << 10
)

// tcpRelay forwards TCP connections from a loopback address to another address
// and injects faults.
type tcpRelay struct {
	listener        net.Listener
	upstreamAddress string
	tasks           sync.WaitGroup

	mu   sync.Mutex
	mode relayMode
	// changed is closed and replaced when mode changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func newTCPRelay(upstreamAddress string) (*tcpRelay, error) {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	r := &tcpRelay{listener: listener, upstreamAddress: upstreamAddress, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	r.tasks.Go(r.accept)
	return r, nil
}

func (r *tcpRelay) address() string { return r.listener.Addr().String() }

func (r *tcpRelay) accept() {
	for {
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.upstreamAddress)
		if err != nil {
			// The client must see that upstream is unreachable.
			downstream.Close()
			continue
		}
		r.track(downstream, upstream)
		r.tasks.Go(func() { r.forward(upstream, downstream, false) })
		r.tasks.Go(func() { r.forward(downstream, upstream, true) })
	}
}

func (r *tcpRelay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

// forward copies one way until either end closes.
func (r *tcpRelay) forward(to, from net.Conn, fromUpstream bool) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range []net.Conn{to, from} {
			c.Close()
			delete(r.conns, c)
		}
	}()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		r.applyMode(fromUpstream)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyMode blocks for chunkDelay, or while the mode holds back the direction.
func (r *tcpRelay) applyMode(fromUpstream bool) {
	for {
		r.mu.Lock()
		m, changed := r.mode, r.changed
		r.mu.Unlock()
		switch {
		case m == modeDelay:
			time.Sleep(chunkDelay)
			return
		case m == modeStall, m == modeStallReplies && fromUpstream:
			<-changed
		default:
			return
		}
	}
}

func (r *tcpRelay) setMode(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
}

// closeConns closes every connection and keeps the listener open.
func (r *tcpRelay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *tcpRelay) close() {
	r.listener.Close()
	r.setMode(modeForward)
	r.closeConns()
	r.tasks.Wait()
}
