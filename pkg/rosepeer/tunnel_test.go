package rosepeer_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// startMesh runs the mesh of one proxy on network until ctx ends.
func startMesh(ctx context.Context, c *qt.C, network *rosenet.Network, name, zone string, seeds ...rosemary.Member) (*rosepeer.Mesh, rosemary.Member) {
	return startMeshWithClock(ctx, c, network, name, zone, nil, seeds...)
}

func startMeshWithClock(ctx context.Context, c *qt.C, network *rosenet.Network, name, zone string, clock roseclock.Clock, seeds ...rosemary.Member) (*rosepeer.Mesh, rosemary.Member) {
	place := rosenet.Host{Name: name, Zone: zone}
	listener, err := network.Listen(place, "")
	c.Assert(err, qt.IsNil)
	member := rosemary.Member{Proxy: rosemary.ProxyID(name), Zone: rosemary.Zone(zone), Address: listener.Addr().String()}
	mesh := rosepeer.NewMesh(rosepeer.Config{
		Node:                rosepeer.NodeConfig{Self: member, Incarnation: 1},
		Dialer:              network.Dialer(place),
		Clock:               clock,
		OnEvent:             func(rosepeer.Event) {},
		OnCancel:            func(uint32, uint32) {},
		OnConnectionRequest: func(rosemary.ProxyID, rosewire.Ask) rosewire.Grant { return rosewire.Grant{} },
		OnConnectionGrant:   func(rosewire.Grant) {},
		BundlePart:          func(string) (string, bool) { return "", false },
		AllowTunnel:         func(address string) bool { return address == "target:1" },
	})
	mesh.AddMembers(seeds)
	server := &http.Server{Handler: mesh.Handler()}
	go func() { _ = server.Serve(listener) }()
	go func() {
		mesh.Run(ctx)
		_ = server.Close()
	}()
	return mesh, member
}

func TestTunnelReachesATargetThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := rosenet.NewNetwork(rosenet.Config{InMemory: true})
		ctx, cancel := context.WithCancel(context.Background())
		_, second := startMesh(ctx, c, network, "second", "b")
		first, _ := startMesh(ctx, c, network, "first", "a", second)
		target, err := network.Listen(rosenet.Host{Name: "target", Zone: "b"}, "target:1")
		c.Assert(err, qt.IsNil)
		network.SetBlocked(func(from, to rosenet.Host) bool { return from.Name == "first" && to.Name == "target" })
		time.Sleep(2 * time.Second)

		dialer := rosepeer.NewTunnelDialer(network.Dialer(rosenet.Host{Name: "first", Zone: "a"}), func() *rosepeer.Mesh { return first })
		go func() {
			conn, err := target.Accept()
			if err == nil {
				_, _ = conn.Write([]byte("hello"))
			}
		}()
		conn, err := dialer.Dial(ctx, "target:1")
		c.Assert(err, qt.IsNil)
		buffer := make([]byte, 5)
		_, err = conn.Read(buffer)
		c.Assert(err, qt.IsNil)
		c.Check(string(buffer), qt.Equals, "hello")

		// Closing the stream must not wait for a peer that has stopped
		// answering.
		network.StallStreams("second")
		started := time.Now()
		conn.Close()
		c.Check(time.Since(started), qt.Equals, time.Duration(0))

		_, err = first.Tunnel(ctx, "elsewhere:1")
		c.Check(err, qt.ErrorMatches, "no linked peer can reach elsewhere:1")
		cancel()
		target.Close()
		network.Close()
	})
}
