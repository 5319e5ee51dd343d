package platform

// FaultNone processes and answers every request.
type FaultNone struct{}

func (FaultNone) isFault() {}

var faultNone = faultVariant{
	name:  "none",
	help:  "every request is answered",
	parse: func(FaultRequest) (Fault, error) { return FaultNone{}, nil },
}
