package peer

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Faults of the other end. Each of them closes the link.

// ProtocolVersionError reports a peer that speaks another version of the protocol.
type ProtocolVersionError struct{ Got, Want uint16 }

// Error implements error.
func (e *ProtocolVersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, this instance %d", e.Got, e.Want)
}

// FrameSizeError reports a frame above the bound, or too short to be one.
type FrameSizeError struct {
	// Size and Limit are in bytes.
	Size, Limit int
}

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, the limit is %d", e.Size, e.Limit)
}

// UnknownMessageNumberError reports a message whose number is not in the table.
type UnknownMessageNumberError struct{ Number byte }

// Error implements error.
func (e *UnknownMessageNumberError) Error() string {
	return fmt.Sprintf("unknown message number %d", e.Number)
}

// DecodeError reports a message that can't be read.
type DecodeError struct {
	// MessageName names the message.
	MessageName string
	Cause       error
}

// Error implements error.
func (e *DecodeError) Error() string { return "unreadable " + e.MessageName + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// TrailingBytesError reports bytes behind the end of a message.
type TrailingBytesError struct {
	// Count is their number.
	Count int
}

// Error implements error.
func (e *TrailingBytesError) Error() string { return fmt.Sprintf("%d bytes behind the end", e.Count) }

// MessageStructureError reports a message that announces more elements than it holds, or
// nests them too deep.
type MessageStructureError struct{ Elements, Depth int }

// Error implements error.
func (e *MessageStructureError) Error() string {
	return fmt.Sprintf("%d elements announced at depth %d", e.Elements, e.Depth)
}

// AuthenticationError reports a proof or frame that was not made with the key.
type AuthenticationError struct {
	// Step names the step.
	Step string
}

// Error implements error.
func (e *AuthenticationError) Error() string { return "bad authentication of the " + e.Step }

// FrameSequenceError reports an authentic frame out of its place.
type FrameSequenceError struct{ Got, Want uint64 }

// Error implements error.
func (e *FrameSequenceError) Error() string {
	return fmt.Sprintf("frame %d came in the place of frame %d", e.Got, e.Want)
}

// faulty is an error that the other end of a link has committed.
type faulty interface {
	error
	// fault names it for logs and counters.
	fault() string
}

func (e *ProtocolVersionError) fault() string      { return "version" }
func (e *FrameSizeError) fault() string            { return "size" }
func (e *UnknownMessageNumberError) fault() string { return "number" }
func (e *DecodeError) fault() string               { return "unreadable" }
func (e *AuthenticationError) fault() string       { return "authentication" }
func (e *FrameSequenceError) fault() string        { return "replay" }

// faultOf names what the other end did wrong; empty where the link failed
// otherwise.
func faultOf(err error) string {
	var f faulty
	if !errors.As(err, &f) {
		return ""
	}
	return f.fault()
}

// -----------------------------------------------------------------------------
// Other failures.

// ConfigError reports options under which links would not be authenticated.
type ConfigError struct{ Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return "peer links: " + e.Reason }

// SelfConnectionError reports a link from this instance to itself.
type SelfConnectionError struct{ Instance model.InstanceID }

// Error implements error.
func (e *SelfConnectionError) Error() string {
	return fmt.Sprintf("instance %s reached itself", e.Instance)
}

// LinkReplacedError ends a link whose place another one takes.
type LinkReplacedError struct{}

// Error implements error.
func (e *LinkReplacedError) Error() string { return "another link to the same peer takes its place" }

// LinkClosedError ends a link that is no longer wanted.
type LinkClosedError struct{}

// Error implements error.
func (e *LinkClosedError) Error() string { return "the link is no longer wanted" }
