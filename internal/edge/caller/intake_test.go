package caller

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Prepared statements of idle sessions count against the memory of callers: sessions that
// keep many of them give way to others, and what they held is given back.
func TestPreparedStatementsCountAsMemory(t *testing.T) {
	const budget, sessions, size = 16 << 20, 30, 900 << 10
	for _, name := range []string{"s", ""} {
		t.Run("name "+name, func(t *testing.T) {
			setup := newTestSetup(t, func(_ *testSetup, options *Options) { options.MemoryBudget = budget })
			for range sessions {
				caller := startRaw(t, setup)
				caller.send(&pgproto3.Parse{Name: name, Query: "select " + strings.Repeat("a", size)}, &pgproto3.Sync{})
				if diff := cmp.Diff([]string{"parsed", "ready I"}, caller.answer()); diff != "" {
					t.Fatal(diff)
				}
			}
			deadline := time.Now().Add(5 * time.Second)
			for setup.server.SessionCount()*size > budget {
				if time.Now().After(deadline) {
					t.Fatalf("%d sessions keep statements of %d bytes each", setup.server.SessionCount(), size)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
