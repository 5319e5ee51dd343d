package deploy

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// The ports of the instances are chosen below the range that Linux uses for
// outgoing connections by default (32768 and up), so that no outgoing connection
// occupies a port between its choice and the start, or the restart, of its
// instance.
const (
	lowestPort = 20000
	portCount  = 12000
	// maxPortAttempts is the maximum number of ports tried for one address.
	maxPortAttempts = 100
)

// reservationHost is a loopback address on which nothing else listens. A listener on a
// port there reserves the same port of loopback for all processes that use
// ReserveAddresses, also while nothing listens on the reserved address itself.
var reservationHost = netip.AddrFrom4([4]byte{127, 0, 0, 2})

// Reservation holds loopback addresses until it is closed or its process ends.
type Reservation struct {
	Addresses []netip.AddrPort
	listeners []net.Listener
}

// ReserveAddresses reserves distinct loopback addresses on which nothing listens.
func ReserveAddresses(count int) (*Reservation, error) {
	r := &Reservation{}
	for range count {
		if err := r.add(); err != nil {
			_ = r.Close()
			return nil, err
		}
	}
	return r, nil
}

// add reserves one more address, at a random port.
func (r *Reservation) add() error {
	var lastErr error
	for range maxPortAttempts {
		port := uint16(lowestPort + rand.IntN(portCount))
		reserving, err := net.Listen("tcp", netip.AddrPortFrom(reservationHost, port).String())
		if err != nil {
			lastErr = err
			continue
		}
		address := netip.AddrPortFrom(loopback, port)
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			_ = reserving.Close()
			lastErr = err
			continue
		}
		r.Addresses = append(r.Addresses, address)
		r.listeners = append(r.listeners, reserving)
		return errors.WithStack(listener.Close())
	}
	return errors.WithStack(lastErr)
}

// Close releases the addresses.
func (r *Reservation) Close() error {
	var firstErr error
	for _, listener := range r.listeners {
		if err := listener.Close(); err != nil && firstErr == nil {
			firstErr = errors.WithStack(err)
		}
	}
	return firstErr
}
