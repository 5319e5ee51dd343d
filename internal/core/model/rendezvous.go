package model

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight orders instances for a name by rendezvous hashing: each name has its
// own order, and an instance's failure moves only the names it was first for.
func RendezvousWeight[N ~string](id InstanceID, name N) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + strconv.Itoa(len(name)) + string(name))
}

// RendezvousRank returns the place of an instance among others in the order of their
// weights for a name, the greatest first.
func RendezvousRank[N ~string](id InstanceID, others []InstanceID, name N) int {
	mine, place := RendezvousWeight(id, name), 0
	for _, other := range others {
		if w := RendezvousWeight(other, name); other != id && (w > mine || w == mine && other < id) {
			place++
		}
	}
	return place
}
