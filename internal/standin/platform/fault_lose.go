package platform

// FaultDropResponse does what is asked and then closes the connection without an
// answer. With Writes, requests that change nothing are answered.
type FaultDropResponse struct{ WritesOnly bool }

func (FaultDropResponse) isFault() {}

var faultLose = faultVariant{
	name:  "lose",
	help:  "changes take effect, and connections are closed unanswered; with \"writes\" those of changes only",
	parse: func(request FaultRequest) (Fault, error) { return FaultDropResponse{WritesOnly: request.Writes}, nil },
}
