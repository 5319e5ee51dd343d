package socket

import "syscall"

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 18

// setUserTimeout makes the operating system close the connection if sent data stays
// unacknowledged for unacknowledgedTimeout.
func setUserTimeout(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
