package event

// -----------------------------------------------------------------------------
// The events of this area.

var rankEvents = []Event{}
