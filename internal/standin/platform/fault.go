package platform

import "fmt"

// Fault is what lies between a request and its answer. The files fault_*.go
// hold one variant each.
type Fault interface{ isFault() }

// FaultRequest is the JSON body that asks for a fault.
type FaultRequest struct {
	Fault string `json:"fault"`
	// Delay is a duration such as "2s".
	Delay string `json:"delay"`
	// Writes limits a loss of answers to those of changes.
	Writes bool `json:"writes"`
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
	faultOutage,
	faultSlow,
	faultLose,
}

// FaultRequestError reports a request for a fault that can't be read.
type FaultRequestError struct {
	Request FaultRequest
}

// Error implements error.
func (e *FaultRequestError) Error() string {
	return fmt.Sprintf("no fault %q with delay %q", e.Request.Fault, e.Request.Delay)
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
