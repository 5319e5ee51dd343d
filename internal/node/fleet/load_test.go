package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// maxControlBytes is the control traffic that an instance may cause in a second.
const maxControlBytes = 4096

// network links fleets as they ask for, and counts the bytes of their messages.
type network struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*networkLinks
	byID      map[model.InstanceID]*networkLinks
	bytes     int
}

// networkLinks are the links of one fleet.
type networkLinks struct {
	network *network
	self    *Fleet
	// dialed holds the addresses of the last SetPeers.
	dialed map[netip.AddrPort]bool
	inbox  chan message.Event
}

// isLinkedTo reports whether either end has dialed the other. The network must be locked.
func (l *networkLinks) isLinkedTo(other *networkLinks) bool {
	return l.dialed[other.self.options.PeerAddress] || other.dialed[l.self.options.PeerAddress]
}

// HandleAction implements Links.
func (l *networkLinks) HandleAction(action message.Action) bool {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	switch action := action.(type) {
	case message.SetPeers:
		former := l.dialed
		l.dialed = map[netip.AddrPort]bool{}
		for _, target := range action.Peers {
			other := l.network.byAddress[target.Address]
			if !former[target.Address] && !l.isLinkedTo(other) {
				other.inbox <- message.PeerConnected{Peer: l.self.options.StartID}
				l.inbox <- message.PeerConnected{Peer: other.self.options.StartID}
			}
			l.dialed[target.Address] = true
		}
		for address := range former {
			if other := l.network.byAddress[address]; !l.isLinkedTo(other) {
				other.inbox <- message.PeerDisconnected{Peer: l.self.options.StartID}
				l.inbox <- message.PeerDisconnected{Peer: other.self.options.StartID, Address: address}
			}
		}
	case message.SendPeer:
		other := l.network.byID[action.To]
		if !l.isLinkedTo(other) {
			return true
		}
		body, err := msgpack.Marshal(action.Body)
		if err != nil {
			panic(err)
		}
		l.network.bytes += len(body)
		other.inbox <- message.PeerMessageReceived{From: l.self.options.StartID, Body: action.Body}
	}
	return true
}

// takeBytes returns the bytes sent since the last call.
func (n *network) takeBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer func() { n.bytes = 0 }()
	return n.bytes
}

// start starts a fleet of n instances in four availability zones before a number of
// groups, until the test ends.
func (n *network) start(t *testing.T, instances, groups int) {
	t.Helper()
	common := newMemoryStore()
	common.put("configurations", "current", "1")
	for i := range groups {
		row := lease.GroupRow{Epoch: 1, Primary: model.DatabaseID(fmt.Sprintf("store-%d-a", i)), Term: 1}
		common.put(groupTable, fmt.Sprintf("%sstore-%d", groupPrefix, i), string((&Fleet{}).encode(&row)))
	}
	addressOf := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i+1))
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range instances {
		name := model.InstanceID(fmt.Sprintf("i%d", i))
		l := &networkLinks{network: n, inbox: make(chan message.Event, 1<<16)}
		l.self = New(Options{
			StartID: name, InstanceName: name, Zone: model.ZoneID(fmt.Sprint("z", i%4)), ExpectedInstances: 7,
			Store: common, PeerAddress: addressOf(i), SeedAddresses: []netip.AddrPort{addressOf(0), addressOf(1), addressOf(2)},
			Schema: testSchema{}, MaxConfigurationAge: time.Second,
			Log: eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond),
		})
		l.self.Attach(l, idleSessions{})
		n.byAddress[addressOf(i)], n.byID[name] = l, l
	}
	var ends []<-chan error
	for _, l := range n.byID {
		ends = append(ends, l.self.Start(ctx))
		go func() {
			for ctx.Err() == nil {
				select {
				case e := <-l.inbox:
					l.self.Post(e)
				case <-ctx.Done():
				}
			}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for _, ended := range ends {
			<-ended
		}
	})
}

// What an instance sends in calm must not grow with the number of instances or groups.
func TestControlTrafficInCalm(t *testing.T) {
	for _, instances := range []int{30, 100} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			n := &network{byAddress: map[netip.AddrPort]*networkLinks{}, byID: map[model.InstanceID]*networkLinks{}}
			n.start(t, instances, instances/2)
			sent := 0
			deadline := time.Now().Add(eventuallyTimeout)
			for sent == 0 || sent > maxControlBytes {
				if time.Now().After(deadline) {
					t.Fatalf("an instance sends %d bytes a second, want %d at most", sent, maxControlBytes)
				}
				n.takeBytes()
				startedAt := time.Now()
				time.Sleep(time.Second)
				sent = int(float64(n.takeBytes()) / time.Since(startedAt).Seconds() / float64(instances))
			}
			t.Logf("an instance sends %d bytes a second", sent)
		})
	}
}
