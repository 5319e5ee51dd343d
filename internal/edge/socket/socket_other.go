//go:build !linux

package socket

import "syscall"

// setUserTimeout does nothing: the option TCP_USER_TIMEOUT is set on Linux only.
func setUserTimeout(syscall.RawConn) error { return nil }
