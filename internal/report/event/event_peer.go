package event

// -----------------------------------------------------------------------------
// The events of this area.

var peerEvents = []Event{}
