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
	// HeaderSize is the size of the type and length of a frame, in bytes.
	HeaderSize = 5
	// lengthFieldSize is the size of the length field of a startup packet, in
	// bytes.
	lengthFieldSize = 4
	// idleBufferSize is the size of the buffer that a Reader keeps while
	// nothing is buffered, in bytes.
	idleBufferSize = 512
	// bufferSize is the size of the pooled buffers, in bytes.
	bufferSize = 16 << 10
	// maxStartupPacketSize is the maximum size of a startup packet, in bytes.
	maxStartupPacketSize = 10_000
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, bufferSize)
	return &buffer
}}

// Frame is one message as encoded on the wire. It is valid until the next call
// of its Reader.
type Frame struct {
	Type byte
	// Raw holds the type, the length and the body.
	Raw []byte
}

// Body returns the bytes after the length.
func (f Frame) Body() []byte { return f.Raw[HeaderSize:] }

// SizeError reports a frame whose length is invalid or above the limit.
type SizeError struct {
	Type  byte
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame %q of %d bytes, allowed are 4 to %d", e.Type, e.Size, e.Limit)
}

// Reader splits a stream into frames. It is not safe for concurrent use.
type Reader struct {
	source      io.Reader
	limit       int
	retain      bool
	idleBuffer  []byte
	buffer      []byte
	pooled      *[]byte
	unreadStart int
	unreadEnd   int
	readCount   uint64
}

// NewReader returns a Reader of source that rejects frames above limit bytes.
// It keeps only a small buffer while nothing is buffered.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: source, limit: limit, idleBuffer: make([]byte, idleBufferSize)}
}

// NewRetainingReader returns a Reader that keeps its full buffer while idle,
// for connections that are few and busy.
func NewRetainingReader(source io.Reader, limit int) *Reader {
	return &Reader{source: source, limit: limit, retain: true}
}

// SetSource replaces the source, for a connection that continues under TLS.
// Nothing may be buffered.
func (r *Reader) SetSource(source io.Reader) { r.source = source }

// SetLimit changes the maximum size of a frame, in bytes.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Buffered returns the number of bytes that were read from the source and not
// returned yet.
func (r *Reader) Buffered() int { return r.unreadEnd - r.unreadStart }

// ReadCount returns the number of reads that returned bytes. Two results differ if
// bytes have arrived in between.
func (r *Reader) ReadCount() uint64 { return r.readCount }

// HasFrame reports whether Next would return without a read.
func (r *Reader) HasFrame() bool {
	size, known := r.frameSize()
	return known && size >= HeaderSize && r.Buffered() >= size
}

// Next returns the next frame. Its error is a *SizeError, after which the
// stream cannot be read further, or an error of the source. After a timeout it
// may be called again.
func (r *Reader) Next() (Frame, error) {
	for {
		size, known := r.frameSize()
		if known && (size < HeaderSize || size > r.limit) {
			return Frame{}, &SizeError{Type: r.buffer[r.unreadStart], Size: size - 1, Limit: r.limit}
		}
		if known && r.Buffered() >= size {
			raw := r.buffer[r.unreadStart : r.unreadStart+size : r.unreadStart+size]
			r.unreadStart += size
			return Frame{Type: raw[0], Raw: raw}, nil
		}
		err := r.Fill()
		if err != nil {
			return Frame{}, err
		}
	}
}

// NextStartupPacket returns the body of a startup packet, which has no type
// byte. Its errors are those of Next.
func (r *Reader) NextStartupPacket() ([]byte, error) {
	for {
		if r.Buffered() >= lengthFieldSize {
			size := int(int32(binary.BigEndian.Uint32(r.buffer[r.unreadStart:])))
			if size < 2*lengthFieldSize || size > maxStartupPacketSize {
				return nil, &SizeError{Size: size, Limit: maxStartupPacketSize}
			}
			if r.Buffered() >= size {
				body := r.buffer[r.unreadStart+lengthFieldSize : r.unreadStart+size : r.unreadStart+size]
				r.unreadStart += size
				return body, nil
			}
		}
		err := r.Fill()
		if err != nil {
			return nil, err
		}
	}
}

// Fill reads once from the source into the buffer. A frame returned before is
// no longer valid.
func (r *Reader) Fill() error {
	if r.Buffered() == 0 {
		r.releaseBuffer()
	}
	if r.buffer == nil {
		return r.fillIdle()
	}
	r.ensureFreeSpace()
	n, err := r.source.Read(r.buffer[r.unreadEnd:])
	return r.recordRead(n, err)
}

// Close releases the buffers. The Reader must not be used afterwards.
func (r *Reader) Close() {
	r.retain = false
	r.unreadStart = r.unreadEnd
	r.releaseBuffer()
}

// -----------------------------------------------------------------------------
// Buffers.

func (r *Reader) fillIdle() error {
	if r.retain {
		r.acquireBuffer()
		n, err := r.source.Read(r.buffer)
		return r.recordRead(n, err)
	}
	n, err := r.source.Read(r.idleBuffer)
	if n > 0 {
		r.acquireBuffer()
		copy(r.buffer, r.idleBuffer[:n])
	}
	return r.recordRead(n, err)
}

func (r *Reader) recordRead(n int, err error) error {
	r.unreadEnd += n
	if n > 0 {
		r.readCount++
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

func (r *Reader) acquireBuffer() {
	r.pooled = buffers.Get().(*[]byte)
	r.buffer = *r.pooled
	r.unreadStart, r.unreadEnd = 0, 0
}

// releaseBuffer returns the buffer of an empty reader to the pool, or rewinds
// it if the reader retains it.
func (r *Reader) releaseBuffer() {
	r.unreadStart, r.unreadEnd = 0, 0
	if r.retain && r.pooled != nil {
		return
	}
	if r.pooled != nil {
		buffers.Put(r.pooled)
	}
	r.pooled = nil
	r.buffer = nil
}

// ensureFreeSpace frees space at the end of the buffer: it moves the buffered bytes
// to the front, and doubles the buffer if it is full. Memory thus grows with the
// bytes received, not with the length that a header announces.
func (r *Reader) ensureFreeSpace() {
	if r.unreadEnd < len(r.buffer) {
		return
	}
	if r.unreadStart > 0 {
		r.unreadEnd = copy(r.buffer, r.buffer[r.unreadStart:r.unreadEnd])
		r.unreadStart = 0
		return
	}
	grown := make([]byte, 2*len(r.buffer))
	copy(grown, r.buffer[:r.unreadEnd])
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
	return 1 + int(int32(binary.BigEndian.Uint32(r.buffer[r.unreadStart+1:]))), true
}
