package database

// FaultFailStatements makes a share of the statements, spread evenly, fail with
// SQLSTATE 58030. A statement that fails in this way has changed nothing.
type FaultFailStatements struct{ Share float64 }

func (FaultFailStatements) isFault() {}

var faultFailStatements = faultVariant{
	name:  "err",
	help:  "the \"share\" (0 to 1) of the statements fails with SQLSTATE 58030",
	parse: parseFailStatements,
}

func parseFailStatements(request FaultRequest) (Fault, error) {
	if request.Share <= 0 || request.Share > 1 {
		return nil, &FaultRequestError{Request: request}
	}
	return FaultFailStatements{Share: request.Share}, nil
}
