package platform

// FaultOutage closes the connection of each request without processing it and
// without a response.
type FaultOutage struct{}

func (FaultOutage) isFault() {}

var faultOutage = faultVariant{
	name:  "outage",
	help:  "connections are closed unanswered, and nothing is done",
	parse: func(FaultRequest) (Fault, error) { return FaultOutage{}, nil },
}
