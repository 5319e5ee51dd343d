package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxFrame is the maximum size of a frame without its length prefix, in bytes.
	maxFrame = 1 << 20
	// lengthSize is the size of a frame's length prefix, in bytes.
	lengthSize = 4
	// sequenceSize is the size of a frame's sequence number, in bytes.
	sequenceSize = 8
	// macSize is the size of a frame's message authentication code (MAC), in
	// bytes: an HMAC-SHA256 truncated to half its size.
	macSize = sha256.Size / 2
)

// -----------------------------------------------------------------------------
// Frames.

// readFrame reads one frame of at most limit bytes. The buffer grows with the bytes
// received and is not allocated from the declared length. Its errors are
// *FrameSizeError and those of r.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var header [lengthSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return nil, &FrameSizeError{Size: int(size), Limit: limit}
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, r, int64(size)); err != nil {
		return nil, errors.WithStack(err)
	}
	return frame.Bytes(), nil
}

// writeFrame writes frame, which a sealer has made or a handshake, after its length. Its
// errors are those of w.
func writeFrame(w io.Writer, frame []byte) error {
	var header [lengthSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(frame)))
	if _, err := w.Write(header[:]); err != nil {
		return errors.WithStack(err)
	}
	_, err := w.Write(frame)
	return errors.WithStack(err)
}

// -----------------------------------------------------------------------------
// Authenticated frames.

// sealer adds sequence numbers and MACs to the frames of one direction.
type sealer struct {
	key      []byte
	sequence uint64
	// limit is the maximum size of a frame, in bytes.
	limit int
}

// seal returns the frame that carries content: the sequence number, the content,
// and the MAC of both. Its error is *FrameSizeError.
func (s *sealer) seal(content []byte) ([]byte, error) {
	size := sequenceSize + len(content) + macSize
	if size > s.limit {
		return nil, &FrameSizeError{Size: size, Limit: s.limit}
	}
	frame := make([]byte, 0, size)
	frame = binary.BigEndian.AppendUint64(frame, s.sequence)
	frame = append(frame, content...)
	s.sequence++
	return append(frame, mac(s.key, frame)...), nil
}

// opener verifies the frames that the sealer of the other end made.
type opener struct {
	key      []byte
	sequence uint64
}

// open verifies a frame and returns its content. Its errors are *FrameSizeError,
// *AuthenticationError and *FrameSequenceError.
func (o *opener) open(frame []byte) ([]byte, error) {
	if len(frame) < sequenceSize+macSize {
		return nil, &FrameSizeError{Size: len(frame), Limit: maxFrame}
	}
	contentEnd := len(frame) - macSize
	if !hmac.Equal(frame[contentEnd:], mac(o.key, frame[:contentEnd])) {
		return nil, &AuthenticationError{Step: "frame"}
	}
	sequence := binary.BigEndian.Uint64(frame)
	if sequence != o.sequence {
		return nil, &FrameSequenceError{Got: sequence, Want: o.sequence}
	}
	o.sequence++
	return frame[sequenceSize:contentEnd], nil
}

func mac(key, content []byte) []byte { return hmacSHA256(key, content)[:macSize] }

// hmacSHA256 returns the HMAC-SHA256 of the concatenated parts.
func hmacSHA256(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		mac.Write(part)
	}
	return mac.Sum(nil)
}
