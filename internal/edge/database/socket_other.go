//go:build !linux

package database

import "syscall"

// setUserTimeout does nothing: the system has no such option.
func setUserTimeout(syscall.RawConn) error { return nil }
