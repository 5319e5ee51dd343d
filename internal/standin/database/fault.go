package database

import "fmt"

// Fault is a fault of a database. Each file fault_*.go holds one variant.
// Faults of different variants apply together until FaultNone ends all of them.
type Fault interface{ isFault() }

// FaultRequest is the JSON body of POST /fault.
type FaultRequest struct {
	Fault string `json:"fault"`
	// From names zones or databases, for isolate.
	From []string `json:"from"`
	// Factor multiplies the time that statements take, for slow.
	Factor float64 `json:"factor"`
	// Share is the fraction of the statements that fail, from 0 to 1, for err.
	Share float64 `json:"share"`
	// Grace is a duration such as "2s", for leave.
	Grace string `json:"grace"`
}

// faultVariant describes one variant of Fault.
type faultVariant struct {
	name  string
	help  string
	parse func(request FaultRequest) (Fault, error)
}

// faultVariants lists the variants of Fault.
var faultVariants = []faultVariant{
	faultNone,
	faultFreeze,
	faultIsolate,
	faultSilent,
	faultSlow,
	faultFailStatements,
	faultLeave,
}

// FaultRequestError reports a request that names an unknown fault or has an
// invalid field.
type FaultRequestError struct {
	Request FaultRequest
}

// Error implements error.
func (e *FaultRequestError) Error() string {
	return fmt.Sprintf("no fault of the form %+v", e.Request)
}

// ParseFault returns the fault that a request asks for. Its error is a
// *FaultRequestError.
func ParseFault(request FaultRequest) (Fault, error) {
	for _, variant := range faultVariants {
		if variant.name == request.Fault {
			return variant.parse(request)
		}
	}
	return nil, &FaultRequestError{Request: request}
}

// FaultHelp returns one line of help for each variant of Fault.
func FaultHelp() []string {
	lines := make([]string, 0, len(faultVariants))
	for _, variant := range faultVariants {
		lines = append(lines, fmt.Sprintf("%-8s %s", variant.name, variant.help))
	}
	return lines
}
