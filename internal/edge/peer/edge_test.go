package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"io"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// long is a time that no passing test waits for.
const long = time.Minute

// brief is a time that tests of timeouts wait for.
const brief = 30 * time.Millisecond

// retry is the pause before a message is sent once more, since messages may
// be lost.
const retry = 10 * time.Millisecond

var (
	testKey  = []byte("0123456789abcdef")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

type sink chan message.Event

func (s sink) Post(event message.Event) { s <- event }

// instance is an edge that runs in a test.
type instance struct {
	*Transport
	events sink
	stop   func()
}

func start(t *testing.T, id model.InstanceID, change func(*Options)) instance {
	t.Helper()
	options := Options{
		Instance: id, Listen: loopback, Key: testKey,
		KeepaliveInterval: time.Millisecond, IdleTimeout: long, HandshakeTimeout: long, WriteTimeout: long,
		MaxBackoff: time.Millisecond,
	}
	if change != nil {
		change(&options)
	}
	events := make(sink, 100_000)
	edge := NewTransport(options, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	over, err := edge.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	stop := func() {
		cancel()
		<-over
	}
	t.Cleanup(stop)
	return instance{edge, events, stop}
}

func (i instance) keep(id model.InstanceID, addresses ...netip.AddrPort) {
	var set message.SetPeers
	for _, address := range addresses {
		set.Peers = append(set.Peers, message.PeerTarget{Instance: id, Address: address})
	}
	i.HandleAction(set)
}

// deliver sends m until it is heard, and returns what was heard.
func deliver(from, to instance, m message.PeerMessage) message.PeerMessageReceived {
	for {
		from.HandleAction(message.SendPeer{To: to.options.Instance, Body: m})
		timer := time.NewTimer(retry)
		for waiting := true; waiting; {
			select {
			case event := <-to.events:
				if heard, found := event.(message.PeerMessageReceived); found && cmp.Equal(heard.Body, m, equal) {
					timer.Stop()
					return heard
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
}

// awaitLost waits until a link or a try to make one is told to be lost.
func (i instance) awaitLost() message.PeerDisconnected {
	for {
		if lost, found := (<-i.events).(message.PeerDisconnected); found {
			return lost
		}
	}
}

func count(name string) int64 {
	value, found := counters.Get(name).(*expvar.Int)
	if !found {
		return 0
	}
	return value.Value()
}

// -----------------------------------------------------------------------------
// Links.

func TestEveryMessageIsHeardFromAnUnknownInstance(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.keep("", b.Address())
	for _, linked := range []struct {
		by   instance
		want message.Event
	}{{a, message.PeerConnected{Peer: "b"}}, {b, message.PeerConnected{Peer: "a"}}} {
		if diff := cmp.Diff(linked.want, <-linked.by.events, equal); diff != "" {
			t.Error(diff)
		}
	}
	for _, m := range samples {
		want := message.PeerMessageReceived{From: "a", Body: m}
		if diff := cmp.Diff(want, deliver(a, b, m), equal); diff != "" {
			t.Error(diff)
		}
	}
	deliver(b, a, samples[0])
}

func TestBothDial(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.keep("b", b.Address(), a.Address())
	b.keep("", a.Address(), b.Address())
	for range 20 {
		deliver(a, b, samples[0])
		deliver(b, a, samples[0])
	}
}

func TestWhichLinkCounts(t *testing.T) {
	cases := []struct {
		name               string
		self, peer         model.InstanceID
		oldDialed, newLink bool
		want               bool
	}{
		{"lower dialed the new one", "a", "b", false, true, true},
		{"higher dialed the new one", "a", "b", true, false, false},
		{"seen from the higher, lower dialed the new one", "b", "a", true, false, true},
		{"seen from the higher, higher dialed the new one", "b", "a", false, true, false},
		{"dialed again by this instance", "b", "a", true, true, true},
		{"dialed again by the peer", "a", "b", false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			edge := NewTransport(Options{Instance: c.self}, nil, logr.Discard())
			made := func(dialed bool) *link { return &link{dialed: dialed, session: session{peer: c.peer}} }
			if diff := cmp.Diff(c.want, edge.replaces(made(c.newLink), made(c.oldDialed))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPeerComesBackUnderAnotherInstance(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	address := b.Address()
	a.keep("b", address)
	deliver(b, a, samples[0])
	b.stop()
	if diff := cmp.Diff(message.PeerDisconnected{Peer: "b", Address: address}, a.awaitLost(), equal); diff != "" {
		t.Error(diff)
	}
	c := start(t, "c", func(o *Options) { o.Listen = address })
	deliver(c, a, samples[0])
	deliver(a, c, samples[0])
}

func TestUnwantedLinkIsClosed(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.keep("b", b.Address())
	deliver(a, b, samples[0])
	a.keep("")
	if diff := cmp.Diff(model.InstanceID("a"), b.awaitLost().Peer); diff != "" {
		t.Error(diff)
	}
}

func TestSendWithoutLinkIsCounted(t *testing.T) {
	a := start(t, "a", nil)
	before := count("unlinked.demand")
	a.HandleAction(message.SendPeer{To: "z", Body: message.LeaseRequest{}})
	if diff := cmp.Diff(before+1, count("unlinked.demand")); diff != "" {
		t.Error(diff)
	}
}

// -----------------------------------------------------------------------------
// Faults of a peer that dials.

// stranger is a hand-driven connection to an edge.
type stranger struct {
	t       *testing.T
	conn    net.Conn
	session session
}

func dialStranger(t *testing.T, to netip.AddrPort) *stranger {
	t.Helper()
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &stranger{t: t, conn: conn}
}

func (s *stranger) shake() *stranger {
	agreed, err := shake(s.conn, "z", roleDialer, testKey)
	if err != nil {
		s.t.Fatal(err)
	}
	s.session = agreed
	return s
}

func (s *stranger) seal(content []byte) []byte {
	frame, err := s.session.sealer.seal(content)
	if err != nil {
		s.t.Fatal(err)
	}
	return frame
}

func (s *stranger) send(frames ...[]byte) {
	for _, frame := range frames {
		if err := writeFrame(s.conn, frame); err != nil {
			return
		}
	}
}

// awaitClosed reads until the edge closes the connection.
func (s *stranger) awaitClosed() { _, _ = io.Copy(io.Discard, s.conn) }

func TestFaultsOfADialer(t *testing.T) {
	heartbeat, err := encodeMessage(samples[0])
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, counter string
		act           func(s *stranger)
	}{
		{"other version", "version", func(s *stranger) { s.send([]byte{0, 9, 0x80}) }},
		{"no version", "size", func(s *stranger) { s.send([]byte{0}) }},
		{"hello without an instance", "unreadable", func(s *stranger) { s.send([]byte{0, 1, 0x80}) }},
		{"hello unreadable", "unreadable", func(s *stranger) { s.send([]byte{0, 1, 0xc1}) }},
		{"hello too large", "size", func(s *stranger) { s.send(make([]byte, maxHello+1)) }},
		{"other key", "authentication", func(s *stranger) {
			_, _ = shake(s.conn, "z", roleDialer, []byte("another key of it"))
		}},
		{"own proof sent back", "authentication", func(s *stranger) {
			mine, _ := newHello("z")
			theirs, _ := swap(s.conn, roleDialer, mine, nil)
			s.send(sum(testKey, []byte("proof acceptor"), transcribe(roleDialer, mine, theirs)))
		}},
		{"frame too large", "size", func(s *stranger) {
			_, _ = s.shake().conn.Write([]byte{0, 0x10, 0, 1})
		}},
		{"frame too short", "size", func(s *stranger) { s.shake().send(make([]byte, codeSize)) }},
		{"frame without content", "size", func(s *stranger) { s.send(s.shake().seal(nil)) }},
		{"frame changed", "authentication", func(s *stranger) {
			frame := s.shake().seal(heartbeat)
			frame[sequenceSize+2]++
			s.send(frame)
		}},
		{"frame without a code", "authentication", func(s *stranger) { s.shake().send(make([]byte, 64)) }},
		{"frame of another link", "authentication", func(s *stranger) {
			frame := s.shake().seal(heartbeat)
			again := dialStranger(s.t, addressOf(s.conn))
			again.shake().send(frame)
			again.awaitClosed()
			_ = s.conn.Close()
		}},
		{"frame repeated", "replay", func(s *stranger) {
			frame := s.shake().seal(heartbeat)
			s.send(frame, frame)
		}},
		{"frame left out", "replay", func(s *stranger) {
			s.shake().seal(heartbeat)
			s.send(s.seal(heartbeat))
		}},
		{"unknown number", "number", func(s *stranger) { s.send(s.shake().seal([]byte{200, 0x80})) }},
		{"unreadable message", "unreadable", func(s *stranger) { s.send(s.shake().seal([]byte{1, 0xc1})) }},
		{"huge array announced", "unreadable", func(s *stranger) {
			s.send(s.shake().seal([]byte("\x06\x81\xa5wants\xdd\xff\xff\xff\xff")))
		}},
		{"bytes behind a message", "unreadable", func(s *stranger) {
			s.send(s.shake().seal(append(heartbeat[:len(heartbeat):len(heartbeat)], 0)))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := start(t, "a", nil)
			before := count("rejected." + c.counter)
			s := dialStranger(t, a.Address())
			c.act(s)
			s.awaitClosed()
			a.stop()
			if diff := cmp.Diff(before+1, count("rejected."+c.counter)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSlowAndSilentDialers(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Options)
		act    func(a instance, s *stranger)
	}{
		{"no hello", func(o *Options) { o.HandshakeTimeout = brief }, func(instance, *stranger) {}},
		{"silent after the handshake", func(o *Options) { o.IdleTimeout = brief }, func(_ instance, s *stranger) { s.shake() }},
		{"takes nothing", func(o *Options) { o.WriteTimeout = brief }, func(a instance, s *stranger) {
			s.shake().send(s.seal([]byte{3, 0x80}))
			<-a.events
			// It can't be compressed, so that the connection fills.
			body := make([]byte, maxFrame/2)
			_, _ = rand.Read(body)
			for range maxQueue {
				a.HandleAction(message.SendPeer{To: "z", Body: message.ManifestOffer{Body: body}})
			}
			a.awaitLost()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := start(t, "a", c.change)
			s := dialStranger(t, a.Address())
			c.act(a, s)
			s.awaitClosed()
		})
	}
}

// -----------------------------------------------------------------------------
// Faults of a peer that is dialed.

func TestFaultsOfAnAcceptor(t *testing.T) {
	cases := []struct {
		name, counter string
		serve         func(conn net.Conn)
	}{
		{"other version", "version", func(conn net.Conn) {
			_, _ = swap(conn, roleAcceptor, []byte{0, 9, 0x80}, nil)
		}},
		{"no proof of the key", "authentication", func(conn net.Conn) {
			mine, _ := newHello("z")
			_, _ = swap(conn, roleAcceptor, mine, nil)
			_, _ = swap(conn, roleAcceptor, make([]byte, 32), nil)
		}},
		{"the dialer's proof sent back", "authentication", func(conn net.Conn) {
			mine, _ := newHello("z")
			_, _ = swap(conn, roleAcceptor, mine, nil)
			proof, _ := readFrame(conn, maxHello)
			_ = writeFrame(conn, proof)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					c.serve(conn)
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}
			}()
			before := count("rejected." + c.counter)
			a := start(t, "a", nil)
			address := addressOfListener(listener)
			a.keep("z", address)
			want := message.PeerDisconnected{Peer: "z", Address: address}
			if diff := cmp.Diff(want, a.awaitLost(), equal); diff != "" {
				t.Error(diff)
			}
			if count("rejected."+c.counter) == before {
				t.Error("not counted")
			}
		})
	}
}

func addressOfListener(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// -----------------------------------------------------------------------------
// Options and TLS.

func TestOptionsWithoutAuthenticationAreRefused(t *testing.T) {
	cases := []struct {
		name    string
		options Options
	}{
		{"no instance", Options{Key: testKey}},
		{"no key", Options{Instance: "a"}},
		{"short key", Options{Instance: "a", Key: testKey[1:]}},
		{"clients not verified", Options{Instance: "a", TLS: &tls.Config{}}},
		{"servers not verified", Options{Instance: "a", TLS: &tls.Config{
			ClientAuth: tls.RequireAndVerifyClientCert, InsecureSkipVerify: true,
		}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.options.Listen = loopback
			_, err := NewTransport(c.options, nil, logr.Discard()).Start(context.Background())
			var fault *ConfigError
			if !errors.As(err, &fault) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// newTLS returns configurations for both ends under one new authority.
func newTLS(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func TestMutualTLS(t *testing.T) {
	shared := newTLS(t)
	secured := func(o *Options) { o.TLS, o.Key = shared, nil }
	a, b := start(t, "a", secured), start(t, "b", secured)
	other := start(t, "c", func(o *Options) { o.TLS, o.Key = newTLS(t), nil })
	before := count("rejected.authentication")
	other.keep("b", b.Address())
	if diff := cmp.Diff(message.PeerDisconnected{Peer: "b", Address: b.Address()}, other.awaitLost(), equal); diff != "" {
		t.Error(diff)
	}
	other.stop()
	if count("rejected.authentication") == before {
		t.Error("a certificate of another authority was not counted")
	}
	a.keep("b", b.Address())
	deliver(a, b, samples[0])
	deliver(b, a, samples[0])
}
