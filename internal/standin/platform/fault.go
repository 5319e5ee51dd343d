package platform

import "fmt"

// Fault is a fault of the platform, which takes effect between a request and
// its response. Each file fault_*.go holds one variant.
type Fault interface{ isFault() }

// FaultRequest is the JSON body of POST /admin/fault.
type FaultRequest struct {
	Fault string `json:"fault"`
	// Delay is a duration such as "2s".
	Delay string `json:"delay"`
	// Writes limits the fault lose to requests that change something.
	Writes bool `json:"writes"`
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
	faultOutage,
	faultSlow,
	faultDropResponse,
}

// FaultRequestError reports a request that names an unknown fault or has an
// invalid field.
type FaultRequestError struct {
	Request FaultRequest
}

// Error implements error.
func (e *FaultRequestError) Error() string {
	return fmt.Sprintf("no fault %q with delay %q", e.Request.Fault, e.Request.Delay)
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
