package peer

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Protocol errors of the other end. Each of them closes the link, or ends the
// handshake.

// ProtocolVersionError reports a peer that uses another version of the protocol.
type ProtocolVersionError struct{ Got, Want uint16 }

// Error implements error.
func (e *ProtocolVersionError) Error() string {
	return fmt.Sprintf("peer uses protocol version %d, this instance uses %d", e.Got, e.Want)
}

// FrameSizeError reports a frame or field that is larger than its limit, or too
// short to be valid.
type FrameSizeError struct {
	// Size and Limit are in bytes.
	Size, Limit int
}

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("invalid frame size: %d bytes (limit %d)", e.Size, e.Limit)
}

// UnknownMessageNumberError reports a message number that is not in messageTypes.
type UnknownMessageNumberError struct{ Number byte }

// Error implements error.
func (e *UnknownMessageNumberError) Error() string {
	return fmt.Sprintf("unknown message number %d", e.Number)
}

// MessageCodingError reports a message that cannot be encoded or decoded.
type MessageCodingError struct {
	// MessageName is the name of the message's type.
	MessageName string
	Cause       error
}

// Error implements error.
func (e *MessageCodingError) Error() string {
	return "invalid " + e.MessageName + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MessageCodingError) Unwrap() error { return e.Cause }

// TrailingBytesError reports bytes after the end of a message.
type TrailingBytesError struct {
	// Count is the number of trailing bytes.
	Count int
}

// Error implements error.
func (e *TrailingBytesError) Error() string { return fmt.Sprintf("%d trailing bytes", e.Count) }

// MessageStructureError reports a message that declares more elements than it can
// contain, nests them too deeply, or uses an extension type.
type MessageStructureError struct{ Elements, Depth int }

// Error implements error.
func (e *MessageStructureError) Error() string {
	return fmt.Sprintf("invalid structure: %d elements declared at depth %d", e.Elements, e.Depth)
}

// AuthenticationError reports a handshake proof or frame that was not
// authenticated with the expected key, or a failed TLS handshake.
type AuthenticationError struct {
	// Step names what failed: "peer" for the proof of the key, "frame", or the
	// TLS handshake with its error.
	Step string
}

// Error implements error.
func (e *AuthenticationError) Error() string { return "authentication failed: " + e.Step }

// FrameSequenceError reports an authentic frame with an unexpected sequence number:
// a frame was replayed or omitted.
type FrameSequenceError struct{ Got, Want uint64 }

// Error implements error.
func (e *FrameSequenceError) Error() string {
	return fmt.Sprintf("frame out of sequence: got number %d, expected %d", e.Got, e.Want)
}

// protocolError is an error caused by the other end of a link.
type protocolError interface {
	error
	// faultName returns the name of the error in logs and counters.
	faultName() string
}

func (e *ProtocolVersionError) faultName() string      { return "version" }
func (e *FrameSizeError) faultName() string            { return "size" }
func (e *UnknownMessageNumberError) faultName() string { return "number" }
func (e *MessageCodingError) faultName() string        { return "unreadable" }
func (e *AuthenticationError) faultName() string       { return "authentication" }
func (e *FrameSequenceError) faultName() string        { return "replay" }

// faultNameOf returns the fault name of err, or "" if err is not a protocol error.
func faultNameOf(err error) string {
	var protocolErr protocolError
	if !errors.As(err, &protocolErr) {
		return ""
	}
	return protocolErr.faultName()
}

// -----------------------------------------------------------------------------
// Other errors.

// ConfigError reports options under which links would not be authenticated.
type ConfigError struct{ Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return "invalid peer options: " + e.Reason }

// SelfConnectionError reports a connection from this instance to itself.
type SelfConnectionError struct{ Instance model.InstanceID }

// Error implements error.
func (e *SelfConnectionError) Error() string {
	return fmt.Sprintf("instance %s connected to itself", e.Instance)
}

// LinkReplacedError is the reason of closing a link if another link to the same
// peer is kept.
type LinkReplacedError struct{}

// Error implements error.
func (e *LinkReplacedError) Error() string { return "replaced by another link to the same peer" }

// LinkClosedError is the reason of closing a link whose peer was removed by
// SetPeers, or because this instance shuts down.
type LinkClosedError struct{}

// Error implements error.
func (e *LinkClosedError) Error() string { return "closed by this instance" }
