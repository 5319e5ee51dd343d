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
	// maxFrame bounds a frame without its length, in bytes.
	maxFrame = 1 << 20
	// lengthSize is the size of a frame's length, in bytes.
	lengthSize = 4
	// sequenceSize is the size of a frame's number, in bytes.
	sequenceSize = 8
	// codeSize is the size of a frame's authentication code, in bytes: half
	// a SHA-256.
	codeSize = sha256.Size / 2
)

// -----------------------------------------------------------------------------
// Frames.

// readFrame reads one frame of at most limit bytes. Memory grows with what
// has come, not with what was announced.
func readFrame(from io.Reader, limit int) ([]byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if uint64(size) > uint64(limit) {
		return nil, &FrameSizeError{Size: int(size), Limit: limit}
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, from, int64(size)); err != nil {
		return nil, errors.WithStack(err)
	}
	return frame.Bytes(), nil
}

// writeFrame writes one frame.
func writeFrame(to io.Writer, frame []byte) error {
	if len(frame) > maxFrame {
		return &FrameSizeError{Size: len(frame), Limit: maxFrame}
	}
	var head [lengthSize]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(frame)))
	if _, err := to.Write(head[:]); err != nil {
		return errors.WithStack(err)
	}
	_, err := to.Write(frame)
	return errors.WithStack(err)
}

// -----------------------------------------------------------------------------
// Authenticated frames.

// sealer numbers and authenticates the frames of one direction.
type sealer struct {
	key      []byte
	sequence uint64
}

// seal returns the frame that carries content: its number, the content, and
// the authentication code of both.
func (s *sealer) seal(content []byte) ([]byte, error) {
	size := sequenceSize + len(content) + codeSize
	if size > maxFrame {
		return nil, &FrameSizeError{Size: size, Limit: maxFrame}
	}
	frame := make([]byte, 0, size)
	frame = binary.BigEndian.AppendUint64(frame, s.sequence)
	frame = append(frame, content...)
	s.sequence++
	return append(frame, code(s.key, frame)...), nil
}

// opener checks the frames that a sealer of the other end made.
type opener struct {
	key      []byte
	sequence uint64
}

// open returns the content of a frame. Its errors are *FrameSizeError,
// *AuthenticationError and *FrameSequenceError.
func (o *opener) open(frame []byte) ([]byte, error) {
	if len(frame) < sequenceSize+codeSize {
		return nil, &FrameSizeError{Size: len(frame), Limit: maxFrame}
	}
	end := len(frame) - codeSize
	if !hmac.Equal(frame[end:], code(o.key, frame[:end])) {
		return nil, &AuthenticationError{Step: "frame"}
	}
	sequence := binary.BigEndian.Uint64(frame)
	if sequence != o.sequence {
		return nil, &FrameSequenceError{Got: sequence, Want: o.sequence}
	}
	o.sequence++
	return frame[sequenceSize:end], nil
}

func code(key, content []byte) []byte { return sum(key, content)[:codeSize] }

// sum is the HMAC-SHA256 of the parts.
func sum(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		mac.Write(part)
	}
	return mac.Sum(nil)
}
