package caller

// ProtocolError reports that a caller violated the protocol. Its connection is
// closed.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol violation: " + e.Detail }

// AuthenticationError reports that a caller was not admitted.
type AuthenticationError struct {
	User   string
	Detail string
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	return "authentication of " + quoted(e.User) + " failed: " + e.Detail
}

// OptionsError reports options that contradict each other or are missing.
type OptionsError struct{ Detail string }

// Error implements error.
func (e *OptionsError) Error() string { return "caller edge: " + e.Detail }

// sessionError is a reason to end a session other than a failure.
type sessionError string

// Error implements error.
func (e sessionError) Error() string { return string(e) }

// Reasons to end a session.
const (
	errCallerTerminated sessionError = "the caller terminated the session"
	errDrained          sessionError = "the instance is drained"
	errTerminating      sessionError = "the instance is terminating"
)
