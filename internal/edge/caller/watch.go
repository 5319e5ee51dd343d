package caller

import "time"

// maxReadAhead is how much is read ahead from a caller whose request is
// running, in bytes.
const maxReadAhead = 64 << 10

// callerDisconnected is posted to a session when the connection of its caller
// has ended.
type callerDisconnected struct{}

// startCallerWatch reads ahead from the caller until stopCallerWatch is called, to
// detect whether its connection has ended. Short requests end before it is started.
func (s *session) startCallerWatch() {
	if s.watchDone != nil {
		return
	}
	done := make(chan struct{})
	s.watchDone = done
	s.account.ReadAhead(true)
	go func() {
		defer close(done)
		for s.reader.Buffered() < maxReadAhead {
			err := s.reader.Fill()
			if err == nil {
				continue
			}
			if !isTimeout(err) {
				s.mailbox.post(callerDisconnected{})
			}
			return
		}
	}()
}

// stopCallerWatch ends the watch. The data that it has read stays in the reader.
func (s *session) stopCallerWatch() {
	if s.watchDone == nil {
		return
	}
	_ = s.conn.SetReadDeadline(aLongTimeAgo)
	<-s.watchDone
	s.account.ReadAhead(false)
	_ = s.conn.SetReadDeadline(time.Time{})
	s.watchDone = nil
}
