package rosetransfer

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// maxUploads is the number of proxies that a source sends pieces to at a time, so that
	// each has the text soon and becomes a source for others.
	maxUploads = 3
	// uploadIdleTime is how long a proxy that has been sent a piece keeps its place.
	uploadIdleTime = 300 * time.Millisecond
)

// Uploads are the proxies that a source sends pieces to. It isn't safe for concurrent use.
type Uploads struct {
	lastPiece map[rosemary.ProxyID]time.Time
}

// NewUploads returns no uploads.
func NewUploads() *Uploads { return &Uploads{lastPiece: make(map[rosemary.ProxyID]time.Time)} }

// Admit reports whether a proxy may be sent a piece now.
func (u *Uploads) Admit(now time.Time, to rosemary.ProxyID) bool {
	for id, at := range u.lastPiece {
		if now.Sub(at) > uploadIdleTime {
			delete(u.lastPiece, id)
		}
	}
	if _, admitted := u.lastPiece[to]; !admitted && len(u.lastPiece) >= maxUploads {
		return false
	}
	u.lastPiece[to] = now
	return true
}

// Finish records that a proxy has been sent its last piece.
func (u *Uploads) Finish(to rosemary.ProxyID) { delete(u.lastPiece, to) }
