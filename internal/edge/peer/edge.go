// Package peer carries messages between instances.
//
// # What flows in and out
//
// SetPeers tells which links to keep, and SendPeer sends one message.
// PeerLinked flows out when a link stands, PeerMessageReceived for each message of a
// peer, and PeerDisconnected when a link ends or could not be made. Messages may be
// lost, and the core depends on none of them.
//
// A link is one TCP connection with frames behind their length. Both ends
// introduce themselves with the protocol's version, their instance and a
// nonce, and prove that they hold the shared key by an authentication code
// over both introductions. Each later frame carries its number and an
// authentication code under a key of this link and direction, so that a frame
// that was changed, repeated or left out closes the link. The frames are not
// encrypted, unless the options hold a TLS configuration; each end then also
// checks the other's certificate, and the codes are bound to that connection.
//
//	frame of a hello    length (4) | version (2) | msgpack {id, nonce}
//	frame of a proof    length (4) | HMAC-SHA256 (32)
//	all others          length (4) | sequence (8) | number (1) | msgpack | code (16)
//
// The number of each message stands in one table, kinds. Messages above 1 KiB
// are compressed with their number, under a number for that. Number 0 is a
// keepalive, sent each Options.Keepalive; a link on which nothing came for
// Options.Silence is closed, since open connections can go silent for good.
//
// Each pair of instances uses one link. Where both have dialed, the link that
// the lower instance ID dialed is kept; of two links dialed by the same
// instance, the newer one is.
//
// A slow peer can't hold memory: its queue is bounded, and the oldest of the
// messages that a newer one replaces is dropped first. What does not fit is
// dropped and counted, and a link that takes nothing within Options.Write is
// closed.
//
// # Usage
//
//	edge := peer.NewEdge(peer.Options{Instance: "i1", Listen: address, Key: key}, sink, log)
//	ended, err := edge.Start(ctx)
//	edge.HandleAction(message.SetPeers{Peers: []message.PeerTarget{{Address: seed}}})
//	edge.HandleAction(message.SendPeer{To: "i2", Body: message.ManifestRequest{Above: 4}})
package peer

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// counters holds what happened on the links, by name.
var counters = expvar.NewMap("peers")

// -----------------------------------------------------------------------------
// Options.

const (
	defaultKeepalive  = time.Second
	defaultSilence    = 4 * time.Second
	defaultHandshake  = 3 * time.Second
	defaultWrite      = 4 * time.Second
	defaultBackoff    = 50 * time.Millisecond
	defaultBackoffMax = 2 * time.Second
	// minKey is the least length of a shared key, in bytes.
	minKey = 16
	// maxStrangers bounds the connections that are not authenticated yet.
	maxStrangers = 64
)

// Options are the settings of an Edge. Durations of zero have defaults.
type Options struct {
	// Instance is this instance.
	Instance model.InstanceID
	// Listen is where peers connect to; port 0 takes a free one.
	Listen netip.AddrPort
	// Key is the key that all instances share, of 16 bytes or more. It may
	// be empty where TLS is set.
	Key []byte
	// TLS, where set, secures the links. It must ask for and verify the
	// certificates of both ends, which name their IP addresses.
	TLS *tls.Config
	// KeepaliveInterval is how often something is sent at least.
	KeepaliveInterval time.Duration
	// IdleTimeout is the time without a frame after which a link is closed.
	IdleTimeout time.Duration
	// HandshakeTimeout is the longest time for connecting and authentication.
	HandshakeTimeout time.Duration
	// WriteTimeout is the longest time that the other end may take nothing.
	WriteTimeout time.Duration
	// InitialBackoff is the longest pause before the second try to connect. It
	// doubles with each failure up to MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

func (o Options) withDefaults() Options {
	for _, each := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&o.KeepaliveInterval, defaultKeepalive},
		{&o.IdleTimeout, defaultSilence},
		{&o.HandshakeTimeout, defaultHandshake},
		{&o.WriteTimeout, defaultWrite},
		{&o.InitialBackoff, defaultBackoff},
		{&o.MaxBackoff, defaultBackoffMax},
	} {
		if *each.value == 0 {
			*each.value = each.fallback
		}
	}
	return o
}

// check refuses options under which anyone could be a peer.
func (o Options) check() error {
	switch {
	case o.Instance == "":
		return &ConfigError{Reason: "no instance ID"}
	case o.TLS == nil && len(o.Key) < minKey:
		return &ConfigError{Reason: "the key is shorter than 16 bytes and there is no TLS"}
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
// The edge.

// Transport keeps the links to peers. NewEdge makes one.
type Transport struct {
	options Options
	sink    message.Sink
	log     *eventlog.Writer
	// ended gets a value from each goroutine when it ends.
	ended chan struct{}
	// strangers holds a value for each connection not authenticated yet.
	strangers chan struct{}

	mu sync.Mutex
	// ctx is nil before Start.
	ctx      context.Context
	listener net.Listener
	// running counts the goroutines.
	running int
	links   map[model.InstanceID]*link
	keepers map[message.PeerTarget]*keeper
	// wanted holds the addresses of SetPeers.
	wanted map[netip.AddrPort]bool
}

// NewTransport returns an edge that posts what it hears to sink.
func NewTransport(options Options, sink message.Sink, log logr.Logger) *Transport {
	return &Transport{
		options:   options.withDefaults(),
		sink:      sink,
		log:       eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		ended:     make(chan struct{}),
		strangers: make(chan struct{}, maxStrangers),
		links:     map[model.InstanceID]*link{},
		keepers:   map[message.PeerTarget]*keeper{},
	}
}

// Start listens and keeps links until ctx ends. The channel is closed when all
// links are. Its errors are *ConfigError and those of listening.
func (e *Transport) Start(ctx context.Context) (<-chan error, error) {
	if err := e.options.check(); err != nil {
		return nil, err
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", e.options.Listen.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	e.mu.Lock()
	e.ctx = ctx
	e.listener = listener
	e.mu.Unlock()
	e.spawn(func() { e.accept(listener) })
	e.note(event.PeerListening, event.F("address", listener.Addr().String()))
	over := make(chan error)
	go e.supervise(ctx, listener, over)
	return over, nil
}

// Address is where the edge listens. It is valid after Start.
func (e *Transport) Address() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener.Addr().(*net.TCPAddr).AddrPort()
}

// HandleAction takes an action and reports whether it is one of this edge. It never
// blocks.
func (e *Transport) HandleAction(action message.Action) bool {
	switch a := action.(type) {
	case message.SendPeer:
		e.send(a)
	case message.SetPeers:
		e.setPeers(a.Peers)
	default:
		return false
	}
	return true
}

func (e *Transport) send(action message.SendPeer) {
	l := e.linkTo(action.To)
	name := kindOf(action.Body).name
	if l == nil {
		counters.Add("unlinked."+name, 1)
		return
	}
	dropped, full := l.queue.push(action.Body)
	if !full {
		return
	}
	counters.Add("dropped."+kindOf(dropped).name, 1)
	e.note(event.PeerDropped, event.F("peer", action.To), event.F("message", kindOf(dropped).name))
}

func (e *Transport) note(numbered event.Event, fields ...event.Field) {
	e.log.Write(time.Now(), numbered, fields...)
}

// -----------------------------------------------------------------------------
// Goroutines.

// spawn runs work on a goroutine of the edge. It is called from such a
// goroutine, or with the context alive.
func (e *Transport) spawn(work func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spawnLocked(work)
}

func (e *Transport) spawnLocked(work func()) {
	e.running++
	go func() {
		work()
		e.ended <- struct{}{}
	}()
}

// supervise reads the ends of the goroutines until ctx is over and all have
// ended.
func (e *Transport) supervise(ctx context.Context, listener net.Listener, over chan<- error) {
	defer close(over)
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			_ = listener.Close()
			e.closeAll()
		case <-e.ended:
			e.mu.Lock()
			e.running--
			e.mu.Unlock()
		}
		e.mu.Lock()
		running := e.running
		e.mu.Unlock()
		if done == nil && running == 0 {
			return
		}
	}
}

func (e *Transport) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.close(&LinkClosedError{})
	}
}

// -----------------------------------------------------------------------------
// Which link counts.

func (e *Transport) linkTo(peer model.InstanceID) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links[peer]
}

// register makes l the link to its peer, unless the one that stands counts.
func (e *Transport) register(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil || !e.isWanted(l) {
		return false
	}
	old := e.links[l.peer()]
	if old != nil && !e.replaces(l, old) {
		return false
	}
	if old != nil {
		old.close(&LinkReplacedError{})
	}
	e.links[l.peer()] = l
	return true
}

// replaces reports whether l takes the place of old: both ends of a pair
// decide alike.
func (e *Transport) replaces(l, old *link) bool {
	if l.dialed == old.dialed {
		return true
	}
	lower := e.options.Instance < l.peer()
	return l.dialed == lower
}

// unregister forgets a link that has ended. It reports whether the peer is now
// without a link.
func (e *Transport) unregister(l *link) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.peer()] != l {
		return false
	}
	delete(e.links, l.peer())
	return true
}

// serve carries messages over a link until it ends. Where another link to the
// same peer counts, it ends at once.
func (e *Transport) serve(l *link) {
	defer close(l.done)
	if !e.register(l) {
		l.close(&LinkReplacedError{})
		return
	}
	counters.Add("linked", 1)
	e.note(event.PeerLinked,
		event.F("peer", l.peer()), event.F("address", l.address.String()), event.F("dialed", l.dialed))
	e.sink.Post(message.PeerConnected{Peer: l.peer()})
	reason := l.run(e.options, func(m message.PeerMessage) {
		e.sink.Post(message.PeerMessageReceived{From: l.peer(), Body: m})
	})
	e.reject(l.peer(), l.address, reason)
	counters.Add("ended", 1)
	e.note(event.PeerUnlinked,
		event.F("peer", l.peer()), event.F("address", l.address.String()), event.F("error", reason.Error()))
	if e.unregister(l) {
		e.sink.Post(message.PeerDisconnected{Peer: l.peer(), Address: l.address})
	}
}

// reject counts and logs what the other end did wrong, if it did.
func (e *Transport) reject(peer model.InstanceID, address netip.AddrPort, err error) {
	name := faultOf(err)
	if name == "" {
		return
	}
	counters.Add("rejected."+name, 1)
	e.note(event.PeerRejected,
		event.F("peer", peer), event.F("address", address.String()),
		event.F("fault", name), event.F("error", err.Error()))
}
