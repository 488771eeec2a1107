package rosenet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

// queueChunks bounds the chunks that a stream holds in flight.
const queueChunks = 256

// chunkBytes is the size of one read.
const chunkBytes = 16 << 10

// link joins the two ends of a delayed stream.
type link struct {
	network  *Network
	from, to Host
	ctx      context.Context
	cancel   context.CancelFunc
	silent   chan struct{}
	once     sync.Once
}

func (l *link) silence() {
	l.once.Do(func() { close(l.silent) })
}

type chunk struct {
	due  time.Time
	data []byte
}

// join returns the caller's end of a stream whose other end is inner.
func (n *Network) join(from, to Host, inner net.Conn) net.Conn {
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{network: n, from: from, to: to, ctx: ctx, cancel: cancel, silent: make(chan struct{})}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	delay := n.config.Delay(from, to)
	stop := context.AfterFunc(ctx, func() {
		far.Close()
		inner.Close()
	})
	n.tasks.Go(func() {
		var pumps sync.WaitGroup
		pumps.Go(func() { l.pump(far, inner, delay) })
		pumps.Go(func() { l.pump(inner, far, delay) })
		pumps.Wait()
		stop()
		cancel()
		n.mu.Lock()
		delete(n.links, l)
		n.mu.Unlock()
	})
	return near
}

// pump carries bytes from source to sink until either closes.
func (l *link) pump(source, sink net.Conn, delay time.Duration) {
	queue := make(chan chunk, queueChunks)
	stop := make(chan struct{})
	go func() {
		defer close(queue)
		l.fill(source, queue, delay, stop)
	}()
	l.drain(sink, queue)
	close(stop)
	sink.Close()
	source.Close()
	for range queue {
		continue
	}
}

func (l *link) fill(source net.Conn, queue chan<- chunk, delay time.Duration, stop <-chan struct{}) {
	buffer := make([]byte, chunkBytes)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			data := append([]byte(nil), buffer[:size]...)
			select {
			case queue <- chunk{due: time.Now().Add(delay), data: data}:
			case <-stop:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) drain(sink net.Conn, queue <-chan chunk) {
	for c := range queue {
		if !roseclock.Sleep(l.ctx, time.Until(c.due)) || !l.passable() {
			return
		}
		if _, err := sink.Write(c.data); err != nil {
			return
		}
	}
	l.passable()
}

// passable waits for a cut to heal. It reports false once the link is over.
func (l *link) passable() bool {
	for {
		blocked, changed := l.network.state(l.from, l.to)
		select {
		case <-l.silent:
			blocked = true
			changed = nil
		default:
		}
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		case <-time.After(stallLimit):
			return false
		}
	}
}

// stallLimit ends a stream that has been stalled for as long as a host's
// retransmissions would last in a short test.
const stallLimit = 60 * time.Second
