package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against an instance that the platform goes on sending callers to although it
// serves nobody, since a lock that each statement needs is never released.
func TestHungInstanceIsNotReady(t *testing.T) {
	tf := newTestFleets(t, 1)
	f := tf.fleets[0]
	setReady := func() bool { f.ready.Store(true); return f.IsReady() }
	eventually(t, "ready", setReady)
	f.directory.mu.Lock()
	time.Sleep(livenessTimeout + livenessInterval)
	isReady := setReady()
	f.directory.mu.Unlock()
	if diff := cmp.Diff(false, isReady); diff != "" {
		t.Error(diff)
	}
	eventually(t, "ready again", setReady)
}
