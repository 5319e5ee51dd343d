package socket

import "syscall"

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 18

// setUserTimeout has the system break a connection whose peer does not
// acknowledge what was sent to it.
func setUserTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
