package event

// -----------------------------------------------------------------------------
// The events of this area.

var writeEvents = []Event{}
