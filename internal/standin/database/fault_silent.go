package database

// FaultSilent makes the clients' open connections silent for good: what comes
// in is lost, and no answer goes out, not that of a running statement either.
// New connections work.
type FaultSilent struct{}

func (FaultSilent) isFault() {}

var faultSilent = faultVariant{
	name:  "silent",
	help:  "open connections are never answered again; new ones work",
	parse: func(FaultRequest) (Fault, error) { return FaultSilent{}, nil },
}
