package log

import (
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// bufferLines is the number of lines that wait for a reader that is slow: a
	// few seconds of them at the limits of the events.
	bufferLines = 4096
	// batchBytes bounds the lines that are written together: the system writes
	// as much to a pipe in one piece.
	batchBytes = 4 << 10
)

// AsyncWriter writes lines behind the caller's back: a reader that stops reading costs
// lines, and never blocks. NewAsyncWriter makes one.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewAsyncWriter returns a buffer that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, bufferLines), ended: make(chan struct{})}
	go b.run(out)
	return b
}

// Write implements io.Writer. It takes whole lines, and drops one where the
// buffer is full.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is left, unless the reader has stopped, and ends the buffer.
// Nothing may be written after it.
func (b *AsyncWriter) Close() <-chan struct{} {
	close(b.lines)
	return b.ended
}

func (b *AsyncWriter) run(out io.Writer) {
	defer close(b.ended)
	for line := range b.lines {
		batch := line
		for {
			next, more := b.poll()
			if !more {
				break
			}
			if len(batch)+len(next) > batchBytes {
				b.flush(out, batch)
				batch = nil
			}
			batch = append(batch, next...)
		}
		b.flush(out, batch)
	}
}

// flush writes lines, and tells how many were dropped.
func (b *AsyncWriter) flush(out io.Writer, batch []byte) {
	// Standard output that is closed leaves nobody to tell.
	_, _ = out.Write(batch)
	if dropped := b.dropped.Swap(0); dropped > 0 {
		_, _ = out.Write([]byte(`{"level":"WARN","msg":"lines-dropped","count":` + strconv.FormatInt(dropped, 10) + "}\n"))
	}
}

// poll returns a line that waits, and whether there was one.
func (b *AsyncWriter) poll() ([]byte, bool) {
	select {
	case line, open := <-b.lines:
		return line, open
	default:
		return nil, false
	}
}
