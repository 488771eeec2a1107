// Package rosefront serves callers over PostgreSQL's protocol: it keeps their
// sessions, sends each request through a chain of filters to a target, and
// answers with the whole result or a typed refusal.
package rosefront

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseroute"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

const (
	// handshakeTimeout bounds the time to a caller's first request.
	handshakeTimeout = 10 * time.Second
	// writeTimeout bounds the wait for a caller that doesn't read.
	writeTimeout = 30 * time.Second
	// cancelTimeout bounds the delivery of a cancel request to a target.
	cancelTimeout = 2 * time.Second
	// idleTransactionLimit ends a transaction whose caller is silent.
	idleTransactionLimit = time.Minute
	// defaultMaxMessageBytes bounds one message from a caller.
	defaultMaxMessageBytes = 16 << 20
	// acceptPause follows a failed accept.
	acceptPause = 10 * time.Millisecond
)

// Directory answers what the configuration in force says. Its answers may
// change from call to call.
type Directory interface {
	// Tenant returns the tenant of that name.
	Tenant(name string) (rosemary.Tenant, bool)
	// Class returns the class of that name.
	Class(name string) (rosemary.Class, bool)
	// Router returns the router of that database.
	Router(database string) (*roseroute.Router, bool)
}

// Config sets up a Server.
type Config struct {
	Directory Directory
	Keys      *rosesession.Keys
	// TLS serves encrypted callers; nil refuses encryption.
	TLS *tls.Config
	// RequireTLS refuses callers without encryption.
	RequireTLS bool
	// MaxCallers bounds the connections of callers.
	MaxCallers int
	// MaxMessageBytes bounds one message from a caller.
	MaxMessageBytes int
	// DefaultDeadline is that of statements without a class.
	DefaultDeadline time.Duration
	// AcknowledgeOnPrimary answers a write on the primary's word alone. It
	// is unsafe, and serves as the baseline that history checks must catch.
	AcknowledgeOnPrimary bool
	// ForwardCancel passes a cancel request for an unknown key to the peers.
	ForwardCancel func(pid, secret uint32)
	Metrics       *Metrics
}

// Server accepts callers. Its methods may be called concurrently.
type Server struct {
	config  Config
	chain   handler
	budget  *roseadmit.RetryBudget
	sockets atomic.Int64
	tasks   sync.WaitGroup

	drainOnce sync.Once
	draining  chan struct{}

	mu      sync.Mutex
	callers map[uint32]*caller
}

// NewServer returns a server that accepts nothing yet.
func NewServer(config Config) *Server {
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = defaultMaxMessageBytes
	}
	if config.DefaultDeadline == 0 {
		config.DefaultDeadline = 10 * time.Second
	}
	if config.Metrics == nil {
		config.Metrics = NewMetrics()
	}
	s := &Server{
		config:   config,
		budget:   roseadmit.NewRetryBudget(),
		draining: make(chan struct{}),
		callers:  make(map[uint32]*caller),
	}
	s.chain = buildChain(s)
	return s
}

// Serve accepts callers from listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.InfoS("accept failed", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		s.tasks.Go(func() { s.serveConn(conn) })
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	open := s.sockets.Add(1)
	defer s.sockets.Add(-1)
	full := s.config.MaxCallers > 0 && open > int64(s.config.MaxCallers)
	c, err := s.handshake(conn, full)
	if err != nil {
		klog.V(1).InfoS("handshake ended", "remote", conn.RemoteAddr().String(), "err", err)
		return
	}
	if c == nil {
		return
	}
	defer s.forget(c)
	c.run()
}

// register gives the caller a cancel key.
func (s *Server) register(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var random [8]byte
		_, _ = rand.Read(random[:])
		c.pid = binary.BigEndian.Uint32(random[:4]) >> 1
		c.secret = binary.BigEndian.Uint32(random[4:])
		if _, taken := s.callers[c.pid]; !taken {
			s.callers[c.pid] = c
			return
		}
	}
}

func (s *Server) forget(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c.pid)
}

// Cancel cancels the statement of the caller with that key, if this server
// has it. It reports whether it does.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	c := s.callers[pid]
	s.mu.Unlock()
	if c == nil || c.secret != secret {
		return false
	}
	c.cancelStatement()
	return true
}

// Callers returns the number of callers now.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// Drain ends every session at its next transaction border, after what is in
// flight was answered. It returns once all are gone, or with ctx's error.
// The caller has closed the listeners before.
func (s *Server) Drain(ctx context.Context) error {
	s.drainOnce.Do(func() { close(s.draining) })
	s.mu.Lock()
	for _, c := range s.callers {
		c.interruptIdle()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CloseConnections closes every caller's connection at once, as the death of the VM would.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		c.kill()
	}
}
