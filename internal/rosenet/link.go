package rosenet

import "time"

// maxWindowChunks bounds the chunks in flight per direction of a stream to or from a host with a
// limited bandwidth, as TCP's windows do.
const maxWindowChunks = 4

// link is the link of a host with a limited bandwidth. Its streams share it.
type link struct {
	// sentAt is when all that was sent so far has left the host, and receivedAt when all that
	// was sent to it so far has arrived.
	sentAt, receivedAt time.Time
}

// limited reports whether the bandwidth between two hosts is limited.
func (n *Network) limited(sender, receiver Host) bool {
	return n.config.Bandwidth(sender) > 0 || n.config.Bandwidth(receiver) > 0
}

// deliveryTime returns when data that is sent now arrives.
func (n *Network) deliveryTime(sender, receiver Host, size int, delay time.Duration) time.Time {
	now := time.Now()
	sends, receives := n.config.Bandwidth(sender), n.config.Bandwidth(receiver)
	n.mu.Lock()
	defer n.mu.Unlock()
	at := now
	if sends > 0 {
		l := n.linkOf(sender)
		l.sentAt = latest(l.sentAt, now).Add(transferTime(size, sends))
		at = l.sentAt
	}
	at = at.Add(delay)
	if receives > 0 {
		l := n.linkOf(receiver)
		l.receivedAt = latest(l.receivedAt, at).Add(transferTime(size, receives))
		at = l.receivedAt
	}
	return at
}

// linkOf returns the link of a host. n.mu must be held.
func (n *Network) linkOf(host Host) *link {
	l := n.links[host.Name]
	if l == nil {
		l = &link{}
		n.links[host.Name] = l
	}
	return l
}

// countReceived counts bytes that a host has received.
func (n *Network) countReceived(host Host, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received[host.Name] += size
}

// Received returns the number of bytes that the host has received so far.
func (n *Network) Received(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[host]
}

func transferTime(size, bandwidth int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(bandwidth)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
