package engine_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// BenchmarkIdle measures one tick of a core that serves nothing, by the number
// of instances in the platform's list and of groups in the manifest. Each
// question to a database is answered at the next tick. The state's memory is
// reported too.
func BenchmarkIdle(b *testing.B) {
	sizes := []struct{ instances, groups int }{
		{0, 1},
		{100, 1},
		{400, 1},
		{1600, 1},
		{0, 10},
		{0, 100},
		{0, 1133},
		{1600, 1133},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.groups), func(b *testing.B) {
			before := heapInUse()
			f := newIdleCore(size.instances, size.groups)
			b.ResetTimer()
			for range b.N {
				f.tick(tick)
			}
			b.StopTimer()
			b.ReportMetric(float64(heapInUse()-before), "state-bytes")
			b.ReportMetric(float64(f.probes)/float64(b.N), "probes/op")
			runtime.KeepAlive(f)
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// idleCore is a core behind which databases and the platform answer at once.
type idleCore struct {
	engine *engine.Engine
	now    time.Time
	events []message.Event
	listed []message.ListedInstance
	probes int
}

// newIdleCore returns a core that has a manifest, the platform's list and the
// first answers of all databases.
func newIdleCore(instances, groups int) *idleCore {
	f := &idleCore{
		engine: engine.NewEngine(engine.Options{
			Instance: "i0", Zone: "z1", PeerAddress: netip.MustParseAddrPort("10.1.0.1:7400"), StartID: "1",
		}),
		now: time.Date(2026, 5, 2, 9, 0, 0, 0, time.UTC),
	}
	for i := range instances {
		address := netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)})
		f.listed = append(f.listed, message.ListedInstance{
			Instance: model.InstanceID(fmt.Sprintf("i%d", i+1)), Zone: "z1", PeerAddress: netip.AddrPortFrom(address, 7400),
		})
	}
	body := []byte(testManifest)
	for i := 1; i < groups; i++ {
		body = fmt.Appendf(body, "[[group]]\nname = \"g%d\"\n", i)
		for j := range 3 {
			body = fmt.Appendf(body, "[[group.database]]\nname = \"g%d-%d\"\nzone = \"z1\"\naddress = \"10.3.%d.%d:%d\"\n",
				i, j, i>>8, i&0xff, 5432+j)
		}
	}
	f.events = append(f.events, message.PeerMessageReceived{From: "i1", Body: message.ManifestOffer{
		Number: 1, Digest: manifest.Digest(body), Body: body,
	}})
	// The samples of a minute are kept.
	const warmTicks, warmStep = 260, 250 * time.Millisecond
	for range warmTicks {
		f.tick(warmStep)
	}
	f.probes = 0
	return f
}

// tick runs one step, some time after the last, and answers what the core asks.
func (f *idleCore) tick(after time.Duration) {
	f.now = f.now.Add(after)
	actions := f.engine.Step(f.now, f.events)
	f.events = f.events[:0]
	for _, action := range actions {
		switch action := action.(type) {
		case message.Probe:
			f.probes++
			f.events = append(f.events, message.ControlAnswered{
				Database: action.Database, CorrelationID: action.CorrelationID, SentAt: f.now, Status: idleStatus(action.Database),
			})
		case message.ListInstances:
			f.events = append(f.events, message.InstancesListed{CorrelationID: action.CorrelationID, Instances: f.listed})
		case message.ReadRow:
			f.events = append(f.events, message.RowsRead{CorrelationID: action.CorrelationID})
		}
	}
}

// idleStatus is what a database of a healthy group answers: the first of each
// is the primary.
func idleStatus(name model.DatabaseID) message.DatabaseStatus {
	at := model.Position{Term: 1, Offset: 1}
	status := message.DatabaseStatus{Role: model.RoleReplica, Term: 1, Received: at, Applied: at, Streaming: true}
	if name == "d1" || name[len(name)-2:] == "-0" {
		status.Role, status.Streaming = model.RolePrimary, false
	}
	return status
}
