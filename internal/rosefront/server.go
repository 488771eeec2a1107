// Package rosefront serves clients over the PostgreSQL protocol. It passes each
// request of a session through a chain of filters to a target, and answers with
// the target's response or with a refusal that says whether the request ran.
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
	// handshakeTimeout bounds the time until the session is open.
	handshakeTimeout = 10 * time.Second
	// writeTimeout bounds the wait for a client that doesn't read.
	writeTimeout = 30 * time.Second
	// cancelTimeout bounds the delivery of a cancel request to a target.
	cancelTimeout = 2 * time.Second
	// idleTransactionTimeout is the time after which a transaction without
	// messages from its client is rolled back.
	idleTransactionTimeout = time.Minute
	defaultMaxMessageBytes = 16 << 20
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// ConfigProvider looks up the configuration in force. Its results may change
// between calls.
type ConfigProvider interface {
	// Tenant returns the tenant with the given name.
	Tenant(name string) (rosemary.Tenant, bool)
	// Class returns the class with the given name.
	Class(name string) (rosemary.Class, bool)
	// Router returns the router of the database.
	Router(database string) (*roseroute.Router, bool)
}

// Config configures a Server.
type Config struct {
	ConfigProvider ConfigProvider
	// TokenKeys sign and verify the session tokens.
	TokenKeys *rosesession.Keys
	// TLS is the configuration of encrypted connections; nil disables
	// encryption.
	TLS *tls.Config
	// RequireTLS refuses clients without encryption.
	RequireTLS bool
	// MaxClients bounds the client connections; zero means no limit.
	MaxClients int
	// MaxMessageBytes bounds one message from a client; zero means 16 MiB.
	MaxMessageBytes int
	// DefaultTimeout applies to requests without a class and to classes
	// without a timeout; zero means 10 s.
	DefaultTimeout time.Duration
	// AcknowledgeOnPrimary answers a write as soon as the primary has it,
	// without waiting for a quorum. It is unsafe; the load tool uses it as the
	// baseline whose lost writes its checks must detect.
	AcknowledgeOnPrimary bool
	// ForwardCancel forwards a cancel request with an unknown key to the peers:
	// it comes on a connection of its own, which may reach another proxy than
	// the session's.
	ForwardCancel func(pid, secret uint32)
	Metrics       *Metrics
}

// Server serves clients. Its methods may be called concurrently.
type Server struct {
	config      Config
	chain       handler
	retryBudget *roseadmit.RetryBudget
	connections atomic.Int64
	tasks       sync.WaitGroup

	drainOnce sync.Once
	draining  chan struct{}

	mu      sync.Mutex
	clients map[uint32]*client
}

// NewServer returns a server; Serve starts it.
func NewServer(config Config) *Server {
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = defaultMaxMessageBytes
	}
	if config.DefaultTimeout == 0 {
		config.DefaultTimeout = 10 * time.Second
	}
	if config.Metrics == nil {
		config.Metrics = NewMetrics()
	}
	s := &Server{
		config:      config,
		retryBudget: roseadmit.NewRetryBudget(),
		draining:    make(chan struct{}),
		clients:     make(map[uint32]*client),
	}
	s.chain = buildChain(s)
	return s
}

// Serve accepts clients from listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.InfoS("accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.tasks.Go(func() { s.serveConn(conn) })
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	open := s.connections.Add(1)
	defer s.connections.Add(-1)
	overLimit := s.config.MaxClients > 0 && open > int64(s.config.MaxClients)
	c, err := s.handshake(conn, overLimit)
	if err != nil {
		klog.V(1).InfoS("handshake ended", "remote", conn.RemoteAddr().String(), "err", err)
		return
	}
	if c == nil {
		return
	}
	defer s.unregister(c)
	c.run()
}

// register adds the client and assigns it a cancel key. The shift keeps pid
// positive as a signed 32-bit process ID.
func (s *Server) register(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var random [8]byte
		_, _ = rand.Read(random[:])
		c.pid = binary.BigEndian.Uint32(random[:4]) >> 1
		c.secret = binary.BigEndian.Uint32(random[4:])
		if _, taken := s.clients[c.pid]; !taken {
			s.clients[c.pid] = c
			return
		}
	}
}

func (s *Server) unregister(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c.pid)
}

// Cancel cancels the running statement of the client with that key. It reports
// whether this server has the client.
func (s *Server) Cancel(pid, secret uint32) bool {
	s.mu.Lock()
	c := s.clients[pid]
	s.mu.Unlock()
	if c == nil || c.secret != secret {
		return false
	}
	c.cancelStatement()
	return true
}

// ClientCount returns the number of clients with an open session.
func (s *Server) ClientCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
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

// Drain ends each session as soon as it has no open transaction and no
// unanswered request. It returns when all sessions have ended, or with ctx's
// error. The listeners must be closed before the call.
func (s *Server) Drain(ctx context.Context) error {
	s.drainOnce.Do(func() { close(s.draining) })
	s.mu.Lock()
	for _, c := range s.clients {
		c.drain()
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

// CloseConnections closes all client connections immediately, as if the VM had
// failed.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.closeConn()
	}
}
