package rosenode

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/roselog"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosetransfer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// pieceTimeout bounds the wait for a piece.
	pieceTimeout = time.Second
	// wholeTextTimeout bounds the wait for the text of a peer that sends no pieces.
	wholeTextTimeout = 2 * time.Second
	// arrivalPause is the longest pause between two parts of a text that is arriving.
	arrivalPause = 300 * time.Millisecond
	// arrivalCheckInterval is how often a proxy checks whether a text is still arriving.
	arrivalCheckInterval = 50 * time.Millisecond
	// storePatience is how long a text may arrive from the store before it is fetched all the
	// same from a peer that sends whole texts.
	storePatience = 2 * time.Second
	// maxFetchFailures is the number of peers that may leave a fetch unanswered before the store
	// is asked.
	maxFetchFailures = 2
)

// transfer is how this proxy gets the configuration from others, and passes it on.
type transfer struct {
	// fromStore and fromPeers are when a part of a text last arrived.
	fromStore, fromPeers arrival
	// named wakes the fetching of a version that another proxy has named.
	named chan struct{}
	// readNow has the store asked at once for a version that no known peer has.
	readNow chan struct{}

	// packing is held while a text is compressed.
	packing sync.Mutex

	mu      sync.Mutex
	sources *rosetransfer.Sources
	uploads *rosetransfer.Uploads
	// partial is what has arrived of a text that isn't whole yet.
	partial rosetransfer.Partial
	// packed is the newest text that was received or compressed.
	packed rosetransfer.Packed
	// applied is closed and replaced when a configuration comes into force.
	applied chan struct{}
}

func newTransfer() *transfer {
	return &transfer{
		sources: rosetransfer.NewSources(), uploads: rosetransfer.NewUploads(),
		named: make(chan struct{}, 1), readNow: make(chan struct{}, 1), applied: make(chan struct{}),
	}
}

// arrival is when a part of a text last arrived.
type arrival struct{ at atomic.Int64 }

func (a *arrival) record() { a.at.Store(time.Now().UnixNano()) }

// underway reports whether a text is arriving.
func (a *arrival) underway() bool { return time.Since(time.Unix(0, a.at.Load())) < arrivalPause }

func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// nameVersion records that another proxy has a version, and fetches it.
func (n *Node) nameVersion(from rosemary.ProxyID, version int64) {
	if n.hasVersion(version) {
		return
	}
	n.recordNamed(string(from), version)
	n.transfer.mu.Lock()
	n.transfer.sources.Add(from, version)
	n.transfer.mu.Unlock()
	wake(n.transfer.named)
}

// fetchNamed fetches the versions that other proxies have named, from one of them at a time.
func (n *Node) fetchNamed(ctx context.Context) {
	for {
		select {
		case <-n.transfer.named:
		case <-ctx.Done():
			return
		}
		if len(n.askedReaders()) == 0 && !roseclock.Sleep(ctx, peerFetchDelay) {
			return
		}
		n.fetchNewest(ctx)
	}
}

// fetchNewest fetches the newest version that is named until it is in force, or no known proxy has
// one.
func (n *Node) fetchNewest(ctx context.Context) {
	failures, startedAt := 0, time.Now()
	for ctx.Err() == nil {
		from, version, wait := n.nextSource()
		switch {
		case from == "" && wait == 0:
			if n.isNewerNamed() {
				wake(n.transfer.readNow)
			}
			return
		case from == "":
			roseclock.Sleep(ctx, wait)
		case n.sendsWholeText(from) && n.transfer.fromStore.underway() && time.Since(startedAt) < storePatience:
			roseclock.Sleep(ctx, arrivalCheckInterval)
		case n.fetchFrom(ctx, from, version):
			failures = 0
		default:
			failures++
		}
		if failures >= maxFetchFailures {
			wake(n.transfer.readNow)
		}
	}
}

// sendsWholeText reports whether a peer sends no pieces. Its text is as large as the one that may
// arrive from the store, and would only take the link from that.
func (n *Node) sendsWholeText(id rosemary.ProxyID) bool {
	peer, linked := n.mesh.Linked(id)
	return linked && !peer.SendsPieces
}

// nextSource returns the proxy to fetch a newer version from, or how long to wait for one; neither
// if none is named.
func (n *Node) nextSource() (from rosemary.ProxyID, version int64, wait time.Duration) {
	current := int64(0)
	if configuration := n.configuration.Load(); configuration != nil {
		current = configuration.Version
	}
	n.transfer.mu.Lock()
	defer n.transfer.mu.Unlock()
	n.transfer.sources.Forget(current)
	return n.transfer.sources.Next(time.Now(), current, n.rankSource)
}

// rankSource ranks the proxies that have a version: those on whose link something arrives, then
// those that send pieces, then those of this zone.
func (n *Node) rankSource(id rosemary.ProxyID) int {
	peer, linked := n.mesh.Linked(id)
	rank := 0
	if linked && !peer.Silent {
		rank += 4
	}
	if peer.SendsPieces {
		rank += 2
	}
	if peer.Zone == n.config.Self.Zone {
		rank++
	}
	return rank
}

// fetchFrom fetches a version from a proxy, and keeps what has arrived if that stops. It reports
// whether the proxy has answered.
func (n *Node) fetchFrom(ctx context.Context, from rosemary.ProxyID, version int64) bool {
	fetch, found := n.pieceFetcher(from)
	if !found {
		n.transfer.removeSource(from)
		return false
	}
	for !n.hasVersion(version) {
		sum, offset := n.transfer.partialChecksum()
		content, err := fetch(ctx, rosewire.PieceRequest{Version: uint64(version), Checksum: sum, Offset: uint64(offset)})
		if err != nil {
			klog.InfoS("configuration not pulled", "from", from, "version", version, "have", offset, "err", roselog.ErrorMessage(err))
			n.transfer.recordFailure(from)
			return false
		}
		if content.Piece == nil {
			n.receiveText(from, version, content.Body)
			return true
		}
		if !n.receivePiece(from, version, *content.Piece) {
			return true
		}
	}
	return true
}

// pieceFetcher returns how to fetch pieces from a proxy: on its link, or else on a connection of
// their own. It reports false if the proxy isn't known.
func (n *Node) pieceFetcher(from rosemary.ProxyID) (fetch func(context.Context, rosewire.PieceRequest) (rosewire.Content, error), found bool) {
	if peer, linked := n.mesh.Linked(from); linked {
		timeout := pieceTimeout
		if !peer.SendsPieces {
			timeout = wholeTextTimeout
		}
		return func(ctx context.Context, request rosewire.PieceRequest) (rosewire.Content, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if n.config.Omit.Pieces {
				text, err := n.mesh.FetchPart(ctx, from, "")
				return rosewire.Content{Body: text}, err
			}
			return n.mesh.FetchPiece(ctx, from, request)
		}, true
	}
	for _, m := range n.locks.Members() {
		if m.Proxy == from {
			return func(ctx context.Context, request rosewire.PieceRequest) (rosewire.Content, error) {
				return n.fetchDirectly(ctx, m.Address, request)
			}, true
		}
	}
	return nil, false
}

func (t *transfer) partialChecksum() (sum uint64, offset int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partial.Checksum()
}

func (t *transfer) recordFailure(from rosemary.ProxyID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources.RecordFailure(time.Now(), from)
}

func (t *transfer) recordBusy(from rosemary.ProxyID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources.RecordBusy(time.Now(), from)
}

func (t *transfer) removeSource(from rosemary.ProxyID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources.Remove(from)
}

// receiveText applies the text of a peer that sends no pieces.
func (n *Node) receiveText(from rosemary.ProxyID, version int64, text string) {
	if text == "" || !n.applyText(text, string(from), rosemary.Origin{}) || !n.hasVersion(version) {
		n.transfer.removeSource(from)
	}
}

// receivePiece takes over a piece, and reports whether the peer is to be asked for the next one.
func (n *Node) receivePiece(from rosemary.ProxyID, version int64, piece rosewire.Piece) bool {
	t := n.transfer
	if piece.Busy {
		t.recordBusy(from)
		return false
	}
	packed, whole, useful := rosetransfer.Packed{}, false, false
	if int64(piece.Version) >= version {
		packed, whole, useful = t.addPiece(piece)
	}
	switch {
	case !useful:
		klog.InfoS("configuration not pulled", "from", from, "version", version, "has", piece.Version, "bytes", len(piece.Data))
		t.removeSource(from)
		return false
	case whole:
		n.receivePacked(from, packed, decodeOrigin(piece))
		return false
	}
	return true
}

// addPiece adds a piece to what has arrived, and returns the text if it is whole now.
func (t *transfer) addPiece(piece rosewire.Piece) (packed rosetransfer.Packed, whole, useful bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partial, useful = t.partial.WithPiece(decodePiece(piece), maxConfigurationBytes)
	if !useful {
		return rosetransfer.Packed{}, false, false
	}
	t.fromPeers.record()
	packed, whole = t.partial.Whole()
	if whole {
		t.partial = rosetransfer.Partial{}
	}
	return packed, whole, true
}

// receivePacked applies a text that has arrived whole, and keeps it for others.
func (n *Node) receivePacked(from rosemary.ProxyID, packed rosetransfer.Packed, origin rosemary.Origin) {
	text, err := packed.Text(maxConfigurationBytes)
	if err == nil && n.applyText(text, string(from), origin) && !n.hasVersion(packed.Version) {
		err = trace.BadParameter("the text is not of version %d; fetch it from another proxy", packed.Version)
	}
	if err != nil {
		klog.ErrorS(nil, "configuration refused", "from", from, "err", roselog.ErrorMessage(err))
	}
	if !n.hasVersion(packed.Version) {
		n.transfer.removeSource(from)
		return
	}
	n.transfer.keepPacked(packed)
}

// keepPacked keeps a compressed text for others if it is the newest.
func (t *transfer) keepPacked(packed rosetransfer.Packed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if packed.Version > t.packed.Version {
		t.packed = packed
	}
}

// receiveLatePart takes over what arrives after it was given up, if it is of use all the same.
func (n *Node) receiveLatePart(from rosemary.ProxyID, content rosewire.Content) {
	switch {
	case content.Digest != "":
	case content.Body != "":
		n.applyText(content.Body, string(from), rosemary.Origin{})
	case content.Piece != nil && !n.hasVersion(int64(content.Piece.Version)):
		if packed, whole, _ := n.transfer.addPiece(*content.Piece); whole {
			n.receivePacked(from, packed, decodeOrigin(*content.Piece))
		}
	}
}

func decodePiece(piece rosewire.Piece) rosetransfer.Piece {
	return rosetransfer.Piece{
		Version: int64(piece.Version), Checksum: piece.Checksum, Size: bounded(piece.Size), Offset: bounded(piece.Offset), Data: piece.Data,
	}
}

// bounded returns a number of a peer's message, or one that is too large for any text.
func bounded(count uint64) int { return int(min(count, maxConfigurationBytes+1)) }

func decodeOrigin(piece rosewire.Piece) rosemary.Origin {
	if piece.Revision == nil || piece.Epoch == nil {
		return rosemary.Origin{}
	}
	return rosemary.Origin{Revision: int64(*piece.Revision), Epoch: *piece.Epoch}
}

// sendPiece returns a piece of the configuration in force for another proxy.
func (n *Node) sendPiece(to rosemary.ProxyID, request rosewire.PieceRequest) rosewire.Piece {
	configuration := n.configuration.Load()
	if configuration == nil {
		return rosewire.Piece{}
	}
	if uint64(configuration.Version) < request.Version {
		return rosewire.Piece{Version: uint64(configuration.Version)}
	}
	t := n.transfer
	t.mu.Lock()
	admitted := t.uploads.Admit(time.Now(), to)
	t.mu.Unlock()
	if !admitted {
		return rosewire.Piece{Version: uint64(configuration.Version), Busy: true}
	}
	packed, err := t.pack(configuration)
	if err != nil {
		klog.ErrorS(nil, "configuration not compressed", "version", configuration.Version, "err", roselog.ErrorMessage(err))
		return rosewire.Piece{}
	}
	piece, last := packed.Piece(request.Checksum, bounded(request.Offset))
	if last {
		t.mu.Lock()
		t.uploads.Finish(to)
		t.mu.Unlock()
	}
	origin := configuration.Origin
	if piece.Version != configuration.Version {
		origin = rosemary.Origin{}
	}
	return encodePiece(piece, origin)
}

// pack returns the compressed text of the configuration, which may be that of a newer one.
func (t *transfer) pack(configuration *rosemary.Configuration) (rosetransfer.Packed, error) {
	t.packing.Lock()
	defer t.packing.Unlock()
	t.mu.Lock()
	packed := t.packed
	t.mu.Unlock()
	if packed.Version >= configuration.Version {
		return packed, nil
	}
	packed, err := rosetransfer.Pack(configuration.Version, configuration.Text)
	if err != nil {
		return packed, err
	}
	klog.InfoS("configuration compressed", "version", configuration.Version, "bytes", len(configuration.Text), "compressed", packed.Size())
	t.keepPacked(packed)
	return packed, nil
}

func encodePiece(piece rosetransfer.Piece, origin rosemary.Origin) rosewire.Piece {
	encoded := rosewire.Piece{
		Version: uint64(piece.Version), Checksum: piece.Checksum, Size: uint64(piece.Size), Offset: uint64(piece.Offset), Data: piece.Data,
	}
	if origin.Revision > 0 {
		revision := uint64(origin.Revision)
		encoded.Revision, encoded.Epoch = &revision, &origin.Epoch
	}
	return encoded
}

// recordApplied wakes those that wait for a version.
func (t *transfer) recordApplied() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.applied)
	t.applied = make(chan struct{})
}

// cancelWhenApplied returns a context that is canceled, with errSuperseded as its cause, when a
// configuration comes into force while another text arrives from the store.
func (t *transfer) cancelWhenApplied(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t.mu.Lock()
	applied := t.applied
	t.mu.Unlock()
	go func() {
		select {
		case <-applied:
			if t.fromStore.underway() {
				cancel(errSuperseded)
			}
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// errSuperseded is why a read of the store ends when a peer has sent its text.
var errSuperseded = errors.New("a peer has sent the configuration")

// awaitVersion waits until a version is in force or ctx ends.
func (n *Node) awaitVersion(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		n.transfer.mu.Lock()
		applied := n.transfer.applied
		n.transfer.mu.Unlock()
		if n.hasVersion(version) {
			return
		}
		select {
		case <-applied:
		case <-ctx.Done():
		}
	}
}
