package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// A holder of the duty that the store does not answer can end no change: whoever
// hears it must not take it for one that can, by its own word neither.
func TestHolderWithoutTheStore(t *testing.T) {
	const holder, witness = model.InstanceID("z1-2"), model.InstanceID("z1-3")
	for name, c := range map[string]struct {
		holder, witness message.Bulletin
		want            bool
	}{
		"it has the store":              {message.Bulletin{Stored: true, Holder: true}, message.Bulletin{}, true},
		"it has lost the store":         {message.Bulletin{Stored: false, Holder: true}, message.Bulletin{}, false},
		"it leaves":                     {message.Bulletin{Stored: true, Leaving: true, Holder: true}, message.Bulletin{}, false},
		"another instance hears it":     {message.Bulletin{Stored: false}, message.Bulletin{Holder: true}, true},
		"nobody hears it":               {message.Bulletin{Stored: false}, message.Bulletin{}, false},
		"another one tells of a former": {message.Bulletin{Stored: false}, message.Bulletin{Holder: true, Duty: lease.Duty{Holder: "z1-9"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMember(1, 3)
			c.holder.Duty.Holder = holder
			if c.witness.Duty.Holder == "" {
				c.witness.Duty.Holder = holder
			}
			f.tell(holder, c.holder)
			f.tell(witness, c.witness)
			if diff := cmp.Diff(c.want, f.hears(holder) || f.peersHear(holder)); diff != "" {
				t.Error(diff)
			}
		})
	}
	f := newMember(1, 3)
	told := []bool{f.hears(f.options.Instance)}
	f.stored.Store(true)
	told = append(told, f.hears(f.options.Instance))
	if diff := cmp.Diff([]bool{false, true}, told); diff != "" {
		t.Errorf("of itself: %s", diff)
	}
}
