package rosestack

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosedaemon"
	"github.com/rosemarywell/rosemarywell/internal/rosekv"
	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/internal/rosetarget"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
	"github.com/rosemarywell/rosemarywell/pkg/rosesession"
	"github.com/rosemarywell/rosemarywell/pkg/rosestore"
)

// Config configures a Stack.
type Config struct {
	Deployment Deployment
	// InMemory connects hosts without sockets, as testing/synctest requires.
	InMemory bool
	// WithoutProxies starts only the simulated targets and platform.
	WithoutProxies bool
	// Listen is the address on which the first proxy accepts clients. The other
	// proxies use the ports after it. If it is empty, they all use free ports.
	Listen string
	// Baseline replaces policies of all proxies, for comparison.
	Baseline rosedaemon.Baseline
}

// Stack is a running deployment.
type Stack struct {
	Config  Config
	Network *rosenet.Network
	// Groups holds the targets of each database by its name.
	Groups map[string]*rosetarget.Group
	// Proxies holds the last run of each proxy, whether or not it is running.
	Proxies []*Proxy
	// InitialBundle is the content of the first bundle. Later proposals do not
	// change it.
	InitialBundle *rosebundle.Content
	// Platform simulates the platform's key-value store and VM list.
	Platform        *rosekv.Server
	platformAddress string
	platformTasks   sync.WaitGroup
	keys            *rosesession.Keys
	// mu guards Proxies.
	mu sync.Mutex
}

// Proxy is one proxy of the stack.
type Proxy struct {
	Name         string
	Zone         string
	Address      string
	Daemon       *rosedaemon.Daemon
	listener     net.Listener
	peerListener net.Listener
	adminServer  *http.Server
	// AdminAddress is the address of adminServer, which serves operators.
	AdminAddress string
	store        *rosestore.Client
	tasks        sync.WaitGroup
	// down is set as soon as Kill or Drain is called.
	down atomic.Bool
}

// startTimeout bounds the creation of the tables and the wait until all proxies
// are ready.
const startTimeout = 20 * time.Second

// Start starts the platform, the targets with their initial tables, and the
// proxies. It returns when all proxies are ready.
func Start(ctx context.Context, config Config) (*Stack, error) {
	deployment := config.Deployment
	s := &Stack{
		Config:  config,
		Network: rosenet.NewNetwork(rosenet.Config{Delay: deployment.delay, InMemory: config.InMemory}),
		Groups:  make(map[string]*rosetarget.Group),
	}
	keys, err := rosesession.NewKeys([]byte(demoTokenKey))
	if err != nil {
		return nil, err
	}
	s.keys = keys
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	if err := s.startTargets(); err != nil {
		return nil, err
	}
	s.InitialBundle = s.initialContent()
	if err := s.proposeInitial(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, name := range deployment.Databases {
		if err := s.createTables(ctx, name); err != nil {
			return nil, err
		}
	}
	for i := range s.proxyCount() {
		if _, err := s.StartProxy(i); err != nil {
			return nil, err
		}
	}
	s.Platform.PublishMembers()
	return s, s.awaitReady(ctx)
}

func (s *Stack) proxyCount() int {
	if s.Config.WithoutProxies {
		return 0
	}
	return s.Config.Deployment.Proxies
}

// awaitReady waits until every proxy is ready and connected to all its peers.
func (s *Stack) awaitReady(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for _, p := range s.Proxies {
		for !p.Daemon.Ready() || p.Daemon.LinkedPeerCount() < len(s.Proxies)-1 {
			time.Sleep(poll)
			if ctx.Err() != nil {
				return trace.ConnectionProblem(ctx.Err(), "proxy %s did not become ready", p.Name)
			}
		}
	}
	return nil
}

// platformHost runs the platform's services, outside the proxies' zones.
var platformHost = rosenet.Host{Name: "platform", Zone: "platform"}

// memberListLag is the delay after which the platform's VM list shows a change.
const memberListLag = 2 * time.Second

func (s *Stack) startPlatform() error {
	listener, err := s.Network.Listen(platformHost, "")
	if err != nil {
		return trace.Wrap(err)
	}
	s.Platform = rosekv.NewServer(memberListLag)
	s.platformAddress = listener.Addr().String()
	s.platformTasks.Go(func() { s.Platform.Serve(listener) })
	return nil
}

// updateMembers sets the platform's VM list to the running proxies. Proxies see
// the change after memberListLag.
func (s *Stack) updateMembers() {
	var members []rosemary.Member
	for _, p := range s.RunningProxies() {
		members = append(members, rosemary.Member{
			Proxy:   rosemary.ProxyID(p.Name),
			Zone:    rosemary.Zone(p.Zone),
			Address: p.peerListener.Addr().String(),
		})
	}
	s.Platform.SetMembers(members)
}

// startTargets starts one target per zone for each database. The first target
// is the initial primary; those of different databases are in different zones.
func (s *Stack) startTargets() error {
	d := s.Config.Deployment
	for i, name := range d.Databases {
		var configs []rosetarget.Config
		for j := range d.Zones {
			configs = append(configs, rosetarget.Config{
				ID:             rosemary.TargetID(fmt.Sprintf("%s-%d", name, j+1)),
				Zone:           rosemary.Zone(d.Zones[(i+j)%len(d.Zones)]),
				Slots:          d.Slots,
				MaxConnections: d.MaxConnections,
				ConnectTime:    d.ConnectTime,
				ReadTime:       d.ReadTime,
				WriteTime:      d.WriteTime,
				ScanTime:       d.ScanTime,
			})
		}
		group := rosetarget.NewGroup(s.Network, configs)
		s.Groups[name] = group
		for _, c := range configs {
			if err := group.Target(c.ID).Start(); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// initialContent returns the content of the first bundle, without operators.
func (s *Stack) initialContent() *rosebundle.Content {
	d := s.Config.Deployment
	content := &rosebundle.Content{Classes: d.Classes, Tenants: d.Tenants}
	for i, name := range d.Databases {
		database := rosebundle.Database{Name: name, Slots: d.Slots, Connections: d.MaxConnections}
		for j := range d.Zones {
			id := fmt.Sprintf("%s-%d", name, j+1)
			database.Targets = append(database.Targets, rosebundle.Target{
				ID:      id,
				Address: s.Groups[name].Target(rosemary.TargetID(id)).Address(),
				Zone:    d.Zones[(i+j)%len(d.Zones)],
			})
		}
		content.Databases = append(content.Databases, database)
	}
	return content
}

// createTables creates the tables of one database and their initial rows.
func (s *Stack) createTables(ctx context.Context, name string) error {
	d := s.Config.Deployment
	id := rosemary.TargetID(name + "-1")
	target := rosemary.Target{ID: id, Address: s.Groups[name].Target(id).Address()}
	dialer := s.Network.Dialer(rosenet.Host{Name: "setup", Zone: d.Zones[0]})
	conn, err := rosepool.Open(ctx, dialer, target, rosepool.Credentials{User: "setup", Database: name})
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close()
	for _, statement := range append(append([]string{}, d.Schema...), d.Seed...) {
		if _, err := conn.Query(ctx, statement); err != nil {
			return trace.Wrap(err, "can't create the tables of database %s", name)
		}
	}
	return nil
}

// StartProxy starts proxy i, or restarts it after Kill or Drain. A restarted
// proxy keeps its addresses for clients and peers.
func (s *Stack) StartProxy(i int) (*Proxy, error) {
	d := s.Config.Deployment
	p := &Proxy{Name: fmt.Sprintf("proxy-%d", i+1), Zone: d.Zones[i%len(d.Zones)]}
	host := rosenet.Host{Name: p.Name, Zone: p.Zone}
	listener, err := s.Network.Listen(host, s.listenAddress(i))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.listener = listener
	if p.peerListener, err = s.Network.Listen(host, s.peerAddress(i)); err != nil {
		return nil, trace.Wrap(err)
	}
	dialer := s.Network.Dialer(host)
	p.store = rosestore.NewClient(rosestore.Config{Address: s.platformAddress, Dialer: dialer})
	p.Daemon = rosedaemon.New(rosedaemon.Config{
		Name:         rosemary.ProxyID(p.Name),
		Zone:         rosemary.Zone(p.Zone),
		Proxies:      d.Proxies,
		Dialer:       dialer,
		TokenKeys:    s.keys,
		TargetUser:   "rosemary",
		PeerAddress:  p.peerListener.Addr().String(),
		Store:        p.store,
		Operators:    s.operators(),
		MemberSource: rosestore.NewMemberSource(p.store),
		Baseline:     s.Config.Baseline,
	})
	p.Address = listener.Addr().String()
	p.tasks.Go(func() { _ = p.Daemon.Serve(listener) })
	p.tasks.Go(func() { _ = p.Daemon.ServePeers(p.peerListener) })
	if err := s.serveAdmin(p, host); err != nil {
		return nil, err
	}
	s.mu.Lock()
	if i < len(s.Proxies) {
		s.Proxies[i] = p
	} else {
		s.Proxies = append(s.Proxies, p)
	}
	s.mu.Unlock()
	s.updateMembers()
	return p, nil
}

func (s *Stack) serveAdmin(p *Proxy, host rosenet.Host) error {
	listener, err := s.Network.Listen(host, "")
	if err != nil {
		return trace.Wrap(err)
	}
	p.AdminAddress = listener.Addr().String()
	p.adminServer = &http.Server{Handler: p.Daemon.Admin()}
	p.tasks.Go(func() { _ = p.adminServer.Serve(listener) })
	return nil
}

// peerAddress returns the peer address of the previous run of proxy i, if any,
// as a VM keeps its address across restarts of the proxy.
func (s *Stack) peerAddress(i int) string {
	if i < len(s.Proxies) {
		return s.Proxies[i].peerListener.Addr().String()
	}
	return ""
}

// RunningProxies returns the proxies that have not been killed or drained.
func (s *Stack) RunningProxies() []*Proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []*Proxy
	for _, p := range s.Proxies {
		if !p.down.Load() {
			running = append(running, p)
		}
	}
	return running
}

func (s *Stack) listenAddress(i int) string {
	if i < len(s.Proxies) {
		return s.Proxies[i].Address
	}
	if s.Config.Listen == "" {
		return ""
	}
	address, err := net.ResolveTCPAddr("tcp", s.Config.Listen)
	if err != nil || address.Port == 0 {
		return s.Config.Listen
	}
	address.Port += i
	return address.String()
}

// Kill closes the proxy's connections and stops it without draining, as a crash
// of its process would.
func (p *Proxy) Kill() {
	p.down.Store(true)
	p.listener.Close()
	p.stop()
}

// stop closes the daemon and the proxy's other servers, and waits for them.
func (p *Proxy) stop() {
	p.Daemon.Close()
	p.store.Close()
	p.peerListener.Close()
	_ = p.adminServer.Close()
	p.tasks.Wait()
}

// Drain shuts the proxy down gracefully.
func (p *Proxy) Drain(ctx context.Context) error {
	p.down.Store(true)
	p.listener.Close()
	err := p.Daemon.Drain(ctx)
	p.stop()
	return err
}

// Close stops the proxies, the targets, the platform and the network.
func (s *Stack) Close() {
	for _, p := range s.Proxies {
		p.Kill()
	}
	for _, g := range s.Groups {
		g.Close()
	}
	s.Platform.Close()
	s.platformTasks.Wait()
	s.Network.Close()
}

// CallerDialer returns a dialer for a client of the given name.
func (s *Stack) CallerDialer(name string) *rosenet.Dialer {
	return s.Network.Dialer(rosenet.Host{Name: name, Zone: CallerZone})
}
