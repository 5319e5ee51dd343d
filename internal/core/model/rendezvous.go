package model

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Weight orders instances for a name by rendezvous hashing: each name has its
// own order, and an instance's failure moves only the names it was first for.
func Weight[N ~string](id InstanceID, name N) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + strconv.Itoa(len(name)) + string(name))
}

// Place returns the place of an instance among others in the order of their
// weights for a name, the greatest first.
func Place[N ~string](id InstanceID, others []InstanceID, name N) int {
	mine, place := Weight(id, name), 0
	for _, other := range others {
		if w := Weight(other, name); other != id && (w > mine || w == mine && other < id) {
			place++
		}
	}
	return place
}
