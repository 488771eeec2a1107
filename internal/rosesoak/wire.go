package rosesoak

import (
	"net"
	"sync"
	"time"
)

// mode is what a wire does with what passes.
type mode int

const (
	// modePass passes everything on.
	modePass mode = iota
	// modeSilent holds everything back, both ways.
	modeSilent
	// modeDeaf holds back what comes from the far end.
	modeDeaf
	// modeSlow delays each chunk by slowTime.
	modeSlow
)

const (
	// slowTime is longer than a read's patience with one target.
	slowTime = 450 * time.Millisecond
	// chunkBytes is the size of one read.
	chunkBytes = 8 << 10
)

// wire is a loopback proxy before one address, with faults.
type wire struct {
	listener net.Listener
	target   string
	tasks    sync.WaitGroup

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func newWire(target string) (*wire, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	w := &wire{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	w.tasks.Go(w.accept)
	return w, nil
}

func (w *wire) address() string { return w.listener.Addr().String() }

func (w *wire) accept() {
	for {
		near, err := w.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", w.target)
		if err != nil {
			// Refused there, refused here.
			near.Close()
			continue
		}
		w.track(near, far)
		w.tasks.Go(func() { w.pump(far, near, false) })
		w.tasks.Go(func() { w.pump(near, far, true) })
	}
}

func (w *wire) track(conns ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range conns {
		w.conns[c] = struct{}{}
	}
}

// pump copies one way until either end closes.
func (w *wire) pump(to, from net.Conn, fromFar bool) {
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, c := range []net.Conn{to, from} {
			c.Close()
			delete(w.conns, c)
		}
	}()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		w.hold(fromFar)
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

// hold waits while the wire's mode holds back that way.
func (w *wire) hold(fromFar bool) {
	for {
		w.mu.Lock()
		m, changed := w.mode, w.changed
		w.mu.Unlock()
		switch {
		case m == modeSlow:
			time.Sleep(slowTime)
			return
		case m == modeSilent, m == modeDeaf && fromFar:
			<-changed
		default:
			return
		}
	}
}

func (w *wire) set(m mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
	close(w.changed)
	w.changed = make(chan struct{})
}

// reset closes every connection.
func (w *wire) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *wire) close() {
	w.listener.Close()
	w.set(modePass)
	w.reset()
	w.tasks.Wait()
}
