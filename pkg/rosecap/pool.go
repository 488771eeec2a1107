package rosecap

import (
	"math"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// TeamReport is what a proxy asks a host for one team.
type TeamReport struct {
	Team string
	// Want is the number of tokens.
	Want int
}

// Pool grants a host's share of all caps. Its methods may be called concurrently.
type Pool struct {
	host   rosemary.ProxyID
	policy Policy

	mu      sync.Mutex
	teams   *roseteam.Directory
	layout  Layout
	buckets map[string]*bucket
}

// NewPool returns the pool of a host that starts.
func NewPool(host rosemary.ProxyID, policy Policy) *Pool {
	return &Pool{host: host, policy: policy, buckets: make(map[string]*bucket)}
}

// SetTeams sets the teams of the configuration in force and the layout. A place that the host
// didn't have begins with an empty bucket.
func (p *Pool) SetTeams(now time.Time, teams *roseteam.Directory, layout Layout) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.teams == teams && p.layout.Equal(layout) {
		return
	}
	p.teams, p.layout = teams, layout
	former := p.buckets
	p.buckets = make(map[string]*bucket)
	for _, t := range teams.Teams() {
		if t.Cap == nil {
			continue
		}
		b := former[t.Name]
		if b == nil {
			b = &bucket{at: now}
		}
		b.setShare(now, layout.shareOf(p.host, t, p.policy))
		p.buckets[t.Name] = b
	}
}

// Grant returns the number of tokens granted to each team of a report.
func (p *Pool) Grant(now time.Time, report []TeamReport) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	grants := make([]int, len(report))
	for i, r := range report {
		if b := p.buckets[r.Team]; b != nil {
			grants[i] = b.take(now, r.Want)
		}
	}
	return grants
}

// bucket is a token bucket.
type bucket struct {
	share  share
	tokens float64
	// at is when tokens was last worked out.
	at time.Time
}

func (b *bucket) advance(now time.Time) {
	if now.After(b.at) {
		b.tokens = min(b.tokens+b.share.rate*now.Sub(b.at).Seconds(), b.share.burst)
		b.at = now
	}
}

func (b *bucket) setShare(now time.Time, share share) {
	b.advance(now)
	b.share = share
	b.tokens = min(b.tokens, share.burst)
}

// take takes as many whole tokens as there are, up to want.
func (b *bucket) take(now time.Time, want int) int {
	b.advance(now)
	taken := min(max(want, 0), int(math.Floor(b.tokens)))
	b.tokens -= float64(taken)
	return taken
}
