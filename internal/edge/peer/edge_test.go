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

// unreachedTimeout is a timeout that does not expire in a passing test.
const unreachedTimeout = time.Minute

// shortTimeout is the timeout that tests of timeouts let expire.
const shortTimeout = 30 * time.Millisecond

// resendInterval is the delay before a message is sent again, since messages may be
// lost.
const resendInterval = 10 * time.Millisecond

var (
	testKey  = []byte("0123456789abcdef")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

type sink chan message.Event

func (s sink) Post(event message.Event) { s <- event }

// instance is a running transport with the events that it posted.
type instance struct {
	*Transport
	events sink
	stop   func()
}

func start(t *testing.T, id model.InstanceID, configure func(*Options)) instance {
	t.Helper()
	options := Options{
		Instance: id, Listen: loopback, Key: testKey,
		KeepaliveInterval: time.Millisecond, IdleTimeout: unreachedTimeout, HandshakeTimeout: unreachedTimeout, WriteTimeout: unreachedTimeout,
		MaxBackoff: time.Millisecond,
	}
	if configure != nil {
		configure(&options)
	}
	events := make(sink, 100_000)
	transport := NewTransport(options, events, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	stopped, err := transport.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	stop := func() {
		cancel()
		<-stopped
	}
	t.Cleanup(stop)
	return instance{transport, events, stop}
}

func (i instance) setPeer(id model.InstanceID, addresses ...netip.AddrPort) {
	var set message.SetPeers
	for _, address := range addresses {
		set.Peers = append(set.Peers, message.PeerTarget{Instance: id, Address: address})
	}
	i.HandleAction(set)
}

// deliver sends m repeatedly until the other instance receives it, and returns the
// event.
func deliver(from, to instance, m message.PeerMessage) message.PeerMessageReceived {
	for {
		from.HandleAction(message.SendPeer{To: to.options.Instance, Body: m})
		timer := time.NewTimer(resendInterval)
		for waiting := true; waiting; {
			select {
			case event := <-to.events:
				if received, found := event.(message.PeerMessageReceived); found && cmp.Equal(received.Body, m, compareOptions) {
					timer.Stop()
					return received
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
}

// awaitDisconnected waits for the next PeerDisconnected and returns it.
func (i instance) awaitDisconnected() message.PeerDisconnected {
	for {
		if disconnected, found := (<-i.events).(message.PeerDisconnected); found {
			return disconnected
		}
	}
}

func counterValue(name string) int64 {
	value, found := counters.Get(name).(*expvar.Int)
	if !found {
		return 0
	}
	return value.Value()
}

// -----------------------------------------------------------------------------
// Links.

func TestEveryMessageIsReceivedFromAnUnknownInstance(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.setPeer("", b.Address())
	for _, linked := range []struct {
		at   instance
		want message.Event
	}{{a, message.PeerConnected{Peer: "b"}}, {b, message.PeerConnected{Peer: "a"}}} {
		if diff := cmp.Diff(linked.want, <-linked.at.events, compareOptions); diff != "" {
			t.Error(diff)
		}
	}
	for _, m := range samples {
		want := message.PeerMessageReceived{From: "a", Body: m}
		if diff := cmp.Diff(want, deliver(a, b, m), compareOptions); diff != "" {
			t.Error(diff)
		}
	}
	deliver(b, a, samples[0])
}

func TestBothDial(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.setPeer("b", b.Address(), a.Address())
	b.setPeer("", a.Address(), b.Address())
	for range 20 {
		deliver(a, b, samples[0])
		deliver(b, a, samples[0])
	}
}

func TestSelectionOfDuplicateLinks(t *testing.T) {
	cases := []struct {
		name                 string
		self, peer           model.InstanceID
		oldDialed, newDialed bool
		want                 bool
	}{
		{"new link dialed by the lower ID", "a", "b", false, true, true},
		{"new link dialed by the higher ID", "a", "b", true, false, false},
		{"at the higher ID, new link dialed by the lower ID", "b", "a", true, false, true},
		{"at the higher ID, new link dialed by the higher ID", "b", "a", false, true, false},
		{"both links dialed by this instance", "b", "a", true, true, true},
		{"both links dialed by the peer", "a", "b", false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			transport := NewTransport(Options{Instance: c.self}, nil, logr.Discard())
			newTestLink := func(dialed bool) *link { return &link{dialed: dialed, session: session{peer: c.peer}} }
			if diff := cmp.Diff(c.want, transport.replaces(newTestLink(c.newDialed), newTestLink(c.oldDialed))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAddressTakenOverByAnotherInstance(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	address := b.Address()
	a.setPeer("b", address)
	deliver(b, a, samples[0])
	b.stop()
	if diff := cmp.Diff(message.PeerDisconnected{Peer: "b", Address: address}, a.awaitDisconnected(), compareOptions); diff != "" {
		t.Error(diff)
	}
	c := start(t, "c", func(o *Options) { o.Listen = address })
	deliver(c, a, samples[0])
	deliver(a, c, samples[0])
}

func TestLinkToRemovedPeerIsClosed(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.setPeer("b", b.Address())
	deliver(a, b, samples[0])
	a.setPeer("")
	if diff := cmp.Diff(model.InstanceID("a"), b.awaitDisconnected().Peer); diff != "" {
		t.Error(diff)
	}
}

func TestSendWithoutLinkIsCounted(t *testing.T) {
	a := start(t, "a", nil)
	countBefore := counterValue("unlinked.demand")
	a.HandleAction(message.SendPeer{To: "z", Body: message.LeaseRequest{}})
	if diff := cmp.Diff(countBefore+1, counterValue("unlinked.demand")); diff != "" {
		t.Error(diff)
	}
}

// -----------------------------------------------------------------------------
// Protocol errors of a peer that dials.

// manualPeer is a connection to a transport on which the test sends raw frames.
type manualPeer struct {
	t       *testing.T
	conn    net.Conn
	session session
}

func dialManually(t *testing.T, to netip.AddrPort) *manualPeer {
	t.Helper()
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &manualPeer{t: t, conn: conn}
}

func (s *manualPeer) handshake() *manualPeer {
	sess, err := handshake(s.conn, linkProtocol, "z", roleDialer, testKey)
	if err != nil {
		s.t.Fatal(err)
	}
	s.session = sess
	return s
}

func (s *manualPeer) seal(content []byte) []byte {
	frame, err := s.session.sealer.seal(content)
	if err != nil {
		s.t.Fatal(err)
	}
	return frame
}

func (s *manualPeer) send(frames ...[]byte) {
	for _, frame := range frames {
		if err := writeFrame(s.conn, frame); err != nil {
			return
		}
	}
}

// awaitClosed reads until the transport closes the connection.
func (s *manualPeer) awaitClosed() { _, _ = io.Copy(io.Discard, s.conn) }

func TestFaultsOfADialer(t *testing.T) {
	heartbeat, err := encodeMessage(samples[0], messageLevel)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, counter string
		misbehave     func(s *manualPeer)
	}{
		{"other version", "version", func(s *manualPeer) { s.send([]byte{0, 9, 0x80}) }},
		{"no version", "size", func(s *manualPeer) { s.send([]byte{0}) }},
		{"hello without an instance", "unreadable", func(s *manualPeer) { s.send([]byte{0, 1, 0x80}) }},
		{"hello not decodable", "unreadable", func(s *manualPeer) { s.send([]byte{0, 1, 0xc1}) }},
		{"hello too large", "size", func(s *manualPeer) { s.send(make([]byte, maxHandshakeFrame+1)) }},
		{"other key", "authentication", func(s *manualPeer) {
			_, _ = handshake(s.conn, linkProtocol, "z", roleDialer, []byte("another key of it"))
		}},
		{"proof of the other role", "authentication", func(s *manualPeer) {
			mine, _ := newHello(linkProtocol, "z")
			theirs, _ := exchange(s.conn, roleDialer, mine, nil)
			s.send(hmacSHA256(testKey, []byte("proof acceptor"), buildTranscript(roleDialer, mine, theirs)))
		}},
		{"frame too large", "size", func(s *manualPeer) {
			_, _ = s.handshake().conn.Write([]byte{0, 0x10, 0, 1})
		}},
		{"frame too short", "size", func(s *manualPeer) { s.handshake().send(make([]byte, macSize)) }},
		{"frame without content", "size", func(s *manualPeer) { s.send(s.handshake().seal(nil)) }},
		{"frame modified", "authentication", func(s *manualPeer) {
			frame := s.handshake().seal(heartbeat)
			frame[sequenceSize+2]++
			s.send(frame)
		}},
		{"frame without a MAC", "authentication", func(s *manualPeer) { s.handshake().send(make([]byte, 64)) }},
		{"frame of another link", "authentication", func(s *manualPeer) {
			frame := s.handshake().seal(heartbeat)
			other := dialManually(s.t, addressOf(s.conn))
			other.handshake().send(frame)
			other.awaitClosed()
			_ = s.conn.Close()
		}},
		{"frame replayed", "replay", func(s *manualPeer) {
			frame := s.handshake().seal(heartbeat)
			s.send(frame, frame)
		}},
		{"frame omitted", "replay", func(s *manualPeer) {
			s.handshake().seal(heartbeat)
			s.send(s.seal(heartbeat))
		}},
		{"unknown number", "number", func(s *manualPeer) { s.send(s.handshake().seal([]byte{200, 0x80})) }},
		{"message not decodable", "unreadable", func(s *manualPeer) { s.send(s.handshake().seal([]byte{1, 0xc1})) }},
		{"huge array declared", "unreadable", func(s *manualPeer) {
			s.send(s.handshake().seal([]byte("\x06\x81\xa5wants\xdd\xff\xff\xff\xff")))
		}},
		{"trailing bytes", "unreadable", func(s *manualPeer) {
			s.send(s.handshake().seal(append(heartbeat[:len(heartbeat):len(heartbeat)], 0)))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := start(t, "a", nil)
			countBefore := counterValue("rejected." + c.counter)
			s := dialManually(t, a.Address())
			c.misbehave(s)
			s.awaitClosed()
			a.stop()
			if diff := cmp.Diff(countBefore+1, counterValue("rejected."+c.counter)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSlowAndUnresponsiveDialers(t *testing.T) {
	cases := []struct {
		name      string
		change    func(*Options)
		misbehave func(a instance, s *manualPeer)
	}{
		{"no hello", func(o *Options) { o.HandshakeTimeout = shortTimeout }, func(instance, *manualPeer) {}},
		{"no frame after the handshake", func(o *Options) { o.IdleTimeout = shortTimeout }, func(_ instance, s *manualPeer) { s.handshake() }},
		{"reads nothing", func(o *Options) { o.WriteTimeout = shortTimeout }, func(a instance, s *manualPeer) {
			s.handshake().send(s.seal([]byte{3, 0x80}))
			<-a.events
			// Random bytes are not compressible, so that the connection's buffers
			// fill up.
			body := make([]byte, maxFrame/2)
			_, _ = rand.Read(body)
			for range maxQueuedMessages {
				a.HandleAction(message.SendPeer{To: "z", Body: message.ManifestOffer{Body: body}})
			}
			a.awaitDisconnected()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := start(t, "a", c.change)
			s := dialManually(t, a.Address())
			c.misbehave(a, s)
			s.awaitClosed()
		})
	}
}

// -----------------------------------------------------------------------------
// Protocol errors of a peer that is dialed.

func TestFaultsOfAnAcceptor(t *testing.T) {
	cases := []struct {
		name, counter string
		serve         func(conn net.Conn)
	}{
		{"other version", "version", func(conn net.Conn) {
			_, _ = exchange(conn, roleAcceptor, []byte{0, 9, 0x80}, nil)
		}},
		{"invalid proof of the key", "authentication", func(conn net.Conn) {
			mine, _ := newHello(linkProtocol, "z")
			_, _ = exchange(conn, roleAcceptor, mine, nil)
			_, _ = exchange(conn, roleAcceptor, make([]byte, 32), nil)
		}},
		{"the dialer's proof sent back", "authentication", func(conn net.Conn) {
			mine, _ := newHello(linkProtocol, "z")
			_, _ = exchange(conn, roleAcceptor, mine, nil)
			proof, _ := readFrame(conn, maxHandshakeFrame)
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
			countBefore := counterValue("rejected." + c.counter)
			a := start(t, "a", nil)
			address := addressOfListener(listener)
			a.setPeer("z", address)
			want := message.PeerDisconnected{Peer: "z", Address: address}
			if diff := cmp.Diff(want, a.awaitDisconnected(), compareOptions); diff != "" {
				t.Error(diff)
			}
			if counterValue("rejected."+c.counter) == countBefore {
				t.Error("the protocol error was not counted")
			}
		})
	}
}

func addressOfListener(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// An operator must be able to tell which messages an instance's traffic consists of.
func TestMessagesAreCountedByType(t *testing.T) {
	names := []string{"sent.bulletin-wanted", "sent.bytes.bulletin-wanted", "received.bulletin-wanted", "received.bytes.bulletin-wanted"}
	before := map[string]int64{}
	for _, name := range names {
		before[name] = counterValue(name)
	}
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.setPeer("b", b.Address())
	request := message.GossipStateRequest{SenderClock: 9 * time.Second}
	deliver(a, b, request)
	content, err := encodeMessage(request, messageLevel)
	if err != nil {
		t.Fatal(err)
	}
	size := int64(lengthSize + sequenceSize + len(content) + macSize)
	for i, want := range []int64{1, size, 1, size} {
		for deadline := time.Now().Add(10 * time.Second); counterValue(names[i])-before[names[i]] != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s has grown by %d, want %d", names[i], counterValue(names[i])-before[names[i]], want)
			}
		}
	}
}

// -----------------------------------------------------------------------------
// Options and TLS.

func TestOptionsWithoutAuthenticationAreRejected(t *testing.T) {
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
			var configErr *ConfigError
			if !errors.As(err, &configErr) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// newTLS returns a configuration for both ends with a new self-signed CA
// certificate.
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
	configure := func(o *Options) { o.TLS, o.Key = shared, nil }
	a, b := start(t, "a", configure), start(t, "b", configure)
	untrusted := start(t, "c", func(o *Options) { o.TLS, o.Key = newTLS(t), nil })
	countBefore := counterValue("rejected.authentication")
	untrusted.setPeer("b", b.Address())
	if diff := cmp.Diff(message.PeerDisconnected{Peer: "b", Address: b.Address()}, untrusted.awaitDisconnected(), compareOptions); diff != "" {
		t.Error(diff)
	}
	untrusted.stop()
	if counterValue("rejected.authentication") == countBefore {
		t.Error("the rejected certificate of another CA was not counted")
	}
	a.setPeer("b", b.Address())
	deliver(a, b, samples[0])
	deliver(b, a, samples[0])
}

// Guards against a link that is replaced by an earlier one of the same peer, whose
// handshake has taken longer: the peer has given that one up.
func TestEarlierConnectionDoesNotReplaceLaterOne(t *testing.T) {
	a := start(t, "a", nil)
	linkOf := func(number uint64) *link {
		conn, other := net.Pipe()
		t.Cleanup(func() { _ = other.Close() })
		l := newLink(conn, session{peer: "z"}, false, netip.AddrPort{})
		l.number = number
		return l
	}
	later, earlier, newest := linkOf(12), linkOf(11), linkOf(13)
	got := []bool{a.register(later), a.register(earlier), a.register(newest)}
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Error(diff)
	}
	a.unregister(newest)
	a.stop()
}
