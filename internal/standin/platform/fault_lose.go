package platform

// FaultLose does what is asked and then closes the connection without an
// answer.
type FaultLose struct{}

func (FaultLose) isFault() {}

var faultLose = faultVariant{
	name:  "lose",
	help:  "changes take effect, and connections are closed unanswered",
	parse: func(FaultRequest) (Fault, error) { return FaultLose{}, nil },
}
