// Package peer exchanges messages between instances.
//
// # What flows in and out
//
// The action SetPeers names the peers to stay connected to, and SendPeer sends one
// message. The event PeerConnected is posted when a link is established,
// PeerMessageReceived for each message from a peer, and PeerDisconnected when a
// link ends or a connection attempt fails. Messages may be lost, and the core does
// not rely on the delivery of any of them.
//
// A link is one TCP connection that carries length-prefixed frames. In the
// handshake both ends send a hello with the protocol version, their instance ID
// and a nonce, and then prove that they hold the shared key by a message
// authentication code (MAC) over both hellos. Each later frame carries a sequence
// number and a MAC under a key of this link and direction, so that a frame that was
// modified, replayed or omitted closes the link. Frames are encrypted only if the
// options contain a TLS configuration; each end then also verifies the other's
// certificate, and the MACs are bound to the TLS connection. In the layouts below the
// numbers in brackets are sizes in bytes, and length is the number of bytes that
// follow it.
//
//	hello               length (4) | version (2) | msgpack {id, nonce}
//	proof of the key    length (4) | HMAC-SHA256 (32)
//	all others          length (4) | sequence (8) | number (1) | msgpack | MAC (16)
//
// The table messageTypes assigns a number to each type of message. Messages larger
// than 1 KiB are compressed together with their number, and sent under a number
// that marks compressed content. Number 0 is a keepalive, sent every
// Options.KeepaliveInterval; a link that receives nothing for Options.IdleTimeout is
// closed, since a TCP connection can stay open although its other end is gone.
//
// Each pair of instances uses one link. If both have dialed, the link dialed by
// the instance with the lower ID is kept; of two links dialed by the same
// instance, the newer one is kept.
//
// Memory use stays bounded if a peer reads slowly: the queue of each link has a
// maximum length, and if it is full, the oldest message that a newer one of its
// type supersedes is dropped, or else the new message. Dropped messages are
// counted, and a link that accepts no data within Options.WriteTimeout is closed.
//
// # Usage
//
//	options := peer.Options{Instance: "i1", Listen: address, Key: key}
//	transport := peer.NewTransport(options, sink, log)
//	stopped, err := transport.Start(ctx)
//	targets := []message.PeerTarget{{Address: seed}}
//	transport.HandleAction(message.SetPeers{Peers: targets})
//	request := message.ManifestRequest{NewerThan: 4}
//	transport.HandleAction(message.SendPeer{To: "i2", Body: request})
package peer

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// counters counts events of the links, published under "peers".
var counters = expvar.NewMap("peers")

// -----------------------------------------------------------------------------
// Options.

const (
	defaultKeepaliveInterval = time.Second
	defaultIdleTimeout       = 4 * time.Second
	defaultHandshakeTimeout  = 3 * time.Second
	defaultWriteTimeout      = 4 * time.Second
	defaultInitialBackoff    = 50 * time.Millisecond
	defaultMaxBackoff        = 2 * time.Second
	// minKeySize is the minimum length of the shared key, in bytes.
	minKeySize = 16
	// maxUnauthenticated is the maximum number of accepted connections that are
	// not authenticated yet.
	maxUnauthenticated = 64
)

// Options are the settings of a Transport. Durations of zero have defaults.
type Options struct {
	// Instance is the ID of this instance.
	Instance model.InstanceID
	// Listen is the address on which peers are accepted; port 0 picks a free one.
	Listen netip.AddrPort
	// Key is the key that all instances share, of at least 16 bytes. It may be
	// empty if TLS is set.
	Key []byte
	// TLS, if set, is used for all links. It must require and verify the
	// certificates of both ends, which contain their IP addresses.
	TLS *tls.Config
	// KeepaliveInterval is the interval at which keepalives are sent.
	KeepaliveInterval time.Duration
	// IdleTimeout is the time without a received frame after which a link is
	// closed.
	IdleTimeout time.Duration
	// HandshakeTimeout is the maximum duration of each of two steps: connecting, and
	// the authentication that follows.
	HandshakeTimeout time.Duration
	// WriteTimeout is the maximum duration of a write to a link.
	WriteTimeout time.Duration
	// InitialBackoff is the maximum delay before the second connection attempt.
	// The maximum doubles with each failure, up to MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

func (o Options) withDefaults() Options {
	for _, setting := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.KeepaliveInterval, defaultKeepaliveInterval},
		{&o.IdleTimeout, defaultIdleTimeout},
		{&o.HandshakeTimeout, defaultHandshakeTimeout},
		{&o.WriteTimeout, defaultWriteTimeout},
		{&o.InitialBackoff, defaultInitialBackoff},
		{&o.MaxBackoff, defaultMaxBackoff},
	} {
		if *setting.value == 0 {
			*setting.value = setting.fallback
		}
	}
	return o
}

// validate returns a *ConfigError for options that would leave links
// unauthenticated.
func (o Options) validate() error {
	switch {
	case o.Instance == "":
		return &ConfigError{Reason: "no instance ID"}
	case o.TLS == nil && len(o.Key) < minKeySize:
		return &ConfigError{Reason: "the shared key is shorter than 16 bytes and TLS is not configured"}
	case o.TLS == nil:
		return nil
	case o.TLS.ClientAuth != tls.RequireAndVerifyClientCert:
		return &ConfigError{Reason: "TLS does not verify the certificates of those that connect"}
	case o.TLS.InsecureSkipVerify:
		return &ConfigError{Reason: "TLS does not verify the certificates of those connected to"}
	default:
		return nil
	}
}

// -----------------------------------------------------------------------------
// Transport.

// Transport maintains the links to peers. It is created by NewTransport.
type Transport struct {
	options Options
	sink    message.Sink
	log     *eventlog.Writer
	// goroutineEnded receives a value from each goroutine that ends.
	goroutineEnded chan struct{}
	// unauthenticated is a semaphore with one value for each accepted connection
	// that is not authenticated yet.
	unauthenticated chan struct{}

	mu sync.Mutex
	// ctx is nil before Start.
	ctx      context.Context
	listener net.Listener
	// goroutines is the number of goroutines started by spawn that have not ended.
	goroutines int
	// connections counts the connections that were accepted or dialed.
	connections atomic.Uint64
	links       map[model.InstanceID]*link
	managers    map[message.PeerTarget]*connectionManager
	// wantedAddresses contains the addresses of the last SetPeers.
	wantedAddresses map[netip.AddrPort]bool
}

// NewTransport returns a transport that posts connection changes and received
// messages to sink.
func NewTransport(options Options, sink message.Sink, log logr.Logger) *Transport {
	return &Transport{
		options:         options.withDefaults(),
		sink:            sink,
		log:             eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		goroutineEnded:  make(chan struct{}),
		unauthenticated: make(chan struct{}, maxUnauthenticated),
		links:           map[model.InstanceID]*link{},
		managers:        map[message.PeerTarget]*connectionManager{},
	}
}

// Start listens and maintains links until ctx ends. The returned channel is closed
// once all links are closed. Its errors are *ConfigError and those of listening.
func (t *Transport) Start(ctx context.Context) (<-chan error, error) {
	if err := t.options.validate(); err != nil {
		return nil, err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", t.options.Listen.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	t.mu.Lock()
	t.ctx = ctx
	t.listener = listener
	t.mu.Unlock()
	t.spawn(func() { t.accept(listener) })
	t.logEvent(event.PeerListening, event.F("address", listener.Addr().String()))
	stopped := make(chan error)
	go t.supervise(ctx, listener, stopped)
	return stopped, nil
}

// Address returns the address on which peers are accepted. It must be called after
// Start.
func (t *Transport) Address() netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

// HandleAction handles action if it is a SendPeer or SetPeers, and reports whether
// it is one. It never blocks.
func (t *Transport) HandleAction(action message.Action) bool {
	switch a := action.(type) {
	case message.SendPeer:
		t.send(a)
	case message.SetPeers:
		t.setPeers(a.Peers)
	default:
		return false
	}
	return true
}

func (t *Transport) send(action message.SendPeer) {
	l := t.linkTo(action.To)
	name := messageTypeOf(action.Body).name
	if l == nil {
		counters.Add("unlinked."+name, 1)
		return
	}
	dropped, queueFull := l.queue.push(action.Body)
	if !queueFull {
		return
	}
	counters.Add("dropped."+messageTypeOf(dropped).name, 1)
	t.logEvent(event.PeerDropped, event.F("peer", action.To), event.F("message", messageTypeOf(dropped).name))
}

func (t *Transport) logEvent(logged event.Event, fields ...event.Field) {
	t.log.Write(time.Now(), logged, fields...)
}

// -----------------------------------------------------------------------------
// Goroutines.

// spawn runs task in a goroutine that supervise waits for. It must be called from
// such a goroutine or before the context has ended, so that supervise has not
// returned.
func (t *Transport) spawn(task func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spawnLocked(task)
}

func (t *Transport) spawnLocked(task func()) {
	t.goroutines++
	go func() {
		task()
		t.goroutineEnded <- struct{}{}
	}()
}

// supervise waits for ctx to end, then closes the listener and all links, and
// returns once all goroutines have ended.
func (t *Transport) supervise(ctx context.Context, listener net.Listener, stopped chan<- error) {
	defer close(stopped)
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			_ = listener.Close()
			t.closeAll()
		case <-t.goroutineEnded:
			t.mu.Lock()
			t.goroutines--
			t.mu.Unlock()
		}
		t.mu.Lock()
		goroutines := t.goroutines
		t.mu.Unlock()
		if done == nil && goroutines == 0 {
			return
		}
	}
}

func (t *Transport) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.close(&LinkClosedError{})
	}
}

// -----------------------------------------------------------------------------
// Link selection.

func (t *Transport) linkTo(peer model.InstanceID) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[peer]
}

// register makes l the link to its peer and closes an existing one. It returns
// false if the existing link is kept, if l is no longer wanted, or if the
// transport's context has ended.
func (t *Transport) register(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil || !t.isWanted(l) {
		return false
	}
	existing := t.links[l.peer()]
	if existing != nil && !t.replaces(l, existing) {
		return false
	}
	if existing != nil {
		existing.close(&LinkReplacedError{})
	}
	t.links[l.peer()] = l
	return true
}

// replaces reports whether l replaces existing. Both ends of a pair come to the
// same decision: of links dialed by different ends, the one dialed by the lower
// instance ID is kept; of links dialed by the same end, the newer one.
func (t *Transport) replaces(l, existing *link) bool {
	if l.dialed == existing.dialed {
		// The handshakes of two connections may end in the other order.
		return l.number >= existing.number
	}
	selfIsLower := t.options.Instance < l.peer()
	return l.dialed == selfIsLower
}

// unregister removes a link that has ended. It returns false if another link to
// the same peer has replaced it.
func (t *Transport) unregister(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.peer()] != l {
		return false
	}
	delete(t.links, l.peer())
	return true
}

// serve runs a link until it ends. It closes the link at once, with a
// LinkReplacedError, if register rejects it: another link to the same peer is kept,
// the link is no longer wanted, or the transport's context has ended.
func (t *Transport) serve(l *link) {
	defer close(l.done)
	if !t.register(l) {
		l.close(&LinkReplacedError{})
		return
	}
	counters.Add("linked", 1)
	t.logEvent(event.PeerLinked,
		event.F("peer", l.peer()), event.F("address", l.address.String()), event.F("dialed", l.dialed))
	t.sink.Post(message.PeerConnected{Peer: l.peer()})
	reason := l.run(t.options, func(m message.PeerMessage) {
		t.sink.Post(message.PeerMessageReceived{From: l.peer(), Body: m})
	})
	t.reportFault(l.peer(), l.address, reason)
	counters.Add("ended", 1)
	t.logEvent(event.PeerUnlinked,
		event.F("peer", l.peer()), event.F("address", l.address.String()), event.F("error", reason.Error()))
	if t.unregister(l) {
		t.sink.Post(message.PeerDisconnected{Peer: l.peer(), Address: l.address})
	}
}

// reportFault counts and logs err if it is a protocol error of the other end.
func (t *Transport) reportFault(peer model.InstanceID, address netip.AddrPort, err error) {
	fault := faultNameOf(err)
	if fault == "" {
		return
	}
	counters.Add("rejected."+fault, 1)
	t.logEvent(event.PeerRejected,
		event.F("peer", peer), event.F("address", address.String()),
		event.F("fault", fault), event.F("error", err.Error()))
}
