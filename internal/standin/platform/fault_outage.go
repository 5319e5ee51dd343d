package platform

// FaultOutage closes connections without an answer before anything is done.
type FaultOutage struct{}

func (FaultOutage) isFault() {}

var faultOutage = faultVariant{
	name:  "outage",
	help:  "connections are closed unanswered, and nothing is done",
	parse: func(FaultRequest) (Fault, error) { return FaultOutage{}, nil },
}
