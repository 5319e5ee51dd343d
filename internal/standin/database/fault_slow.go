package database

// FaultSlow multiplies the time that statements take.
type FaultSlow struct{ Factor float64 }

func (FaultSlow) isFault() {}

var faultSlow = faultVariant{
	name:  "slow",
	help:  "statements take \"factor\" times as long",
	parse: parseSlow,
}

func parseSlow(request FaultRequest) (Fault, error) {
	if request.Factor <= 0 {
		return nil, &FaultRequestError{Request: request}
	}
	return FaultSlow{Factor: request.Factor}, nil
}
