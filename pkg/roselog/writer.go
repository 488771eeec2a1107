// Package roselog provides non-blocking log output. Lines are buffered while
// the output is slow; lines that exceed the buffer are dropped and counted.
package roselog

import (
	"fmt"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// maxPendingBytes is the size limit of the buffered lines.
const maxPendingBytes = 256 << 10

// Writer writes lines to an output without blocking the callers of Write.
type Writer struct {
	output io.Writer
	wake   chan struct{}

	mu              sync.Mutex
	pending         []byte
	unreportedDrops uint64
	droppedTotal    uint64
	idle            *sync.Cond
	writing         bool
}

// NewWriter returns a writer that buffers lines until Run writes them.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1)}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never blocks
// and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.unreportedDrops++
		w.droppedTotal++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes buffered lines to the output. It never returns.
func (w *Writer) Run() {
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		lines := w.pending
		dropped := w.unreportedDrops
		w.pending, w.unreportedDrops, w.writing = spare[:0], 0, true
		w.mu.Unlock()
		if dropped > 0 {
			lines = fmt.Appendf(lines, "log lines left out: count=%d\n", dropped)
		}
		_, _ = w.output.Write(lines)
		spare = lines
		w.mu.Lock()
		w.writing = false
		w.idle.Broadcast()
		w.mu.Unlock()
	}
}

// Flush waits until all buffered lines have been written.
func (w *Writer) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 || w.writing {
		w.idle.Wait()
	}
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// ErrorMessage formats an error for a log line: its message without the stack trace.
func ErrorMessage(err error) string {
	if err == nil {
		return ""
	}
	return trace.UserMessage(err)
}
