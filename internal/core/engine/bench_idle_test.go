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

// BenchmarkIdle measures one step of an engine without requests, by the number of
// instances in the platform's list and of groups in the manifest. Each request to a
// database is answered in the next step. It also reports the memory of the engine's
// state and the number of probes.
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
			heapBefore := heapInUse()
			f := newIdleEngine(size.instances, size.groups)
			b.ResetTimer()
			for range b.N {
				f.tick(tick)
			}
			b.StopTimer()
			b.ReportMetric(float64(heapInUse()-heapBefore), "state-bytes")
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

// idleEngine is an engine whose databases and platform respond at once.
type idleEngine struct {
	engine *engine.Engine
	now    time.Time
	events []message.Event
	listed []message.ListedInstance
	probes int
}

// newIdleEngine returns an engine that has a manifest, the platform's list of
// instances and samples of all groups.
func newIdleEngine(instances, groups int) *idleEngine {
	f := &idleEngine{
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
	// The engine keeps the samples of one minute, so the warm-up lasts longer.
	const warmTicks, warmStep = 260, 250 * time.Millisecond
	for range warmTicks {
		f.tick(warmStep)
	}
	f.probes = 0
	return f
}

// tick runs one step at the given time after the last one and queues the responses
// to its requests.
func (f *idleEngine) tick(elapsed time.Duration) {
	f.now = f.now.Add(elapsed)
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

// idleStatus returns the status of a database of a healthy group: the first
// database of each group is its primary.
func idleStatus(name model.DatabaseID) message.DatabaseStatus {
	position := model.Position{Term: 1, Offset: 1}
	status := message.DatabaseStatus{Role: model.RoleReplica, Term: 1, Received: position, Applied: position, Streaming: true}
	if name == "d1" || name[len(name)-2:] == "-0" {
		status.Role, status.Streaming = model.RolePrimary, false
	}
	return status
}
