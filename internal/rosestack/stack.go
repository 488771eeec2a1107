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

// Config sets up a Stack.
type Config struct {
	Deployment Deployment
	InMemory   bool
	// WithoutProxies starts the stand-ins alone.
	WithoutProxies bool
	// Listen is where the first proxy listens; the others take the ports
	// after it. Empty takes free ports.
	Listen   string
	Baseline rosedaemon.Baseline
}

// Stack is a running deployment.
type Stack struct {
	Config        Config
	Network       *rosenet.Network
	Clusters      map[string]*rosetarget.Cluster
	Proxies       []*Proxy
	BundleContent *rosebundle.Content
	// Platform is the stand-in key-value service and VM list.
	Platform     *rosekv.Server
	platformAt   string
	platformDone sync.WaitGroup
	keys         *rosesession.Keys
	mu           sync.Mutex
}

// Proxy is one running proxy of the stack.
type Proxy struct {
	Name     string
	Zone     string
	Address  string
	Daemon   *rosedaemon.Daemon
	listener net.Listener
	peers    net.Listener
	admin    *http.Server
	// AdminAddress is where operators' requests go.
	AdminAddress string
	store        *rosestore.Client
	tasks        sync.WaitGroup
	down         atomic.Bool
}

// startTimeout bounds the wait for a stack to serve.
const startTimeout = 20 * time.Second

// Start starts targets and proxies, and fills the tables.
func Start(ctx context.Context, config Config) (*Stack, error) {
	deployment := config.Deployment
	s := &Stack{
		Config:   config,
		Network:  rosenet.NewNetwork(rosenet.Config{Delay: deployment.delay, InMemory: config.InMemory}),
		Clusters: make(map[string]*rosetarget.Cluster),
	}
	keys, err := rosesession.NewKeys([]byte(demonstrationKey))
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
	s.BundleContent = s.content()
	if err := s.proposeFirst(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, name := range deployment.Databases {
		if err := s.fill(ctx, name); err != nil {
			return nil, err
		}
	}
	for i := range s.proxies() {
		if _, err := s.StartProxy(i); err != nil {
			return nil, err
		}
	}
	s.Platform.PublishMembers()
	return s, s.awaitReady(ctx)
}

func (s *Stack) proxies() int {
	if s.Config.WithoutProxies {
		return 0
	}
	return s.Config.Deployment.Proxies
}

// awaitReady waits until every proxy serves.
func (s *Stack) awaitReady(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for _, p := range s.Proxies {
		for !p.Daemon.Ready() || p.Daemon.Peers() < len(s.Proxies)-1 {
			time.Sleep(poll)
			if ctx.Err() != nil {
				return trace.ConnectionProblem(ctx.Err(), "%s did not get ready", p.Name)
			}
		}
	}
	return nil
}

// platformPlace is where the platform's services are.
var platformPlace = rosenet.Host{Name: "platform", Zone: "platform"}

// rosterLag is how far the platform's VM list is behind.
const rosterLag = 2 * time.Second

func (s *Stack) startPlatform() error {
	listener, err := s.Network.Listen(platformPlace, "")
	if err != nil {
		return trace.Wrap(err)
	}
	s.Platform = rosekv.NewServer(rosterLag)
	s.platformAt = listener.Addr().String()
	s.platformDone.Go(func() { s.Platform.Serve(listener) })
	return nil
}

// listMembers gives the platform the list of VMs that run.
func (s *Stack) listMembers() {
	var members []rosemary.Member
	for _, p := range s.RunningProxies() {
		members = append(members, rosemary.Member{
			Proxy:   rosemary.ProxyID(p.Name),
			Zone:    rosemary.Zone(p.Zone),
			Address: p.peers.Addr().String(),
		})
	}
	s.Platform.SetMembers(members)
}

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
		cluster := rosetarget.NewCluster(s.Network, configs)
		s.Clusters[name] = cluster
		for _, c := range configs {
			if err := cluster.Target(c.ID).Start(); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// content returns the configuration that the proxies start with.
func (s *Stack) content() *rosebundle.Content {
	d := s.Config.Deployment
	content := &rosebundle.Content{Classes: d.Classes, Tenants: d.Tenants}
	for i, name := range d.Databases {
		database := rosebundle.Database{Name: name, Slots: d.Slots, Connections: d.MaxConnections}
		for j := range d.Zones {
			id := fmt.Sprintf("%s-%d", name, j+1)
			database.Targets = append(database.Targets, rosebundle.Target{
				ID:      id,
				Address: s.Clusters[name].Target(rosemary.TargetID(id)).Address(),
				Zone:    d.Zones[(i+j)%len(d.Zones)],
			})
		}
		content.Databases = append(content.Databases, database)
	}
	return content
}

// fill makes the tables of one database.
func (s *Stack) fill(ctx context.Context, name string) error {
	d := s.Config.Deployment
	id := rosemary.TargetID(name + "-1")
	target := rosemary.Target{ID: id, Address: s.Clusters[name].Target(id).Address()}
	dialer := s.Network.Dialer(rosenet.Host{Name: "setup", Zone: d.Zones[0]})
	conn, err := rosepool.Open(ctx, dialer, target, rosepool.Credentials{User: "setup", Database: name})
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close()
	for _, statement := range append(append([]string{}, d.Schema...), d.Seed...) {
		if _, err := conn.Query(ctx, statement); err != nil {
			return trace.Wrap(err, "fill %s", name)
		}
	}
	return nil
}

// StartProxy starts proxy i, again if it ran before.
func (s *Stack) StartProxy(i int) (*Proxy, error) {
	d := s.Config.Deployment
	p := &Proxy{Name: fmt.Sprintf("proxy-%d", i+1), Zone: d.Zones[i%len(d.Zones)]}
	place := rosenet.Host{Name: p.Name, Zone: p.Zone}
	listener, err := s.Network.Listen(place, s.listenAddress(i))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.listener = listener
	if p.peers, err = s.Network.Listen(place, s.peerAddress(i)); err != nil {
		return nil, trace.Wrap(err)
	}
	dialer := s.Network.Dialer(place)
	p.store = rosestore.NewClient(rosestore.Config{Address: s.platformAt, Dialer: dialer})
	p.Daemon = rosedaemon.New(rosedaemon.Config{
		Name:         rosemary.ProxyID(p.Name),
		Zone:         rosemary.Zone(p.Zone),
		Proxies:      d.Proxies,
		Dialer:       dialer,
		Keys:         s.keys,
		TargetUser:   "rosemary",
		PeerAddress:  p.peers.Addr().String(),
		Store:        p.store,
		Operators:    s.operators(),
		MemberSource: rosestore.NewMemberSource(p.store),
		Baseline:     s.Config.Baseline,
	})
	p.Address = listener.Addr().String()
	p.tasks.Go(func() { _ = p.Daemon.Serve(listener) })
	p.tasks.Go(func() { _ = p.Daemon.ServePeers(p.peers) })
	if err := s.serveAdmin(p, place); err != nil {
		return nil, err
	}
	s.mu.Lock()
	if i < len(s.Proxies) {
		s.Proxies[i] = p
	} else {
		s.Proxies = append(s.Proxies, p)
	}
	s.mu.Unlock()
	s.listMembers()
	return p, nil
}

func (s *Stack) serveAdmin(p *Proxy, place rosenet.Host) error {
	listener, err := s.Network.Listen(place, "")
	if err != nil {
		return trace.Wrap(err)
	}
	p.AdminAddress = listener.Addr().String()
	p.admin = &http.Server{Handler: p.Daemon.Admin()}
	p.tasks.Go(func() { _ = p.admin.Serve(listener) })
	return nil
}

// peerAddress returns where proxy i took peers before, as a VM that restarts
// keeps its address.
func (s *Stack) peerAddress(i int) string {
	if i < len(s.Proxies) {
		return s.Proxies[i].peers.Addr().String()
	}
	return ""
}

// RunningProxies lists the proxies that accept callers.
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

// Kill ends the proxy at once, as the death of its VM would.
func (p *Proxy) Kill() {
	p.down.Store(true)
	p.listener.Close()
	p.stop()
}

// stop ends what remains of the proxy.
func (p *Proxy) stop() {
	p.Daemon.Close()
	p.store.Close()
	p.peers.Close()
	_ = p.admin.Close()
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

// Close ends the stack.
func (s *Stack) Close() {
	for _, p := range s.Proxies {
		p.Kill()
	}
	for _, c := range s.Clusters {
		c.Close()
	}
	s.Platform.Close()
	s.platformDone.Wait()
	s.Network.Close()
}

// CallerDialer returns a dialer for a caller of that name.
func (s *Stack) CallerDialer(name string) *rosenet.Dialer {
	return s.Network.Dialer(rosenet.Host{Name: name, Zone: CallerZone})
}
