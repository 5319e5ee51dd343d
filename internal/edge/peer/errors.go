package peer

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Faults of the other end. Each of them closes the link.

// VersionError reports a peer that speaks another version of the protocol.
type VersionError struct{ Got, Want uint16 }

// Error implements error.
func (e *VersionError) Error() string {
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

// NumberError reports a message whose number is not in the table.
type NumberError struct{ Number byte }

// Error implements error.
func (e *NumberError) Error() string { return fmt.Sprintf("unknown message number %d", e.Number) }

// DecodeError reports a message that can't be read.
type DecodeError struct {
	// Name names the message.
	Name  string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "unreadable " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// TrailingError reports bytes behind the end of a message.
type TrailingError struct {
	// Size is their number.
	Size int
}

// Error implements error.
func (e *TrailingError) Error() string { return fmt.Sprintf("%d bytes behind the end", e.Size) }

// ShapeError reports a message that announces more elements than it holds, or
// nests them too deep.
type ShapeError struct{ Elements, Depth int }

// Error implements error.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("%d elements announced at depth %d", e.Elements, e.Depth)
}

// AuthenticationError reports a proof or frame that was not made with the key.
type AuthenticationError struct {
	// Where names the step.
	Where string
}

// Error implements error.
func (e *AuthenticationError) Error() string { return "bad authentication of the " + e.Where }

// ReplayError reports an authentic frame out of its place.
type ReplayError struct{ Got, Want uint64 }

// Error implements error.
func (e *ReplayError) Error() string {
	return fmt.Sprintf("frame %d came in the place of frame %d", e.Got, e.Want)
}

// faulty is an error that the other end of a link has committed.
type faulty interface {
	error
	// fault names it for logs and counters.
	fault() string
}

func (e *VersionError) fault() string        { return "version" }
func (e *FrameSizeError) fault() string      { return "size" }
func (e *NumberError) fault() string         { return "number" }
func (e *DecodeError) fault() string         { return "unreadable" }
func (e *AuthenticationError) fault() string { return "authentication" }
func (e *ReplayError) fault() string         { return "replay" }

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
type ConfigError struct{ Why string }

// Error implements error.
func (e *ConfigError) Error() string { return "peer links: " + e.Why }

// SelfError reports a link from this instance to itself.
type SelfError struct{ Instance model.InstanceID }

// Error implements error.
func (e *SelfError) Error() string { return fmt.Sprintf("instance %s reached itself", e.Instance) }

// ReplacedError ends a link whose place another one takes.
type ReplacedError struct{}

// Error implements error.
func (e *ReplacedError) Error() string { return "another link to the same peer takes its place" }

// EndedError ends a link that is no longer wanted.
type EndedError struct{}

// Error implements error.
func (e *EndedError) Error() string { return "the link is no longer wanted" }
