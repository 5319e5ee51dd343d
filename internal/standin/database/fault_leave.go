package database

import "time"

// FaultLeave makes the database report that it is leaving. After Grace it
// rejects new data connections with SQLSTATE 57P01; open ones keep working.
type FaultLeave struct{ Grace time.Duration }

func (FaultLeave) isFault() {}

var faultLeave = faultVariant{
	name:  "leave",
	help:  "reports that it is leaving; after \"grace\" refuses new data connections",
	parse: parseLeave,
}

func parseLeave(request FaultRequest) (Fault, error) {
	if request.Grace == "" {
		return FaultLeave{}, nil
	}
	grace, err := time.ParseDuration(request.Grace)
	if err != nil || grace < 0 {
		return nil, &FaultRequestError{Request: request}
	}
	return FaultLeave{Grace: grace}, nil
}
