package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// relayAll is the policy of an instance that reaches no database.
type relayAll struct{}

func (relayAll) IsRelayed(Database, model.TenantID) bool { return true }

// A statement that a peer has passed on runs at the database that it names or not at all:
// it is not passed on again, whatever the policy of this instance is. Those of own callers
// are relayed meanwhile and hold no slot.
func TestRelayedStatementIsNotPassedOnAgain(t *testing.T) {
	s, _ := newFixture(t)
	s.SetRelayPolicy(relayAll{})
	own := Requirements{Group: ratings, Rank: 1, ArrivedAt: clock.Now(), RequiresPrimary: true}
	ofPeer := own
	ofPeer.Database = "a"
	for range 3 {
		if reservation := mustAcquire(t, s, own); !reservation.IsRelayed {
			t.Error("a statement of an own caller is not relayed")
		}
	}
	reservation := mustAcquire(t, s, ofPeer)
	if diff := cmp.Diff([]any{model.DatabaseID("a"), false}, []any{reservation.Database.ID, reservation.IsRelayed}); diff != "" {
		t.Error(diff)
	}
	if !cannotAcquire(t, s, ofPeer) {
		t.Error("two statements of peers have the only slot")
	}
	ofPeer.Database = "b"
	if !cannotAcquire(t, s, ofPeer) {
		t.Error("a statement that needs the primary has a replica")
	}
}
