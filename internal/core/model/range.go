package model

import "strconv"

// MaxCounter is the highest version, epoch, term or fencing token that is read from a
// store: one at the end of the type's range has no successor.
const MaxCounter = 1 << 62

// CheckCounter returns an OutOfRangeError if a counter is higher than MaxCounter.
func CheckCounter(field string, value uint64) error {
	if value > MaxCounter {
		return &OutOfRangeError{Field: field, Value: strconv.FormatUint(value, 10)}
	}
	return nil
}

// OutOfRangeError reports a value outside the range of its field.
type OutOfRangeError struct{ Field, Value string }

// Error implements error.
func (e *OutOfRangeError) Error() string { return e.Field + " is out of range: " + e.Value }
