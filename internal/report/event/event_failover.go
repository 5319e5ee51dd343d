package event

// -----------------------------------------------------------------------------
// The events of this area.

var failoverEvents = []Event{}
