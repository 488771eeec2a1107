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

// Baseline replaces policies by simple ones, to compare with.
type Baseline struct {
	// PrimaryReads sends every read to the primary.
	PrimaryReads bool
	// FirstInFirstOut serves requests in the order of their arrival.
	FirstInFirstOut bool
	// AcknowledgeOnPrimary answers a write on the primary's word alone.
	AcknowledgeOnPrimary bool
	// EvenSplit gives each proxy the same connections, whatever its demand.
	EvenSplit bool
}

// Config sets up a Daemon.
type Config struct {
	Name rosemary.ProxyID
	Zone rosemary.Zone
	// Proxies is the number of proxies that share the targets' connections.
	Proxies        int
	Dialer         rosemary.Dialer
	Keys           *rosesession.Keys
	TLS            *tls.Config
	RequireTLS     bool
	MaxCallers     int
	TargetUser     string
	TargetPassword string
	// PeerAddress is where peers reach this proxy; empty runs it alone.
	PeerAddress string
	// PeerTLS authenticates proxies to each other; nil trusts the network.
	PeerTLS *tls.Config
	// Seeds are peers known from settings.
	Seeds []rosemary.Member
	// Operators are the keys that a first bundle must be signed with.
	Operators rosebundle.OperatorList
	// Store and Roster are the platform's; either may be nil.
	Store        rosemary.Store
	MemberSource rosemary.MemberSource
	Baseline     Baseline
}

// Daemon is one proxy.
type Daemon struct {
	// DrainAsked closes when an operator asks for a graceful shutdown.
	DrainRequested chan struct{}

	drainOnce sync.Once

	config  Config
	front   *rosefront.Server
	metrics *rosefront.Metrics
	mesh    *rosepeer.Mesh
	dialer  rosemary.Dialer
	updater *rosebundle.Updater
	// behind names a peer that has a newer bundle.
	behind chan rosemary.ProxyID
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.RWMutex
	content  *rosebundle.Content
	backends map[string]*backend
	unready  bool
	// queued holds a token once a statement had to wait for a target.
	queued chan struct{}
	// lender keeps the books of the targets that this proxy lends.
	lender *roselend.Lender
	// targets is the number of targets that are watched.
	targets int
}

// New returns a daemon that serves nothing until Apply and Serve.
func New(config Config) *Daemon {
	d := &Daemon{config: config, content: &rosebundle.Content{}, backends: make(map[string]*backend), metrics: rosefront.NewMetrics()}
	d.lender = roselend.NewLender()
	d.queued = make(chan struct{}, 1)
	d.DrainRequested = make(chan struct{})
	d.behind = make(chan rosemary.ProxyID, 1)
	d.newMesh()
	d.updater = d.newUpdater()
	d.front = rosefront.NewServer(rosefront.Config{
		Directory:            d,
		Metrics:              d.metrics,
		Keys:                 config.Keys,
		TLS:                  config.TLS,
		RequireTLS:           config.RequireTLS,
		MaxCallers:           config.MaxCallers,
		ForwardCancel:        d.mesh.ForwardCancel,
		AcknowledgeOnPrimary: config.Baseline.AcknowledgeOnPrimary,
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx, d.cancel = ctx, cancel
	d.tasks.Go(func() { d.mesh.Run(ctx) })
	d.tasks.Go(func() { d.followRoster(ctx) })
	d.tasks.Go(func() { d.followStore(ctx) })
	d.tasks.Go(func() { d.followPeers(ctx) })
	d.tasks.Go(func() { d.borrow(ctx) })
	return d
}

// Apply brings content into force. Databases whose targets didn't change keep
// their connections.
func (d *Daemon) Apply(content *rosebundle.Content) {
	wanted := make(map[string]rosebundle.Database)
	for _, database := range content.Databases {
		wanted[database.Name] = database
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.content = content
	d.targets = 0
	for _, database := range content.Databases {
		d.targets += len(database.Targets)
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

// retireAfter is how long a database that changed its targets is still
// followed for the requests that are in flight on it.
const retireAfter = time.Minute

// retire closes a backend once its requests have ended.
func (d *Daemon) retire(b *backend) {
	d.tasks.Go(func() {
		roseclock.Sleep(d.ctx, retireAfter)
		b.close()
	})
}

// sameTargets reports whether a change leaves a database's connections valid.
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

// Tenant returns the tenant of that name.
func (d *Daemon) Tenant(name string) (rosemary.Tenant, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.content.Tenant(name)
}

// Class returns the class of that name.
func (d *Daemon) Class(name string) (rosemary.Class, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.content.Class(name)
}

// Router returns the router of a database.
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

// Metrics returns what the proxy counts of its callers.
func (d *Daemon) Metrics() *rosefront.Metrics { return d.metrics }

// Serve accepts callers from listener until it is closed.
func (d *Daemon) Serve(listener net.Listener) error {
	return d.front.Serve(listener)
}

// Ready reports whether a new caller would be served.
func (d *Daemon) Ready() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.unready && !d.front.Draining() && len(d.backends) > 0
}

// Peers returns the number of peers that this proxy has a link to.
func (d *Daemon) Peers() int { return len(d.mesh.LinkedPeers()) }

// MarkUnready makes the balancer send callers elsewhere.
func (d *Daemon) MarkUnready() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unready = true
}

// Drain ends the sessions at transaction borders. Nothing in flight is cut
// off while ctx lasts.
func (d *Daemon) Drain(ctx context.Context) error {
	started := time.Now()
	d.mesh.Leave()
	klog.InfoS("drain begins", "proxy", d.config.Name, "callers", d.front.Callers())
	err := d.front.Drain(ctx)
	klog.InfoS("drain ended", "proxy", d.config.Name, "took", time.Since(started), "left", d.front.Callers())
	return trace.Wrap(err)
}

// Close ends everything at once.
func (d *Daemon) Close() {
	d.front.CloseConnections()
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
