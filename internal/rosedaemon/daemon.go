package rosedaemon

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/internal/rosefront"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roselend"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/roseroute"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
)

// Baseline replaces parts of the proxy's scheduling, routing and confirmation
// with simple versions, for comparison in load tests.
type Baseline struct {
	// PrimaryReads sends every read to the primary.
	PrimaryReads bool
	// FirstInFirstOut serves requests in order of arrival.
	FirstInFirstOut bool
	// AcknowledgeOnPrimary answers a write as soon as the primary has it,
	// without waiting for a quorum. It can lose acknowledged writes.
	AcknowledgeOnPrimary bool
	// EvenSplit gives each proxy the same number of connections, regardless of
	// demand.
	EvenSplit bool
}

// Config configures a Daemon.
type Config struct {
	Name rosemary.ProxyID
	Zone rosemary.Zone
	// Proxies is the number of proxies that share the targets' connections.
	Proxies        int
	Dialer         rosemary.Dialer
	TokenKeys      *rosesession.Keys
	TLS            *tls.Config
	RequireTLS     bool
	MaxClients     int
	TargetUser     string
	TargetPassword string
	// PeerAddress is where peers reach this proxy; a proxy without peers leaves
	// it empty.
	PeerAddress string
	// PeerTLS authenticates and encrypts the connections between proxies; nil
	// does neither.
	PeerTLS *tls.Config
	// Seeds are the peers from the settings.
	Seeds []rosemary.Member
	// Operators lists who may sign the first bundle, and how many of them must.
	Operators rosebundle.OperatorList
	// Store and MemberSource belong to the platform; either may be nil.
	Store        rosemary.Store
	MemberSource rosemary.MemberSource
	Baseline     Baseline
}

// Daemon is one proxy.
type Daemon struct {
	// DrainRequested is closed when an operator requests a graceful shutdown.
	DrainRequested chan struct{}

	drainOnce sync.Once

	config  Config
	server  *rosefront.Server
	metrics *rosefront.Metrics
	mesh    *rosepeer.Mesh
	// dialer dials targets, if necessary through a peer.
	dialer  rosemary.Dialer
	updater *rosebundle.Updater
	// newerBundleFrom receives a peer that has a newer bundle.
	newerBundleFrom chan rosemary.ProxyID
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           sync.WaitGroup

	mu       sync.RWMutex
	content  *rosebundle.Content
	backends map[string]*backend
	unready  bool
	// queued signals borrow that a statement has to wait for a connection.
	queued chan struct{}
	// lender accounts for the connections that this proxy lends to others.
	lender *roselend.Lender
	// targetCount is the number of watched targets.
	targetCount int
}

// New returns a daemon and starts its background tasks. It serves clients once
// Serve is called and a bundle is in force.
func New(config Config) *Daemon {
	d := &Daemon{config: config, content: &rosebundle.Content{}, backends: make(map[string]*backend), metrics: rosefront.NewMetrics()}
	d.lender = roselend.NewLender()
	d.queued = make(chan struct{}, 1)
	d.DrainRequested = make(chan struct{})
	d.newerBundleFrom = make(chan rosemary.ProxyID, 1)
	d.newMesh()
	d.updater = d.newUpdater()
	d.server = rosefront.NewServer(rosefront.Config{
		ConfigProvider:       d,
		Metrics:              d.metrics,
		TokenKeys:            config.TokenKeys,
		TLS:                  config.TLS,
		RequireTLS:           config.RequireTLS,
		MaxClients:           config.MaxClients,
		ForwardCancel:        d.mesh.ForwardCancel,
		AcknowledgeOnPrimary: config.Baseline.AcknowledgeOnPrimary,
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx, d.cancel = ctx, cancel
	d.tasks.Go(func() { d.mesh.Run(ctx) })
	d.tasks.Go(func() { d.followMembers(ctx) })
	d.tasks.Go(func() { d.followStore(ctx) })
	d.tasks.Go(func() { d.followPeers(ctx) })
	d.tasks.Go(func() { d.borrow(ctx) })
	return d
}

// Apply puts the content of a bundle into force. Databases with unchanged
// targets keep their connections.
func (d *Daemon) Apply(content *rosebundle.Content) {
	wanted := make(map[string]rosebundle.Database)
	for _, database := range content.Databases {
		wanted[database.Name] = database
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.content = content
	d.targetCount = 0
	for _, database := range content.Databases {
		d.targetCount += len(database.Targets)
	}
	for name, b := range d.backends {
		if next, kept := wanted[name]; !kept || !sameTargets(b.database, next) {
			d.retire(b)
			delete(d.backends, name)
		}
	}
	for name, database := range wanted {
		if b := d.backends[name]; b != nil {
			b.resize(d, database)
			continue
		}
		d.backends[name] = d.newBackend(database)
	}
}

// retireDelay is how long the backend of a database that was removed or got
// other targets still runs, for its requests in flight.
const retireDelay = time.Minute

// retire closes a backend after retireDelay.
func (d *Daemon) retire(b *backend) {
	d.tasks.Go(func() {
		roseclock.Sleep(d.ctx, retireDelay)
		b.close()
	})
}

// sameTargets reports whether the targets are equal but for Leaving, so that
// connections stay valid.
func sameTargets(a, b rosebundle.Database) bool {
	if len(a.Targets) != len(b.Targets) {
		return false
	}
	for i, t := range a.Targets {
		t.Leaving = b.Targets[i].Leaving
		if t != b.Targets[i] {
			return false
		}
	}
	return true
}

// Tenant returns the tenant with the given name.
func (d *Daemon) Tenant(name string) (rosemary.Tenant, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.content.Tenant(name)
}

// Class returns the class with the given name.
func (d *Daemon) Class(name string) (rosemary.Class, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.content.Class(name)
}

// Router returns the router of the database.
func (d *Daemon) Router(database string) (*roseroute.Router, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	b, found := d.backends[database]
	if !found {
		return nil, false
	}
	return b.router, true
}

func (d *Daemon) leaving(id rosemary.TargetID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.content.Leaving(id)
}

// Metrics returns the metrics of requests.
func (d *Daemon) Metrics() *rosefront.Metrics { return d.metrics }

// Serve accepts clients from listener until it is closed.
func (d *Daemon) Serve(listener net.Listener) error {
	return d.server.Serve(listener)
}

// Ready reports whether the proxy accepts new clients.
func (d *Daemon) Ready() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.unready && !d.server.Draining() && len(d.backends) > 0
}

// LinkedPeerCount returns the number of connected peers.
func (d *Daemon) LinkedPeerCount() int { return len(d.mesh.LinkedPeers()) }

// MarkUnready makes the readiness check fail, so that the load balancer sends
// clients to other proxies.
func (d *Daemon) MarkUnready() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unready = true
}

// Drain ends each session as soon as it has no open transaction. It returns when
// all have ended; if ctx ends first, Close ends the remaining ones.
func (d *Daemon) Drain(ctx context.Context) error {
	started := time.Now()
	d.mesh.Leave()
	klog.InfoS("drain begins", "proxy", d.config.Name, "callers", d.server.ClientCount())
	err := d.server.Drain(ctx)
	klog.InfoS("drain ended", "proxy", d.config.Name, "took", time.Since(started), "left", d.server.ClientCount())
	return trace.Wrap(err)
}

// Close closes all connections, including those in a transaction, and stops the
// daemon.
func (d *Daemon) Close() {
	d.server.CloseConnections()
	d.mu.Lock()
	backends := d.backends
	d.backends = make(map[string]*backend)
	d.mu.Unlock()
	for _, b := range backends {
		b.close()
	}
	d.cancel()
	d.tasks.Wait()
}
