package database

// FaultFreeze suspends the database like a paused process: it neither processes
// nor answers anything. When the fault ends, it continues where it stopped.
type FaultFreeze struct{}

func (FaultFreeze) isFault() {}

var faultFreeze = faultVariant{
	name:  "freeze",
	help:  "nothing is done or answered until the fault ends",
	parse: func(FaultRequest) (Fault, error) { return FaultFreeze{}, nil },
}
