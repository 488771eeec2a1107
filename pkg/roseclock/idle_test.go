package roseclock_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

func TestIdleTimeout(t *testing.T) {
	const first, next = 500 * time.Millisecond, 300 * time.Millisecond
	tests := []struct {
		name string
		// progress are the times of progress, in milliseconds, and end when the context ends.
		progress []int
		end      time.Duration
	}{
		{"none", nil, first},
		{"goes on", []int{400, 600, 800}, 800*time.Millisecond + next},
		{"stops", []int{100}, 100*time.Millisecond + next},
		{"too late", []int{600}, first},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started, called := time.Now(), 0
				ctx, cancel := roseclock.WithIdleTimeout(t.Context(), first, next)
				defer cancel()
				counted := roseclock.WithProgress(ctx, func() { called++ })
				for _, at := range test.progress {
					time.Sleep(time.Duration(at)*time.Millisecond - time.Since(started))
					roseclock.Progress(counted)
				}
				qt.Check(t, called, qt.Equals, len(test.progress))
				<-ctx.Done()
				qt.Check(t, context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
				if test.name != "too late" {
					qt.Check(t, time.Since(started), qt.Equals, test.end)
				}
			})
		})
	}
}

// fullReader returns only once the buffer is full, at a rate of bytes per second.
type fullReader struct{ rate int }

// Read fills the buffer.
func (r fullReader) Read(buffer []byte) (int, error) {
	time.Sleep(time.Duration(len(buffer)) * time.Second / time.Duration(r.rate))
	return len(buffer), nil
}

// TestProgressOfFullReads guards against a call that is given up while its answer arrives, as one
// read of a large buffer takes longer than the answer may pause.
func TestProgressOfFullReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := roseclock.WithIdleTimeout(t.Context(), 500*time.Millisecond, 500*time.Millisecond)
		defer cancel()
		_, err := io.ReadFull(roseclock.ProgressReader(ctx, fullReader{250_000}), make([]byte, 1<<20))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, ctx.Err(), qt.IsNil)
	})
}
