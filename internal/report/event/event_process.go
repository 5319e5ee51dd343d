package event

// -----------------------------------------------------------------------------
// The events of this area.

var processEvents = []Event{}
