package rank

import "github.com/eelgrassfold/eelgrassfold/internal/core/message"

// counters count what became of the work of one rank in one group.
type counters struct {
	running   int
	served    uint64
	late      uint64
	failed    uint64
	expired   uint64
	withdrawn uint64
	refused   map[message.RefuseWhy]uint64
}
