package succession

import "github.com/eelgrassfold/eelgrassfold/internal/core/model"

// maxPromotions is how many promotions a History keeps.
const maxPromotions = 16

// Promotion is the term of a new primary and the end of its log when it was promoted.
type Promotion struct {
	Term model.Term     `msgpack:"term"`
	Base model.Position `msgpack:"base"`
}

// History holds the last promotions of a group, the oldest first.
type History struct {
	Promotions []Promotion `msgpack:"promotions"`
}

// Add returns the history with one more promotion.
func (h History) Add(p Promotion) History {
	promotions := append(append([]Promotion(nil), h.Promotions...), p)
	return History{Promotions: promotions[max(0, len(promotions)-maxPromotions):]}
}

// Base returns the end of the present primary's log at its promotion; zero if it is not
// known.
func (h History) Base() model.Position {
	if len(h.Promotions) == 0 {
		return model.Position{}
	}
	return h.Promotions[len(h.Promotions)-1].Base
}

// Contains reports whether a log that ends at a position is a part of the group's
// history, as far as that is known. It is not if it goes on after the base of the next
// term: the promotion has rolled back what follows there.
func (h History) Contains(end model.Position) bool {
	for _, p := range h.Promotions {
		if p.Term > end.Term {
			return !p.Base.Less(end)
		}
	}
	return true
}
