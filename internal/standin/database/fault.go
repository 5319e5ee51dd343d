package database

import "fmt"

// Fault is something that goes wrong at a database. The files fault_*.go hold
// one variant each. Faults of different variants add up until FaultNone ends
// them all.
type Fault interface{ isFault() }

// FaultRequest is the JSON body that asks for a fault.
type FaultRequest struct {
	Fault string `json:"fault"`
	// From names zones or databases, for isolate.
	From []string `json:"from"`
	// Factor multiplies the time of statements, for slow.
	Factor float64 `json:"factor"`
	// Share is the part of the statements that fail, from 0 to 1, for err.
	Share float64 `json:"share"`
	// Grace is a duration such as "2s", for leave.
	Grace string `json:"grace"`
}

// faultVariant is one entry of the table of faults.
type faultVariant struct {
	name  string
	help  string
	parse func(request FaultRequest) (Fault, error)
}

// faultVariants lists every fault by its name.
var faultVariants = []faultVariant{
	faultNone,
	faultFreeze,
	faultIsolate,
	faultSilent,
	faultSlow,
	faultErr,
	faultLeave,
}

// FaultRequestError reports a request for a fault that can't be read.
type FaultRequestError struct {
	Request FaultRequest
}

// Error implements error.
func (e *FaultRequestError) Error() string {
	return fmt.Sprintf("no fault of the form %+v", e.Request)
}

// ParseFault reads a request for a fault. Its error is a *FaultRequestError.
func ParseFault(request FaultRequest) (Fault, error) {
	for _, variant := range faultVariants {
		if variant.name == request.Fault {
			return variant.parse(request)
		}
	}
	return nil, &FaultRequestError{Request: request}
}

// FaultHelp returns a line of help for each fault.
func FaultHelp() []string {
	lines := make([]string, 0, len(faultVariants))
	for _, variant := range faultVariants {
		lines = append(lines, fmt.Sprintf("%-8s %s", variant.name, variant.help))
	}
	return lines
}
