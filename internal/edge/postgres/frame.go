// Package postgres cuts a byte stream of the PostgreSQL wire protocol 3 into
// frames.
//
// # What flows in and out
//
// The bytes of a connection flow in, whole frames flow out: a type byte, the
// length, and the body as it came. The bodies are decoded and written by
// pgproto3; a frame that only has to be passed on is never decoded. pgproto3's
// own Backend and Frontend are not used to read, for two reasons: each holds a
// buffer of 8 KiB for as long as the connection lives, also while it is idle,
// and each decodes every row.
//
// A Reader survives a timeout in the middle of a frame: the bytes read so far
// stay, and the next call goes on from there.
//
// # Usage
//
//	reader := postgres.NewReader(conn, 1<<20)
//	frame, err := reader.Next()
//	if frame.Type == 'Q' {
//		var query pgproto3.Query
//		err = query.Decode(frame.Body())
//	}
package postgres

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"
)

const (
	// HeaderSize is the size of a frame's type and length, in bytes.
	HeaderSize = 5
	// lengthSize is the size of the length of a startup packet, in bytes.
	lengthSize = 4
	// idleSize is what a Reader keeps while nothing is buffered, in bytes.
	idleSize = 512
	// bufferSize is the size of the pooled buffers, in bytes.
	bufferSize = 16 << 10
	// startupLimit is the greatest startup packet, in bytes.
	startupLimit = 10_000
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferSize)
	return &buffer
}}

// Frame is one message as it stands on the wire. It is valid until the next
// call of its Reader.
type Frame struct {
	Type byte
	// Raw holds the type, the length and the body.
	Raw []byte
}

// Body returns what follows the length.
func (f Frame) Body() []byte { return f.Raw[HeaderSize:] }

// SizeError reports a frame whose length is impossible or above the limit.
type SizeError struct {
	Type  byte
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame %q of %d bytes, allowed are 4 to %d", e.Type, e.Size, e.Limit)
}

// Reader cuts a stream into frames. It is for one goroutine at a time.
type Reader struct {
	source io.Reader
	limit  int
	keep   bool
	idle   []byte
	buffer []byte
	pooled *[]byte
	start  int
	end    int
	reads  uint64
}

// NewReader returns a Reader of source that refuses frames above limit bytes.
// It keeps a small buffer only while nothing is buffered.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: source, limit: limit, idle: make([]byte, idleSize)}
}

// NewRetainingReader returns a Reader that keeps its whole buffer also while it is
// idle, for connections that are few and busy.
func NewRetainingReader(source io.Reader, limit int) *Reader {
	return &Reader{source: source, limit: limit, keep: true}
}

// SetSource changes where the bytes come from, for a connection that goes on
// under TLS. Nothing may be buffered.
func (r *Reader) SetSource(source io.Reader) { r.source = source }

// SetLimit changes the greatest frame, in bytes.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Buffered returns the number of bytes that were read but not taken yet.
func (r *Reader) Buffered() int { return r.end - r.start }

// ReadCount counts the reads that brought bytes. It tells whether anything has
// arrived since it was asked before.
func (r *Reader) ReadCount() uint64 { return r.reads }

// HasFrame reports whether Next would return without a read.
func (r *Reader) HasFrame() bool {
	size, whole := r.frameSize()
	return whole && size >= HeaderSize && r.Buffered() >= size
}

// Next returns the next frame. Its errors are a *SizeError, after which the
// stream is of no more use, or those of the source; after a timeout it may be
// called again.
func (r *Reader) Next() (Frame, error) {
	for {
		size, known := r.frameSize()
		if known && (size < HeaderSize || size > r.limit) {
			return Frame{}, &SizeError{Type: r.buffer[r.start], Size: size - 1, Limit: r.limit}
		}
		if known && r.Buffered() >= size {
			raw := r.buffer[r.start : r.start+size : r.start+size]
			r.start += size
			return Frame{Type: raw[0], Raw: raw}, nil
		}
		err := r.Fill()
		if err != nil {
			return Frame{}, err
		}
	}
}

// NextStartupPacket returns the body of a startup packet, which has no type byte.
func (r *Reader) NextStartupPacket() ([]byte, error) {
	for {
		if r.Buffered() >= lengthSize {
			size := int(int32(binary.BigEndian.Uint32(r.buffer[r.start:])))
			if size < 2*lengthSize || size > startupLimit {
				return nil, &SizeError{Size: size, Limit: startupLimit}
			}
			if r.Buffered() >= size {
				body := r.buffer[r.start+lengthSize : r.start+size : r.start+size]
				r.start += size
				return body, nil
			}
		}
		err := r.Fill()
		if err != nil {
			return nil, err
		}
	}
}

// Fill reads once from the source and keeps what came. A frame returned before
// is no longer valid.
func (r *Reader) Fill() error {
	if r.Buffered() == 0 {
		r.rest()
	}
	if r.buffer == nil {
		return r.fillIdle()
	}
	r.makeRoom()
	n, err := r.source.Read(r.buffer[r.end:])
	return r.took(n, err)
}

// Close gives the buffers back. The Reader is of no more use.
func (r *Reader) Close() {
	r.keep = false
	r.start = r.end
	r.rest()
}

// -----------------------------------------------------------------------------
// Buffers.

func (r *Reader) fillIdle() error {
	if r.keep {
		r.take()
		n, err := r.source.Read(r.buffer)
		return r.took(n, err)
	}
	n, err := r.source.Read(r.idle)
	if n > 0 {
		r.take()
		copy(r.buffer, r.idle[:n])
	}
	return r.took(n, err)
}

func (r *Reader) took(n int, err error) error {
	r.end += n
	if n > 0 {
		r.reads++
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

func (r *Reader) take() {
	r.pooled = buffers.Get().(*[]byte)
	r.buffer = *r.pooled
	r.start, r.end = 0, 0
}

// rest gives up the buffer of an empty reader, or rewinds it.
func (r *Reader) rest() {
	r.start, r.end = 0, 0
	if r.keep && r.pooled != nil {
		return
	}
	if r.pooled != nil {
		buffers.Put(r.pooled)
	}
	r.pooled = nil
	r.buffer = nil
}

// makeRoom moves what is buffered to the front, and doubles the buffer where it
// is full: memory grows with what arrived, not with what a length promises.
func (r *Reader) makeRoom() {
	if r.end < len(r.buffer) {
		return
	}
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
		return
	}
	grown := make([]byte, 2*len(r.buffer))
	copy(grown, r.buffer[:r.end])
	if r.pooled != nil {
		buffers.Put(r.pooled)
		r.pooled = nil
	}
	r.buffer = grown
}

func (r *Reader) frameSize() (int, bool) {
	if r.Buffered() < HeaderSize {
		return 0, false
	}
	return 1 + int(int32(binary.BigEndian.Uint32(r.buffer[r.start+1:]))), true
}
