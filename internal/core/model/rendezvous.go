package model

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight returns the weight of an instance for a name in rendezvous hashing.
// The weights give each name its own order of the instances. When an instance fails,
// only the names for which it was first get another first instance.
func RendezvousWeight[N ~string](id InstanceID, name N) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + strconv.Itoa(len(name)) + string(name))
}

// RendezvousRank returns the rank of an instance, from 0, among others in the order of
// their weights for a name, the highest weight first. Equal weights are ordered by ID.
func RendezvousRank[N ~string](id InstanceID, others []InstanceID, name N) int {
	weight, rank := RendezvousWeight(id, name), 0
	for _, other := range others {
		if w := RendezvousWeight(other, name); other != id && (w > weight || w == weight && other < id) {
			rank++
		}
	}
	return rank
}
