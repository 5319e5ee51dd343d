package database

// FaultNone ends all faults. Connections that FaultSilent made silent stay
// silent.
type FaultNone struct{}

func (FaultNone) isFault() {}

var faultNone = faultVariant{
	name:  "none",
	help:  "ends all faults; silent connections stay silent",
	parse: func(FaultRequest) (Fault, error) { return FaultNone{}, nil },
}
