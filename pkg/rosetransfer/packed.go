// Package rosetransfer passes a text on between proxies: compressed, in pieces, by few at a time
// from each source, and with pieces that one source has sent kept for the next. It decides; it
// sends and waits for nothing.
package rosetransfer

import (
	"bytes"
	"compress/flate"
	"hash/fnv"
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// PieceBytes is the size of a piece. Other messages on the same link wait no longer than for one.
const PieceBytes = 16 << 10

// Packed is a compressed text of a version. It is immutable.
type Packed struct {
	Version  int64
	Checksum uint64
	data     []byte
}

// Pack compresses a text.
func Pack(version int64, text string) (Packed, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return Packed{}, trace.Wrap(err)
	}
	if _, err := io.Copy(writer, strings.NewReader(text)); err != nil {
		return Packed{}, trace.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return Packed{}, trace.Wrap(err)
	}
	return Packed{Version: version, Checksum: checksum(compressed.Bytes()), data: compressed.Bytes()}, nil
}

// Size returns the number of compressed bytes.
func (p Packed) Size() int { return len(p.data) }

// Piece returns the piece at an offset, and whether it is the last one. A checksum other than that
// of the text stands for another text, and gets the first piece.
func (p Packed) Piece(sum uint64, offset int) (piece Piece, last bool) {
	if sum != p.Checksum || offset < 0 || offset >= len(p.data) {
		offset = 0
	}
	end := min(offset+PieceBytes, len(p.data))
	return Piece{Version: p.Version, Checksum: p.Checksum, Size: len(p.data), Offset: offset, Data: p.data[offset:end]}, end == len(p.data)
}

// Text returns the text. The error is a trace.BadParameter if it is longer than maxBytes or isn't
// whole.
func (p Packed) Text(maxBytes int64) (string, error) {
	if checksum(p.data) != p.Checksum {
		return "", trace.BadParameter("the text of version %d arrived damaged; fetch it again", p.Version)
	}
	var text strings.Builder
	size, err := io.Copy(&text, io.LimitReader(flate.NewReader(bytes.NewReader(p.data)), maxBytes+1))
	if err != nil {
		return "", trace.BadParameter("the text of version %d can't be decompressed: %v; fetch it again", p.Version, err)
	}
	if size > maxBytes {
		return "", trace.BadParameter("the text of version %d has over %d bytes; shorten it", p.Version, maxBytes)
	}
	return text.String(), nil
}

// Piece is a part of a compressed text.
type Piece struct {
	Version  int64
	Checksum uint64
	// Size is that of the whole compressed text.
	Size   int
	Offset int
	Data   []byte
}

// Partial is the beginning of a compressed text. The zero value is that of none.
type Partial struct {
	version  int64
	checksum uint64
	size     int
	data     []byte
}

// Checksum returns that of the text, and how much of it there is.
func (p Partial) Checksum() (sum uint64, offset int) { return p.checksum, len(p.data) }

// WithPiece returns what there is with a piece in addition, and whether that was of use: the next
// one of this text, or the first one of another. maxBytes bounds the size of the compressed text.
func (p Partial) WithPiece(piece Piece, maxBytes int) (Partial, bool) {
	if len(piece.Data) == 0 || piece.Size > maxBytes || piece.Offset+len(piece.Data) > piece.Size {
		return p, false
	}
	same := len(p.data) > 0 && piece.Checksum == p.checksum && piece.Size == p.size
	switch {
	case same && piece.Offset == len(p.data):
		p.data = append(p.data, piece.Data...)
		return p, true
	case same || piece.Offset != 0:
		return p, false
	}
	data := append(make([]byte, 0, min(piece.Size, 4*PieceBytes)), piece.Data...)
	return Partial{version: piece.Version, checksum: piece.Checksum, size: piece.Size, data: data}, true
}

// Whole returns the compressed text if all of it is there.
func (p Partial) Whole() (Packed, bool) {
	if p.size == 0 || len(p.data) < p.size {
		return Packed{}, false
	}
	return Packed{Version: p.version, Checksum: p.checksum, data: p.data}, true
}

func checksum(data []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(data)
	return hash.Sum64()
}
