package platform

// FaultDropResponse processes each request and then closes the connection
// without a response. With WritesOnly, GET requests are answered.
type FaultDropResponse struct{ WritesOnly bool }

func (FaultDropResponse) isFault() {}

var faultDropResponse = faultVariant{
	name:  "lose",
	help:  "changes take effect, and connections are closed unanswered; with \"writes\" those of changes only",
	parse: func(request FaultRequest) (Fault, error) { return FaultDropResponse{WritesOnly: request.Writes}, nil },
}
