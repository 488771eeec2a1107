package rosetransfer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosetransfer"
)

const maxBytes = 16 << 20

// text returns a text that doesn't compress to nothing.
func text(lines int) string {
	var b strings.Builder
	for n := range lines {
		fmt.Fprintf(&b, "line %d %08x\n", n, uint32(n)*2654435761)
	}
	return b.String()
}

func pack(c *qt.C, version int64, text string) rosetransfer.Packed {
	packed, err := rosetransfer.Pack(version, text)
	c.Assert(err, qt.IsNil)
	return packed
}

func TestTextInPieces(t *testing.T) {
	for _, lines := range []int{0, 1, 10_000, 100_000} {
		c := qt.New(t)
		sent := text(lines)
		packed := pack(c, 7, sent)
		partial, pieces := rosetransfer.Partial{}, 0
		for last := false; !last; pieces++ {
			var piece rosetransfer.Piece
			piece, last = packed.Piece(partial.Checksum())
			c.Assert(len(piece.Data) <= rosetransfer.PieceBytes, qt.IsTrue)
			var useful bool
			partial, useful = partial.WithPiece(piece, maxBytes)
			c.Assert(useful, qt.IsTrue)
		}
		whole, ok := partial.Whole()
		c.Assert(ok, qt.IsTrue)
		received, err := whole.Text(maxBytes)
		c.Check(err, qt.IsNil)
		c.Check(received == sent, qt.IsTrue)
		c.Check(pieces, qt.Equals, (packed.Size()+rosetransfer.PieceBytes-1)/rosetransfer.PieceBytes)
	}
}

// TestPieceOfAnotherText has each kind of piece arrive when the first one of a text is there.
func TestPieceOfAnotherText(t *testing.T) {
	c := qt.New(t)
	packed, newer := pack(c, 7, text(20_000)), pack(c, 8, text(30_000))
	first, _ := packed.Piece(0, 0)
	second, _ := packed.Piece(packed.Checksum, rosetransfer.PieceBytes)
	third, _ := packed.Piece(packed.Checksum, 2*rosetransfer.PieceBytes)
	other, _ := newer.Piece(packed.Checksum, rosetransfer.PieceBytes)
	middle, _ := newer.Piece(newer.Checksum, rosetransfer.PieceBytes)
	huge := first
	huge.Size = maxBytes + 1
	outside := second
	outside.Size = rosetransfer.PieceBytes + 1
	tests := []struct {
		name   string
		piece  rosetransfer.Piece
		useful bool
		// offset is how much there is then.
		offset int
	}{
		{"next", second, true, 2 * rosetransfer.PieceBytes},
		{"again", first, false, rosetransfer.PieceBytes},
		{"one left out", third, false, rosetransfer.PieceBytes},
		{"first of a newer text", other, true, rosetransfer.PieceBytes},
		{"middle of a newer text", middle, false, rosetransfer.PieceBytes},
		{"none", rosetransfer.Piece{Version: 9}, false, rosetransfer.PieceBytes},
		{"too large", huge, false, rosetransfer.PieceBytes},
		{"beyond its size", outside, false, rosetransfer.PieceBytes},
	}
	for _, test := range tests {
		partial, _ := rosetransfer.Partial{}.WithPiece(first, maxBytes)
		partial, useful := partial.WithPiece(test.piece, maxBytes)
		_, offset := partial.Checksum()
		c.Check(useful, qt.Equals, test.useful, qt.Commentf("%s", test.name))
		c.Check(offset, qt.Equals, test.offset, qt.Commentf("%s", test.name))
	}
}

func TestDamagedText(t *testing.T) {
	c := qt.New(t)
	packed := pack(c, 7, text(100))
	piece, _ := packed.Piece(0, 0)
	damaged := piece
	damaged.Data = append([]byte{}, piece.Data...)
	damaged.Data[10] ^= 1
	partial, _ := rosetransfer.Partial{}.WithPiece(damaged, maxBytes)
	whole, _ := partial.Whole()
	_, err := whole.Text(maxBytes)
	c.Check(err, qt.ErrorMatches, ".*arrived damaged; fetch it again")
	_, err = packed.Text(99)
	c.Check(err, qt.ErrorMatches, ".*over 99 bytes; shorten it")
}

// TestFewUploads has a source send to a few at a time, and to the next ones once a place is free.
func TestFewUploads(t *testing.T) {
	c := qt.New(t)
	uploads, now := rosetransfer.NewUploads(), time.Unix(1000, 0)
	for _, id := range []rosemary.ProxyID{"a", "b", "c", "a"} {
		c.Check(uploads.Admit(now, id), qt.IsTrue)
	}
	c.Check(uploads.Admit(now, "d"), qt.IsFalse)
	uploads.Finish("b")
	c.Check(uploads.Admit(now, "d"), qt.IsTrue)
	c.Check(uploads.Admit(now, "b"), qt.IsFalse)
	later := now.Add(time.Second)
	c.Check(uploads.Admit(later, "b"), qt.IsTrue)
}

func TestSources(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	rank := func(id rosemary.ProxyID) int { return map[rosemary.ProxyID]int{"near": 1}[id] }
	sources := rosetransfer.NewSources()
	check := func(at time.Time, wantID rosemary.ProxyID, wantVersion int64) {
		c.Helper()
		id, version, wait := sources.Next(at, 6, rank)
		c.Check(id, qt.Equals, wantID)
		c.Check(version, qt.Equals, wantVersion)
		c.Check(wait, qt.Equals, time.Duration(0))
	}
	check(now, "", 0)
	sources.Add("ancient", 6)
	check(now, "", 0)
	sources.Add("far", 9)
	sources.Add("near", 9)
	sources.Add("near", 8)
	check(now, "near", 9)
	sources.RecordBusy(now, "near")
	check(now, "far", 9)
	sources.RecordFailure(now, "far")
	_, _, wait := sources.Next(now, 6, rank)
	c.Check(wait > 0 && wait < time.Second, qt.IsTrue)
	check(now.Add(wait), "near", 9)
	sources.Add("old", 7)
	id, _, _ := sources.Next(now, 6, rank)
	c.Check(id, qt.Equals, rosemary.ProxyID(""))
	// A silent source of the newest version mustn't keep an older one from being fetched.
	sources.Remove("near")
	check(now, "old", 7)
	check(now.Add(2*time.Second), "far", 9)
	sources.Forget(9)
	check(now.Add(2*time.Second), "", 0)
}
