package database

// FaultIsolate interrupts log replication between this database and others,
// which are named by database or by availability zone. Clients can still
// connect.
type FaultIsolate struct{ From []string }

func (FaultIsolate) isFault() {}

var faultIsolate = faultVariant{
	name:  "isolate",
	help:  "cuts the streams of the log to and from the zones or databases in \"from\"",
	parse: parseIsolate,
}

func parseIsolate(request FaultRequest) (Fault, error) {
	if len(request.From) == 0 {
		return nil, &FaultRequestError{Request: request}
	}
	return FaultIsolate{From: request.From}, nil
}
