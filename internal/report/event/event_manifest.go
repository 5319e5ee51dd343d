package event

// -----------------------------------------------------------------------------
// The events of this area.

var manifestEvents = []Event{}
