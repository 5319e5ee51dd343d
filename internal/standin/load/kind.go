package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Kind is a request kind and the rate at which it is offered.
type Kind struct {
	Name   string
	Access model.Access
	// Rate is the number of statements per second.
	Rate float64
	// Target is the latency up to which an answer counts as on time; zero means no
	// target.
	Target time.Duration
	// Deadline is sent to the server with each statement; zero means none.
	Deadline time.Duration
}

// KindError reports a text that ParseKind cannot read.
type KindError struct {
	// Text is the text that was read.
	Text string
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("%q is not a request kind of the form name=read:100/s or name=write:100/s", e.Text)
}

// accessByName maps the names used by ParseKind to their access.
var accessByName = map[string]model.Access{
	"read":  model.AccessRead,
	"write": model.AccessWrite,
}

// ParseKind parses a kind of the form "name=access:rate/s". Its error is a *KindError.
func ParseKind(text string) (Kind, error) {
	name, rest, hasName := strings.Cut(text, "=")
	accessName, rest, hasAccess := strings.Cut(rest, ":")
	access, isAccess := accessByName[accessName]
	number, isRate := strings.CutSuffix(rest, "/s")
	rate, err := strconv.ParseFloat(number, 64)
	if !hasName || name == "" || !hasAccess || !isAccess || !isRate || err != nil || !(rate > 0) {
		return Kind{}, &KindError{Text: text}
	}
	return Kind{Name: name, Access: access, Rate: rate}, nil
}
