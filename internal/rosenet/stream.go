package rosenet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

// maxQueuedChunks bounds the chunks in flight per direction of a stream.
const maxQueuedChunks = 256

// maxChunkBytes bounds the size of a chunk.
const maxChunkBytes = 16 << 10

// stream connects two hosts. It delivers data after the one-way delay, and
// stalls while the hosts are blocked from each other.
type stream struct {
	network  *Network
	from, to Host
	ctx      context.Context
	cancel   context.CancelFunc
	// stalled is closed by StallStreams.
	stalled   chan struct{}
	stallOnce sync.Once
	// lost is closed when the dialing host resets the stream while it is blocked.
	lost     chan struct{}
	loseOnce sync.Once
}

// dialedConn is the dialing host's end of a stream.
type dialedConn struct {
	net.Conn
	stream *stream
	// resets is set if Close resets the stream.
	resets atomic.Bool
}

// SetLinger sets what Close does, as net.TCPConn.SetLinger: with 0 seconds it discards data
// that a blocked stream has not delivered.
func (c *dialedConn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	return nil
}

// Close closes the dialing host's end.
func (c *dialedConn) Close() error {
	if c.resets.Load() && c.stream.isBlocked() {
		c.stream.lose()
	}
	return c.Conn.Close()
}

// lose discards the data that has not been delivered.
func (s *stream) lose() {
	s.loseOnce.Do(func() { close(s.lost) })
}

// isBlocked reports whether the stream delivers nothing now.
func (s *stream) isBlocked() bool {
	select {
	case <-s.stalled:
		return true
	default:
		return s.network.Blocked(s.from, s.to)
	}
}

func (s *stream) stall() {
	s.stallOnce.Do(func() { close(s.stalled) })
}

type chunk struct {
	deliverAt time.Time
	data      []byte
}

// newStream returns the dialing host's end of a stream. listenerConn connects the
// network to the listener.
func (n *Network) newStream(from, to Host, listenerConn net.Conn) net.Conn {
	clientConn, networkConn := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{network: n, from: from, to: to, ctx: ctx, cancel: cancel, stalled: make(chan struct{}), lost: make(chan struct{})}
	n.mu.Lock()
	n.streams[s] = struct{}{}
	n.mu.Unlock()
	delay := n.config.Delay(from, to)
	stop := context.AfterFunc(ctx, func() {
		networkConn.Close()
		listenerConn.Close()
	})
	n.tasks.Go(func() {
		var copies sync.WaitGroup
		copies.Go(func() { s.copyDelayed(networkConn, listenerConn, delay, from, to) })
		copies.Go(func() { s.copyDelayed(listenerConn, networkConn, delay, to, from) })
		copies.Wait()
		stop()
		cancel()
		n.mu.Lock()
		delete(n.streams, s)
		n.mu.Unlock()
	})
	return &dialedConn{Conn: clientConn, stream: s}
}

// copyDelayed copies data of the sender from source to sink until either is closed or the
// stream is blocked for too long. It then closes both and waits for readChunks.
func (s *stream) copyDelayed(source, sink net.Conn, delay time.Duration, sender, receiver Host) {
	window := maxQueuedChunks
	if s.network.limited(sender, receiver) {
		window = maxWindowChunks
	}
	queue := make(chan chunk, window)
	stop := make(chan struct{})
	go func() {
		defer close(queue)
		s.readChunks(source, queue, func(size int) time.Time { return s.network.deliveryTime(sender, receiver, size, delay) }, stop)
	}()
	s.writeChunks(sink, queue, sender, receiver)
	close(stop)
	sink.Close()
	source.Close()
	for range queue {
		continue
	}
}

func (s *stream) readChunks(source net.Conn, queue chan<- chunk, deliveryTime func(size int) time.Time, stop <-chan struct{}) {
	buffer := make([]byte, maxChunkBytes)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			data := append([]byte(nil), buffer[:size]...)
			select {
			case queue <- chunk{deliverAt: deliveryTime(size), data: data}:
			case <-stop:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (s *stream) writeChunks(sink net.Conn, queue <-chan chunk, sender, receiver Host) {
	for c := range queue {
		if !roseclock.Sleep(s.ctx, time.Until(c.deliverAt)) || !s.waitUnblocked(sender, receiver) {
			return
		}
		select {
		case <-s.lost:
			return
		default:
		}
		s.network.countReceived(receiver, len(c.data))
		if _, err := sink.Write(c.data); err != nil {
			return
		}
	}
	// A blocked stream doesn't deliver the close of its source either.
	s.waitUnblocked(sender, receiver)
}

// waitUnblocked waits while the stream is blocked for a sender's data or stalled. It
// reports false if the stream ends or this takes longer than stallTimeout; each SetBlocked restarts
// the timeout of a stream that isn't stalled.
func (s *stream) waitUnblocked(sender, receiver Host) bool {
	for {
		blocked, changed := s.network.pathState(s.from, s.to)
		blocked = blocked || s.network.oneWayBlocked(sender, receiver)
		select {
		case <-s.stalled:
			blocked = true
			changed = nil
		default:
		}
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return false
		case <-time.After(stallTimeout):
			return false
		}
	}
}

// stallTimeout is the time after which a blocked or stalled stream that has data
// or a close to deliver is closed. It stands for the time after which TCP gives up
// retransmission, shortened for tests.
const stallTimeout = 60 * time.Second
