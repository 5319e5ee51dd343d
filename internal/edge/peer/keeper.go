package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// acceptPause is the pause after a failure to accept a connection, such as too
// many open files.
const acceptPause = 50 * time.Millisecond

// -----------------------------------------------------------------------------
// Links that others dial.

// accept takes connections until the listener is closed.
func (e *Transport) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			sleep(e.ctx, acceptPause)
			continue
		}
		select {
		case e.strangers <- struct{}{}:
			e.spawn(func() { e.welcome(conn) })
		default:
			counters.Add("rejected.strangers", 1)
			_ = conn.Close()
		}
	}
}

// welcome authenticates an accepted connection and serves it.
func (e *Transport) welcome(conn net.Conn) {
	address := addressOf(conn)
	l, err := e.shake(e.ctx, conn, roleAcceptor, address)
	<-e.strangers
	if err != nil {
		e.reject("", address, err)
		return
	}
	e.serve(l)
}

// -----------------------------------------------------------------------------
// Links that this instance dials.

// keeper keeps one link of SetPeers.
type keeper struct {
	target message.PeerTarget
	cancel context.CancelFunc
	// backoff spaces the tries to connect. With a factor of 1 around half
	// the interval, the pause is uniform between 0 and the whole interval:
	// full jitter.
	backoff backoff.ExponentialBackOff
	// peer is who was reached last.
	peer model.InstanceID
}

// setPeers starts a keeper for each new target and ends those of others, with
// the links that they dialed.
func (e *Transport) setPeers(targets []message.PeerTarget) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := map[message.PeerTarget]bool{}
	e.wanted = map[netip.AddrPort]bool{}
	for _, target := range targets {
		wanted[target] = target.Instance != e.options.Instance
		e.wanted[target.Address] = true
	}
	for target, k := range e.keepers {
		if !wanted[target] {
			k.cancel()
			delete(e.keepers, target)
		}
	}
	for _, l := range e.links {
		if !e.isWanted(l) {
			l.close(&LinkClosedError{})
		}
	}
	if e.ctx == nil || e.ctx.Err() != nil {
		return
	}
	for target, want := range wanted {
		if want && e.keepers[target] == nil {
			e.keep(target)
		}
	}
}

// isWanted reports whether SetPeers or the other end asks for a link.
func (e *Transport) isWanted(l *link) bool { return !l.dialed || e.wanted[l.address] }

func (e *Transport) keep(target message.PeerTarget) {
	ctx, cancel := context.WithCancel(e.ctx)
	k := &keeper{
		target: target, cancel: cancel, peer: target.Instance,
		backoff: backoff.ExponentialBackOff{
			InitialInterval:     e.options.InitialBackoff / 2,
			MaxInterval:         e.options.MaxBackoff / 2,
			Multiplier:          2,
			RandomizationFactor: 1,
		},
	}
	e.keepers[target] = k
	e.spawnLocked(func() {
		defer cancel()
		e.keepLinked(ctx, k)
	})
}

// keepLinked dials whenever there is no link to the target, until ctx ends or
// the target turns out to be this instance.
func (e *Transport) keepLinked(ctx context.Context, k *keeper) {
	for ctx.Err() == nil {
		if standing := e.linkTo(k.peer); standing != nil {
			select {
			case <-standing.done:
			case <-ctx.Done():
			}
			continue
		}
		err := e.dialAndServe(ctx, k)
		var self *SelfConnectionError
		if errors.As(err, &self) {
			return
		}
		pause := k.backoff.NextBackOff()
		if err != nil {
			e.noteUnreachable(k, err, pause)
		}
		sleep(ctx, pause)
	}
}

// dialAndServe makes a link and serves it until it ends. An error tells that
// none was made.
func (e *Transport) dialAndServe(ctx context.Context, k *keeper) error {
	dialer := net.Dialer{Timeout: e.options.HandshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", k.target.Address.String())
	if err != nil {
		return errors.WithStack(err)
	}
	l, err := e.shake(ctx, conn, roleDialer, k.target.Address)
	if err != nil {
		e.reject(k.peer, k.target.Address, err)
		return err
	}
	k.peer = l.peer()
	e.serve(l)
	if l.heard.Load() {
		k.backoff.Reset()
	}
	return nil
}

func (e *Transport) noteUnreachable(k *keeper, err error, pause time.Duration) {
	counters.Add("unreachable", 1)
	e.note(event.PeerUnreachable,
		event.F("peer", k.peer), event.F("address", k.target.Address.String()),
		event.F("error", err.Error()), event.F("again", pause.String()))
	e.sink.Post(message.PeerDisconnected{Peer: k.peer, Address: k.target.Address})
}

// sleep waits for the time d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// -----------------------------------------------------------------------------
// Both.

// shake authenticates a connection in bounded time. On an error it is closed.
func (e *Transport) shake(ctx context.Context, conn net.Conn, as role, address netip.AddrPort) (*link, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	agreed, secured, err := e.authenticate(ctx, conn, as, address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return newLink(secured, agreed, as == roleDialer, address), nil
}

func (e *Transport) authenticate(
	ctx context.Context, conn net.Conn, as role, address netip.AddrPort,
) (session, net.Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(e.options.HandshakeTimeout)); err != nil {
		return session{}, conn, errors.WithStack(err)
	}
	conn, err := e.secure(ctx, conn, as, address)
	if err != nil {
		return session{}, conn, err
	}
	secret, err := secretOf(conn, e.options.Key)
	if err != nil {
		return session{}, conn, err
	}
	agreed, err := shake(conn, e.options.Instance, as, secret)
	return agreed, conn, err
}

// secure wraps conn in TLS where the options ask for it.
func (e *Transport) secure(ctx context.Context, conn net.Conn, as role, address netip.AddrPort) (net.Conn, error) {
	if e.options.TLS == nil {
		return conn, nil
	}
	var secured *tls.Conn
	if as == roleAcceptor {
		secured = tls.Server(conn, e.options.TLS)
	} else {
		config := e.options.TLS.Clone()
		if config.ServerName == "" {
			config.ServerName = address.Addr().String()
		}
		secured = tls.Client(conn, config)
	}
	err := secured.HandshakeContext(ctx)
	switch {
	case err == nil:
		return secured, nil
	case isBroken(err):
		return conn, errors.WithStack(err)
	default:
		return conn, &AuthenticationError{Step: "TLS handshake: " + err.Error()}
	}
}

// isBroken reports whether a TLS handshake failed below TLS.
func isBroken(err error) bool {
	var failure net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) ||
		errors.As(err, &failure) && failure.Timeout()
}

// addressOf is the address of the other end.
func addressOf(conn net.Conn) netip.AddrPort {
	address := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
