package log

import (
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// maxBufferedLines is the number of lines that are buffered while the reader is
	// slow: a few seconds of output at the per-event limits.
	maxBufferedLines = 4096
	// maxBatchBytes limits the lines that are written together. The operating
	// system writes up to this size to a pipe atomically.
	maxBatchBytes = 4 << 10
)

// AsyncWriter writes lines from a separate goroutine. If the reader of the output
// stops reading, lines are dropped and Write does not block. NewAsyncWriter
// creates one.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, maxBufferedLines), ended: make(chan struct{})}
	go b.run(out)
	return b
}

// Write implements io.Writer. It expects whole lines, and drops the line if the
// buffer is full. It does not return an error.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close ends the writer. The returned channel is closed when the remaining lines
// are written, which does not happen if the reader has stopped reading. Write must
// not be called after Close.
func (b *AsyncWriter) Close() <-chan struct{} {
	close(b.lines)
	return b.ended
}

func (b *AsyncWriter) run(out io.Writer) {
	defer close(b.ended)
	for line := range b.lines {
		batch := line
		for {
			next, ok := b.tryReceive()
			if !ok {
				break
			}
			if len(batch)+len(next) > maxBatchBytes {
				b.flush(out, batch)
				batch = nil
			}
			batch = append(batch, next...)
		}
		b.flush(out, batch)
	}
}

// flush writes a batch of lines, and a line with the number of dropped lines if
// there are any.
func (b *AsyncWriter) flush(out io.Writer, batch []byte) {
	// An error is ignored, because there is no other place to report it.
	_, _ = out.Write(batch)
	if dropped := b.dropped.Swap(0); dropped > 0 {
		_, _ = out.Write([]byte(`{"level":"WARN","msg":"lines-dropped","count":` + strconv.FormatInt(dropped, 10) + "}\n"))
	}
}

// tryReceive returns a buffered line without blocking, and whether there was one.
func (b *AsyncWriter) tryReceive() ([]byte, bool) {
	select {
	case line, open := <-b.lines:
		return line, open
	default:
		return nil, false
	}
}
