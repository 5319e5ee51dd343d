package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Kind is one kind of work and how much of it is offered.
type Kind struct {
	Name   string
	Access model.Access
	// Rate is the number of statements a second.
	Rate float64
	// Target is the time within which an answer counts as in time; zero for
	// no target.
	Target time.Duration
	// Deadline is told to the server with each statement; zero for none.
	Deadline time.Duration
}

// KindError reports text that is not a kind of work.
type KindError struct {
	// Text is what was read.
	Text string
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("%q is not a kind of work of the form name=read:100/s or name=write:100/s", e.Text)
}

// accesses lists what a kind of work may do.
var accesses = map[string]model.Access{
	"read":  model.AccessRead,
	"write": model.AccessWrite,
}

// ParseKind reads the form "name=access:rate/s". Its error is a *KindError.
func ParseKind(text string) (Kind, error) {
	name, rest, hasName := strings.Cut(text, "=")
	accessName, rest, hasAccess := strings.Cut(rest, ":")
	access, isAccess := accesses[accessName]
	number, isRate := strings.CutSuffix(rest, "/s")
	rate, err := strconv.ParseFloat(number, 64)
	if !hasName || name == "" || !hasAccess || !isAccess || !isRate || err != nil || !(rate > 0) {
		return Kind{}, &KindError{Text: text}
	}
	return Kind{Name: name, Access: access, Rate: rate}, nil
}
