package event

// -----------------------------------------------------------------------------
// The events of this area.

var callerEvents = []Event{}
