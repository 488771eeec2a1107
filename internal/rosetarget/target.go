// Package rosetarget is a stand-in for a database group: small table stores
// behind PostgreSQL's protocol, with terms, log positions, asynchronous
// replication, a connection limit and slots. It serves the demo, the load
// tool and the tests, and is no database: it knows the SQL of two workloads.
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

// Config sets up a Target.
type Config struct {
	ID   rosemary.TargetID
	Zone rosemary.Zone
	// Slots is the number of statements that run at once.
	Slots int
	// Connections is the number of connections accepted at once.
	MaxConnections int
	// ConnectTime is what a new connection costs.
	ConnectTime time.Duration
	// ReadTime and WriteTime are how long a statement holds its slot.
	ReadTime  time.Duration
	WriteTime time.Duration
	// ListTime is ReadTime's counterpart for reads of many rows.
	ScanTime time.Duration
	Network  *rosenet.Network
}

// Target is one stand-in database server.
type Target struct {
	config  Config
	cluster *Cluster
	slots   chan struct{}

	mu       sync.Mutex
	changed  chan struct{}
	data     *database
	locks    map[lockKey]*rowLock
	term     uint64
	proposer string
	role     rosemary.Role
	primary  rosemary.TargetID
	leaving  bool
	// heardAt is when the primary was last reached by replication.
	heardAt   time.Time
	streaming bool
	lag       time.Duration
	follow    context.CancelFunc
	running   *run

	// slowEvery and slowTime make every so many watches slow to answer.
	slowEvery int
	slowTime  time.Duration
	watches   int

	listenAddress string
	// servedAt holds the times of the statements that held a slot.
	servedAt []time.Time
}

// run is one life of the server, from a start to a crash.
type run struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	sessions map[*session]struct{}
	nextPID  uint32
	tasks    sync.WaitGroup
}

// Cluster is a group of stand-in targets that replicate to each other.
type Cluster struct {
	network *rosenet.Network
	targets map[rosemary.TargetID]*Target
}

// NewCluster returns a group of targets that aren't started yet. The first is
// the primary of term 1 and the others follow it.
func NewCluster(network *rosenet.Network, configs []Config) *Cluster {
	cluster := &Cluster{network: network, targets: make(map[rosemary.TargetID]*Target)}
	for i, c := range configs {
		c.Network = network
		t := &Target{
			config:  c,
			cluster: cluster,
			slots:   make(chan struct{}, c.Slots),
			changed: make(chan struct{}),
			data:    newDatabase(),
			locks:   make(map[lockKey]*rowLock),
			term:    1,
			role:    rosemary.RoleReplica,
			primary: configs[0].ID,
		}
		if i == 0 {
			t.role = rosemary.RolePrimary
			t.data.append(record{term: 1, at: time.Now()})
		}
		cluster.targets[c.ID] = t
	}
	return cluster
}

// Target returns the target of that identifier, or nil.
func (c *Cluster) Target(id rosemary.TargetID) *Target { return c.targets[id] }

// Start listens and serves until Crash or Stop. An empty address takes a free
// one at the first start; later starts take the same again.
func (t *Target) Start() error {
	t.mu.Lock()
	address := t.listenAddress
	t.mu.Unlock()
	listener, err := t.config.Network.Listen(t.place(), address)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{ctx: ctx, cancel: cancel, listener: listener, sessions: make(map[*session]struct{})}
	t.mu.Lock()
	t.listenAddress = listener.Addr().String()
	t.running = r
	if t.role == rosemary.RoleReplica {
		t.startFollowing()
	}
	t.mu.Unlock()
	r.tasks.Go(func() { t.accept(r) })
	return nil
}

// Address returns where the target listens.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listenAddress
}

// Crash stops the server at once. The log remains, as on a disk.
func (t *Target) Crash() {
	t.mu.Lock()
	r := t.running
	t.running = nil
	if t.follow != nil {
		t.follow()
		t.follow = nil
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
	r.tasks.Wait()
}

// SetLag delays the application of replicated records by lag.
func (t *Target) SetLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = lag
	t.notify()
}

// SetSlowWatches makes one of every so many watches take longer to answer.
func (t *Target) SetSlowWatches(every int, slow time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowEvery, t.slowTime = every, slow
}

// slowness returns how much longer the next watch takes.
func (t *Target) slowness() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches++
	if t.slowEvery == 0 || t.watches%t.slowEvery != 0 {
		return 0
	}
	return t.slowTime
}

// SetLeaving makes the target ask for no new work.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	t.notify()
}

// Status returns what the target would report now.
func (t *Target) Status() rosemary.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status()
}

// Rows returns the fields of every row of a table, by key.
func (t *Target) Rows(name string) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make(map[string][]string)
	found := t.data.tables[name]
	if found == nil {
		return rows
	}
	for _, r := range found.rows {
		fields := make([]string, len(r))
		for i, v := range r {
			fields[i] = v.Text
		}
		rows[r[found.key].Text] = fields
	}
	return rows
}

func (t *Target) place() rosenet.Host {
	return rosenet.Host{Name: string(t.config.ID), Zone: string(t.config.Zone)}
}

// status is Status with the lock held.
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

// notify wakes everything that waits for a change. The lock is held.
func (t *Target) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Target) accept(r *run) {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.tasks.Go(func() { t.serve(r, conn) })
	}
}

// enter registers a session. It reports false at the connection limit.
func (t *Target) enter(r *run, s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running != r || len(r.sessions) >= t.config.MaxConnections {
		return false
	}
	r.nextPID++
	s.pid = r.nextPID
	r.sessions[s] = struct{}{}
	return true
}

func (t *Target) leave(r *run, s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(r.sessions, s)
}

// cancelRequest cancels the statement of the session with that key.
func (t *Target) cancelRequest(r *run, pid uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range r.sessions {
		if s.pid == pid {
			s.cancelStatement()
		}
	}
}

// Close stops every target of the group.
func (c *Cluster) Close() {
	for _, t := range c.targets {
		t.Crash()
	}
}

// Targets returns the targets of the group by identifier.
func (c *Cluster) Targets() map[rosemary.TargetID]*Target { return c.targets }
