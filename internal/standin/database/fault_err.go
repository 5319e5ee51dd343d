package database

// FaultFailStatements makes a share of the statements fail with SQLSTATE 58030, spread
// evenly. A statement that fails so has changed nothing.
type FaultFailStatements struct{ Share float64 }

func (FaultFailStatements) isFault() {}

var faultErr = faultVariant{
	name:  "err",
	help:  "the \"share\" (0 to 1) of the statements fails with SQLSTATE 58030",
	parse: parseErr,
}

func parseErr(request FaultRequest) (Fault, error) {
	if request.Share <= 0 || request.Share > 1 {
		return nil, &FaultRequestError{Request: request}
	}
	return FaultFailStatements{Share: request.Share}, nil
}
