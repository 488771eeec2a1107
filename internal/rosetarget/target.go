// Package rosetarget simulates a database group for the demo, the load tool and
// the tests: in-memory tables behind PostgreSQL's protocol, with terms, log
// positions, asynchronous replication, a connection limit and slots. It supports
// only the SQL that these send.
package rosetarget

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Config configures a Target.
type Config struct {
	ID   rosemary.TargetID
	Zone rosemary.Zone
	// Slots is the number of statements that run concurrently.
	Slots int
	// MaxConnections limits the open connections; further ones are refused.
	MaxConnections int
	// ConnectTime is how long a connection takes to open.
	ConnectTime time.Duration
	// ReadTime and WriteTime are how long a read or a write holds its slot.
	ReadTime  time.Duration
	WriteTime time.Duration
	// ScanTime replaces ReadTime for reads without an equality condition, if
	// it is longer.
	ScanTime time.Duration
	// Network is set by NewGroup.
	Network *rosenet.Network
}

// Target is one simulated database server.
type Target struct {
	config Config
	group  *Group
	slots  chan struct{}

	mu sync.Mutex
	// changed is closed and replaced by notify.
	changed chan struct{}
	data    *database
	locks   map[rowID]*rowLock
	term    uint64
	// proposer made the latest fence; only it may repeat that fence.
	proposer string
	role     rosemary.Role
	primary  rosemary.TargetID
	leaving  bool
	// lastContact is when the replica last reached its primary.
	lastContact       time.Time
	streaming         bool
	lag               time.Duration
	cancelReplication context.CancelFunc
	// run is nil while the server is stopped.
	run *serverRun

	// Every slowWatchEvery-th call of rosemary.watch is delayed by
	// slowWatchDelay; 0 disables the delay.
	slowWatchEvery int
	slowWatchDelay time.Duration
	watchCount     int

	listenAddress string
	// statementTimes holds the times at which statements acquired a slot.
	statementTimes []time.Time
}

// serverRun is the state of the server between Start and Crash.
type serverRun struct {
	ctx        context.Context
	cancel     context.CancelFunc
	listener   net.Listener
	sessions   map[*session]struct{}
	lastPID    uint32
	goroutines sync.WaitGroup
}

// Group is a primary and the targets that replicate from it.
type Group struct {
	network *rosenet.Network
	targets map[rosemary.TargetID]*Target
}

// NewGroup returns a group of targets that aren't started yet. The first is
// the primary of term 1 and the others are its replicas.
func NewGroup(network *rosenet.Network, configs []Config) *Group {
	group := &Group{network: network, targets: make(map[rosemary.TargetID]*Target)}
	for i, c := range configs {
		c.Network = network
		t := &Target{
			config:  c,
			group:   group,
			slots:   make(chan struct{}, c.Slots),
			changed: make(chan struct{}),
			data:    newDatabase(),
			locks:   make(map[rowID]*rowLock),
			term:    1,
			role:    rosemary.RoleReplica,
			primary: configs[0].ID,
		}
		if i == 0 {
			t.role = rosemary.RolePrimary
			t.data.append(record{term: 1, committedAt: time.Now()})
		}
		group.targets[c.ID] = t
	}
	return group
}

// Target returns the target with that identifier, or nil.
func (g *Group) Target(id rosemary.TargetID) *Target { return g.targets[id] }

// Start listens and serves until Crash. The first start picks a free address,
// which later starts reuse.
func (t *Target) Start() error {
	t.mu.Lock()
	address := t.listenAddress
	t.mu.Unlock()
	listener, err := t.config.Network.Listen(t.host(), address)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &serverRun{ctx: ctx, cancel: cancel, listener: listener, sessions: make(map[*session]struct{})}
	t.mu.Lock()
	t.listenAddress = listener.Addr().String()
	t.run = r
	if t.role == rosemary.RoleReplica {
		t.startReplication()
	}
	t.mu.Unlock()
	r.goroutines.Go(func() { t.accept(r) })
	return nil
}

// Address returns the address on which the target listens.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listenAddress
}

// Crash stops the server and closes its connections immediately. The log is
// kept, as if on disk.
func (t *Target) Crash() {
	t.mu.Lock()
	r := t.run
	t.run = nil
	if t.cancelReplication != nil {
		t.cancelReplication()
		t.cancelReplication = nil
	}
	t.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	r.listener.Close()
	t.mu.Lock()
	for s := range r.sessions {
		s.conn.Close()
	}
	t.mu.Unlock()
	r.goroutines.Wait()
}

// SetLag makes the replica hold back records committed less than lag ago.
func (t *Target) SetLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = lag
	t.notify()
}

// SetSlowWatches delays every nth call of rosemary.watch; 0 delays none.
func (t *Target) SetSlowWatches(nth int, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowWatchEvery, t.slowWatchDelay = nth, delay
}

// nextWatchDelay counts a call of rosemary.watch and returns its delay.
func (t *Target) nextWatchDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchCount++
	if t.slowWatchEvery == 0 || t.watchCount%t.slowWatchEvery != 0 {
		return 0
	}
	return t.slowWatchDelay
}

// SetLeaving sets Leaving in the target's status. A leaving target asks for no
// new work, but still accepts it.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	t.notify()
}

// Status returns the target's current status.
func (t *Target) Status() rosemary.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status()
}

// Rows returns the fields of every row of a table by primary key.
func (t *Target) Rows(name string) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make(map[string][]string)
	tbl := t.data.tables[name]
	if tbl == nil {
		return rows
	}
	for _, r := range tbl.rows {
		fields := make([]string, len(r))
		for i, v := range r {
			fields[i] = v.Text
		}
		rows[r[tbl.keyColumn].Text] = fields
	}
	return rows
}

func (t *Target) host() rosenet.Host {
	return rosenet.Host{Name: string(t.config.ID), Zone: string(t.config.Zone)}
}

// status returns the current status. The caller holds mu.
func (t *Target) status() rosemary.Status {
	return rosemary.Status{
		Target:   t.config.ID,
		Term:     t.term,
		Position: t.data.position(),
		Role:     t.role,
		Primary:  t.primary,
		History:  t.data.history(),
		Leaving:  t.leaving,

		Streaming: t.streaming,
	}
}

// notify wakes all goroutines waiting for a change. The caller holds mu.
func (t *Target) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Target) accept(r *serverRun) {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.goroutines.Go(func() { t.serve(r, conn) })
	}
}

// addSession registers a session and assigns its process ID. It reports false if
// the connection limit is reached or the server has stopped.
func (t *Target) addSession(r *serverRun, s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.run != r || len(r.sessions) >= t.config.MaxConnections {
		return false
	}
	r.lastPID++
	s.pid = r.lastPID
	r.sessions[s] = struct{}{}
	return true
}

func (t *Target) removeSession(r *serverRun, s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(r.sessions, s)
}

// cancelRequest cancels the statement of the session with that process ID.
func (t *Target) cancelRequest(r *serverRun, pid uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range r.sessions {
		if s.pid == pid {
			s.cancelStatement()
		}
	}
}

// Close stops all targets of the group.
func (g *Group) Close() {
	for _, t := range g.targets {
		t.Crash()
	}
}

// Targets returns the targets of the group by identifier.
func (g *Group) Targets() map[rosemary.TargetID]*Target { return g.targets }
