//go:build !linux

package socket

import "syscall"

// setUserTimeout does nothing: the system has no such option.
func setUserTimeout(syscall.RawConn) error { return nil }
