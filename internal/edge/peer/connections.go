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

// acceptRetryDelay is the delay after a failure to accept a connection, for example
// because of too many open files.
const acceptRetryDelay = 50 * time.Millisecond

// -----------------------------------------------------------------------------
// Accepted links.

// accept accepts connections until the listener is closed.
func (t *Transport) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			sleep(t.ctx, acceptRetryDelay)
			continue
		}
		select {
		case t.unauthenticated <- struct{}{}:
			number := t.connections.Add(1)
			t.spawn(func() { t.serveAccepted(conn, number) })
		default:
			counters.Add("rejected.strangers", 1)
			_ = conn.Close()
		}
	}
}

// serveAccepted authenticates an accepted connection and serves it.
func (t *Transport) serveAccepted(conn net.Conn, number uint64) {
	address := addressOf(conn)
	l, err := t.handshake(t.ctx, conn, number, roleAcceptor, address)
	<-t.unauthenticated
	if err != nil {
		t.reportFault("", address, err)
		return
	}
	t.serve(l)
}

// -----------------------------------------------------------------------------
// Dialed links.

// connectionManager maintains the link to one target of SetPeers.
type connectionManager struct {
	target message.PeerTarget
	cancel context.CancelFunc
	// backoff determines the delays between connection attempts. Its intervals
	// are half of the configured ones and its randomization factor is 1, so that
	// delays are uniform between 0 and the configured interval: full jitter.
	backoff backoff.ExponentialBackOff
	// peer is the instance last reached at the address, at first the one that the
	// target names.
	peer model.InstanceID
}

// setPeers starts a connection manager for each new target. It stops those of
// removed targets and closes the links that this instance dialed to them.
func (t *Transport) setPeers(targets []message.PeerTarget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wantedTargets := map[message.PeerTarget]bool{}
	t.wantedAddresses = map[netip.AddrPort]bool{}
	for _, target := range targets {
		wantedTargets[target] = target.Instance != t.options.Instance
		t.wantedAddresses[target.Address] = true
	}
	for target, m := range t.managers {
		if !wantedTargets[target] {
			m.cancel()
			delete(t.managers, target)
		}
	}
	for _, l := range t.links {
		if !t.isWanted(l) {
			l.close(&LinkClosedError{})
		}
	}
	if t.ctx == nil || t.ctx.Err() != nil {
		return
	}
	for target, wanted := range wantedTargets {
		if wanted && t.managers[target] == nil {
			t.startManager(target)
		}
	}
}

// isWanted reports whether l is to be kept: the other end dialed it, or its address
// is in the last SetPeers.
func (t *Transport) isWanted(l *link) bool { return !l.dialed || t.wantedAddresses[l.address] }

func (t *Transport) startManager(target message.PeerTarget) {
	ctx, cancel := context.WithCancel(t.ctx)
	m := &connectionManager{
		target: target, cancel: cancel, peer: target.Instance,
		backoff: backoff.ExponentialBackOff{
			InitialInterval:     t.options.InitialBackoff / 2,
			MaxInterval:         t.options.MaxBackoff / 2,
			Multiplier:          2,
			RandomizationFactor: 1,
		},
	}
	t.managers[target] = m
	t.spawnLocked(func() {
		defer cancel()
		t.maintainLink(ctx, m)
	})
}

// maintainLink dials the target whenever there is no link to it. It returns when ctx
// ends, or when the target turns out to be this instance.
func (t *Transport) maintainLink(ctx context.Context, m *connectionManager) {
	for ctx.Err() == nil {
		if existing := t.linkTo(m.peer); existing != nil {
			select {
			case <-existing.done:
			case <-ctx.Done():
			}
			continue
		}
		err := t.dialAndServe(ctx, m)
		var self *SelfConnectionError
		if errors.As(err, &self) {
			return
		}
		delay := m.backoff.NextBackOff()
		if err != nil {
			t.reportUnreachable(m, err, delay)
		}
		sleep(ctx, delay)
	}
}

// dialAndServe establishes a link and serves it until it ends. It returns an error
// if no link was established. It resets the backoff only if the link has received a
// frame, so that a link that ends before counts like a failed attempt.
func (t *Transport) dialAndServe(ctx context.Context, m *connectionManager) error {
	dialer := net.Dialer{Timeout: t.options.HandshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.target.Address.String())
	if err != nil {
		return errors.WithStack(err)
	}
	l, err := t.handshake(ctx, conn, t.connections.Add(1), roleDialer, m.target.Address)
	if err != nil {
		t.reportFault(m.peer, m.target.Address, err)
		return err
	}
	m.peer = l.peer()
	t.serve(l)
	if l.hasReceived.Load() {
		m.backoff.Reset()
	}
	return nil
}

func (t *Transport) reportUnreachable(m *connectionManager, err error, delay time.Duration) {
	counters.Add("unreachable", 1)
	t.logEvent(event.PeerUnreachable,
		event.F("peer", m.peer), event.F("address", m.target.Address.String()),
		event.F("error", err.Error()), event.F("again", delay.String()))
	t.sink.Post(message.PeerDisconnected{Peer: m.peer, Address: m.target.Address})
}

// sleep waits until the duration d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// -----------------------------------------------------------------------------
// Authentication of accepted and dialed links.

// handshake turns conn into an authenticated link within the handshake timeout: it
// performs the TLS handshake, if TLS is configured, and then the exchange of hellos
// and proofs in the function handshake. It closes conn on an error.
func (t *Transport) handshake(
	ctx context.Context, conn net.Conn, number uint64, ownRole role, address netip.AddrPort,
) (*link, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	sess, secured, err := t.authenticate(ctx, conn, ownRole, address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	l := newLink(secured, sess, ownRole == roleDialer, address)
	l.number = number
	return l, nil
}

func (t *Transport) authenticate(
	ctx context.Context, conn net.Conn, ownRole role, address netip.AddrPort,
) (session, net.Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(t.options.HandshakeTimeout)); err != nil {
		return session{}, conn, errors.WithStack(err)
	}
	conn, err := t.wrapTLS(ctx, conn, ownRole, address)
	if err != nil {
		return session{}, conn, err
	}
	secret, err := linkSecret(conn, t.options.Key)
	if err != nil {
		return session{}, conn, err
	}
	sess, err := handshake(conn, linkProtocol, t.options.Instance, ownRole, secret)
	return sess, conn, err
}

// wrapTLS performs a TLS handshake on conn if TLS is configured, and returns the
// connection to use. Its errors are *AuthenticationError and those of conn.
func (t *Transport) wrapTLS(ctx context.Context, conn net.Conn, ownRole role, address netip.AddrPort) (net.Conn, error) {
	if t.options.TLS == nil {
		return conn, nil
	}
	var tlsConn *tls.Conn
	if ownRole == roleAcceptor {
		tlsConn = tls.Server(conn, t.options.TLS)
	} else {
		config := t.options.TLS.Clone()
		if config.ServerName == "" {
			config.ServerName = address.Addr().String()
		}
		tlsConn = tls.Client(conn, config)
	}
	err := tlsConn.HandshakeContext(ctx)
	switch {
	case err == nil:
		return tlsConn, nil
	case isConnectionError(err):
		return conn, errors.WithStack(err)
	default:
		return conn, &AuthenticationError{Step: "TLS handshake: " + err.Error()}
	}
}

// isConnectionError reports whether a TLS handshake failed because of the
// connection or a timeout, and not because of TLS itself.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) ||
		errors.As(err, &netErr) && netErr.Timeout()
}

// addressOf returns the address of the other end.
func addressOf(conn net.Conn) netip.AddrPort {
	address := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
