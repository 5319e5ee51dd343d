package event

// -----------------------------------------------------------------------------
// The events of this area.

var routeEvents = []Event{}
