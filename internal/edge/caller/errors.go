package caller

// ProtocolError reports a caller that does not follow the protocol. Its
// connection is closed.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol violation: " + e.Detail }

// AuthenticationError reports a caller that could not prove who it is.
type AuthenticationError struct {
	User   string
	Detail string
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	return "authentication of " + quoted(e.User) + " failed: " + e.Detail
}

// OptionsError reports settings that don't go together.
type OptionsError struct{ Detail string }

// Error implements error.
func (e *OptionsError) Error() string { return "caller edge: " + e.Detail }

// sessionError is a reason to end a session that is no failure.
type sessionError string

// Error implements error.
func (e sessionError) Error() string { return string(e) }

// The reasons to end a session.
const (
	errGoodbye sessionError = "the caller said goodbye"
	errDrained sessionError = "the instance is drained"
	errEnding  sessionError = "the instance is ending"
)
