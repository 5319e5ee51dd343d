package promotion

// Guard is what the abandoned calls of a group say about an answer of its primary.
type Guard int

// The values of Guard.
const (
	// GuardClear: no database of an abandoned call leads.
	GuardClear Guard = iota
	// GuardUnknown: a database may lead that has an entry and does not answer.
	GuardUnknown
	// GuardTakenOver: a database leads, so that the group's primary is replaced.
	GuardTakenOver
	// GuardSettled: no call can take effect any more.
	GuardSettled
)

// String returns the name of g for log lines.
func (g Guard) String() string { return [...]string{"clear", "unknown", "taken over", "settled"}[g] }

// Watched is what is known of the database of an abandoned call after an answer of the
// primary.
type Watched struct {
	Sighting
	// HasEntry is true if the database has an entry in the store, and IsRefusing if nothing
	// listens at its address or another database does.
	HasEntry, IsRefusing bool
}

// Check returns what the abandoned calls say about an answer that was received before the
// sightings.
func Check(watched []Watched) Guard {
	result := GuardSettled
	for _, w := range watched {
		switch {
		case w.leads():
			return GuardTakenOver
		case w.IsReplaced:
		case !w.HasAnswered && !w.IsRefusing && w.HasEntry:
			result = GuardUnknown
		case result == GuardSettled:
			result = GuardClear
		}
	}
	return result
}
