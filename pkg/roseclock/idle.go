package roseclock

import (
	"context"
	"io"
	"time"
)

// progressKey is the key of a context's progress function.
type progressKey struct{}

// WithIdleTimeout returns a context that is canceled, with context.DeadlineExceeded as its cause,
// when first has passed without a call of Progress, or next after the last such call.
func WithIdleTimeout(ctx context.Context, first, next time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, progressKey{}, func() {
		if ctx.Err() == nil {
			timer.Reset(next)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// Progress tells a context of WithIdleTimeout that what is done in it goes on.
func Progress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}

// HasIdleTimeout reports whether a context is one of WithIdleTimeout.
func HasIdleTimeout(ctx context.Context) bool {
	_, ok := ctx.Value(progressKey{}).(func())
	return ok
}

// WithProgress returns a context in which Progress calls a function too.
func WithProgress(ctx context.Context, called func()) context.Context {
	outer := ctx
	return context.WithValue(ctx, progressKey{}, func() {
		Progress(outer)
		called()
	})
}

// ProgressReader returns a reader of the same bytes that calls Progress for what it has read.
func ProgressReader(ctx context.Context, reader io.Reader) io.Reader {
	return progressReader{ctx, reader}
}

type progressReader struct {
	ctx    context.Context
	reader io.Reader
}

// maxProgressBytes bounds one read. Some readers return only once the buffer is full.
const maxProgressBytes = 4 << 10

// Read reads from the underlying reader.
func (r progressReader) Read(buffer []byte) (int, error) {
	size, err := r.reader.Read(buffer[:min(len(buffer), maxProgressBytes)])
	if size > 0 {
		Progress(r.ctx)
	}
	return size, err
}
