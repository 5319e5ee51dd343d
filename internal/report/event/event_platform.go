package event

// -----------------------------------------------------------------------------
// The events of this area.

var platformEvents = []Event{}
