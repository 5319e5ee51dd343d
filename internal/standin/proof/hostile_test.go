package proof_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// The limits of the instance under test, and the crowd that it meets.
const (
	// hostileMemory is the memory of its machine, in bytes, and hostileDescriptors the
	// number of its descriptors.
	hostileMemory      = 256 << 20
	hostileDescriptors = 420
	hostileCallers     = 60
	hostileConnections = 800
	// hostileBytes is the size of a message, within the protocol's limit.
	hostileBytes = 7 << 20
	// hostileSettings lowers the limits of the instance.
	hostileSettings = "memory = 144\nlimit = 100"
)

// hostileCases lists crowds of callers that misbehave, by the load that they put on an
// instance. behave gets a connection on which nothing was sent.
var hostileCases = map[string]struct {
	callers int
	behave  func(conn net.Conn)
}{
	"queries that stop half-way": {hostileCallers, func(conn net.Conn) {
		startSession(conn)
		_, _ = conn.Write(append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, 2*hostileBytes)...))
		_, _ = conn.Write(make([]byte, hostileBytes))
	}},
	"batches that never end": {hostileCallers, func(conn net.Conn) {
		startSession(conn)
		parse, _ := (&pgproto3.Parse{Name: "s", Query: strings.Repeat("x", 1<<20)}).Encode(nil)
		for range 12 {
			_, _ = conn.Write(parse)
		}
	}},
	"malformed batches": {hostileCallers, func(conn net.Conn) {
		startSession(conn)
		parse, _ := (&pgproto3.Parse{Name: "s", Query: string(make([]byte, 1<<20))}).Encode(nil)
		for range 12 {
			_, _ = conn.Write(parse)
		}
	}},
	"silent connections": {hostileConnections, func(net.Conn) {}},
	"sessions": {hostileConnections, func(conn net.Conn) {
		startSession(conn)
	}},
}

// startSession opens a session on a connection.
func startSession(conn net.Conn) {
	startup, _ := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "proof", "database": string(group)},
	}).Encode(nil)
	_, _ = conn.Write(startup)
	_, _ = conn.Read(make([]byte, 1<<10))
}

// TestHostileCallers guards against callers that run an instance out of memory or
// descriptors: it lives, stays within its limits, and answers an ordinary request after
// the crowd has done its part.
func TestHostileCallers(t *testing.T) {
	binaries := buildBinaries(t)
	for name, c := range hostileCases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			t.Cleanup(cancel)
			d, err := deploy.Start(ctx, deploy.Options{
				Binaries: binaries, Zones: []model.ZoneID{"lanier"}, Groups: []model.GroupID{group},
				Instances: 1, BaseManifest: deploy.BaseManifest, CallerSettings: hostileSettings,
			})
			if err != nil {
				t.Fatal(err)
			}
			s := &scenario{T: t, Deployment: d, ctx: ctx}
			t.Cleanup(s.cleanUp)
			instance := s.Instances[0]
			conns := s.playHostile(instance.CallerAddress, c.callers, c.behave)
			_, descriptors, err := instance.Process.Peak()
			s.requireNoError(err)
			if descriptors > hostileDescriptors {
				t.Errorf("the instance has %d descriptors, want at most %d", descriptors, hostileDescriptors)
			}
			// Half of the crowd leaves, so that there is room below the limit of sessions.
			for _, conn := range conns[:len(conns)/2] {
				_ = conn.Close()
			}
			s.await("an answer to an ordinary request", func() bool { return s.readsOne(instance.CallerAddress) })
			if instance.Process.HasEnded() {
				t.Fatal("the instance has ended")
			}
			peak, _, err := instance.Process.Peak()
			s.requireNoError(err)
			if peak > hostileMemory {
				t.Errorf("the instance used %d MB, want at most %d", peak>>20, hostileMemory>>20)
			}
			t.Logf("peak memory %d MB, %d descriptors", peak>>20, descriptors)
		})
	}
}

// playHostile lets a crowd misbehave, and returns its connections once each caller has done
// its part, was closed, or is held up by the instance.
func (s *scenario) playHostile(address netip.AddrPort, callers int, behave func(net.Conn)) []net.Conn {
	const heldUp = 5 * time.Second
	ended := make(chan net.Conn, callers)
	for range callers {
		go func() {
			conn, err := net.Dial("tcp", address.String())
			if err != nil {
				ended <- nil
				return
			}
			s.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(heldUp))
			behave(conn)
			ended <- conn
		}()
	}
	var conns []net.Conn
	for range callers {
		if conn := <-ended; conn != nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

// readsOne reports whether an ordinary read is answered.
func (s *scenario) readsOne(address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://proof@"+address.String()+"/"+string(group)+"?sslmode=disable")
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close(ctx) }()
	var one int
	return conn.QueryRow(ctx, "select 1").Scan(&one) == nil
}
