package caller

import "expvar"

// Metrics of callers' connections and requests.
var (
	sessionsOpen    = expvar.NewInt("caller_sessions")
	requests        = expvar.NewInt("caller_requests")
	heldAnswers     = expvar.NewInt("caller_held_answers")
	lostConnections = expvar.NewInt("caller_lost_connections")
	silenceChecks   = expvar.NewInt("caller_silence_checks")
	silentClosed    = expvar.NewInt("caller_silent_closed")
	deadlineCancels = expvar.NewInt("caller_deadline_cancels")
	cancelRequests  = expvar.NewInt("caller_cancel_requests")
)
