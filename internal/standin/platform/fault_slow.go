package platform

import "time"

// FaultSlow delays each request before it is processed.
type FaultSlow struct{ Delay time.Duration }

func (FaultSlow) isFault() {}

var faultSlow = faultVariant{
	name:  "slow",
	help:  "each request waits for the delay before it is done",
	parse: parseSlow,
}

func parseSlow(request FaultRequest) (Fault, error) {
	delay, err := time.ParseDuration(request.Delay)
	if err != nil || delay < 0 {
		return nil, &FaultRequestError{Request: request}
	}
	return FaultSlow{Delay: delay}, nil
}
