package rosepeer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// TestNewsReachesItsReporter guards against updates that one peer never gets, as an earlier message
// of that peer, which told nothing new, was taken for their source.
func TestNewsReachesItsReporter(t *testing.T) {
	now := time.Unix(1000, 0)
	hello := func(proxy string) rosewire.Message {
		return rosewire.Message{Hello: &rosewire.Hello{Proxy: proxy, Incarnation: 1}}
	}
	report := func(proxy string, incarnation uint64, state rosepeer.State) rosewire.Message {
		return rosewire.Message{News: &rosewire.News{Members: []rosewire.Member{{Proxy: proxy, Incarnation: incarnation, State: uint8(state)}}}}
	}
	heartbeat := func(incarnation uint64) rosewire.Message {
		return rosewire.Message{Heartbeat: &rosewire.Heartbeat{Incarnation: incarnation}}
	}
	receive := func(n *rosepeer.Node, from rosemary.ProxyID, message rosewire.Message) []rosepeer.Envelope {
		envelopes, _ := n.Receive(now, from, message)
		return envelopes
	}
	tests := []struct {
		name string
		step func(n *rosepeer.Node) []rosepeer.Envelope
	}{
		{"refutation", func(n *rosepeer.Node) []rosepeer.Envelope {
			return receive(n, "reporter", report("self", 1, rosepeer.StateSuspect))
		}},
		{"return of a member", func(n *rosepeer.Node) []rosepeer.Envelope {
			return append(receive(n, "reporter", rosewire.Message{News: &rosewire.News{}}), receive(n, "other", heartbeat(2))...)
		}},
		{"primary", func(n *rosepeer.Node) []rosepeer.Envelope {
			envelopes := receive(n, "reporter", rosewire.Message{News: &rosewire.News{}})
			n.AnnouncePrimary(rosewire.Lead{Database: "fares", Term: 2})
			return envelopes
		}},
		{"version", func(n *rosepeer.Node) []rosepeer.Envelope {
			n.SetBundleVersion(7)
			return receive(n, "reporter", report("other", 2, rosepeer.StateAlive))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := rosepeer.NewNode(rosepeer.NodeConfig{Self: rosemary.Member{Proxy: "self"}, Incarnation: 1})
			n.Receive(now, "reporter", hello("reporter"))
			n.Receive(now, "other", hello("other"))
			n.Tick(now)
			envelopes := test.step(n)
			told := make(map[rosemary.ProxyID]bool)
			due, _ := n.Tick(now.Add(time.Millisecond))
			for _, e := range append(envelopes, due...) {
				told[e.To] = told[e.To] || e.Message.News != nil
			}
			qt.Check(t, told["reporter"], qt.IsTrue)
		})
	}
}

// TestHeardVersionIsAnnounced guards against a version that goes one link far, as proxies that had
// heard of it before they had it didn't pass the news on.
func TestHeardVersionIsAnnounced(t *testing.T) {
	now := time.Unix(1000, 0)
	n := rosepeer.NewNode(rosepeer.NodeConfig{Self: rosemary.Member{Proxy: "self"}, Incarnation: 1})
	for _, peer := range []rosemary.ProxyID{"first", "second"} {
		n.Receive(now, peer, rosewire.Message{Hello: &rosewire.Hello{Proxy: string(peer), Incarnation: 1}})
	}
	n.Tick(now)
	version := uint64(7)
	n.Receive(now, "first", rosewire.Message{News: &rosewire.News{BundleVersion: &version}})
	// What this proxy doesn't have isn't to be had from it.
	qt.Check(t, *n.FullState().News.BundleVersion, qt.Equals, uint64(0))
	n.SetBundleVersion(version)
	told := false
	envelopes, _ := n.Tick(now.Add(time.Millisecond))
	for _, e := range envelopes {
		news := e.Message.News
		told = told || e.To == "second" && news != nil && news.BundleVersion != nil && *news.BundleVersion == version
	}
	qt.Check(t, told, qt.IsTrue)
}
