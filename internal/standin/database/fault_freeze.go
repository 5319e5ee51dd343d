package database

// FaultFreeze stops the database from doing or answering anything, as a paused
// process does. Afterwards it goes on where it was.
type FaultFreeze struct{}

func (FaultFreeze) isFault() {}

var faultFreeze = faultVariant{
	name:  "freeze",
	help:  "nothing is done or answered until the fault ends",
	parse: func(FaultRequest) (Fault, error) { return FaultFreeze{}, nil },
}
