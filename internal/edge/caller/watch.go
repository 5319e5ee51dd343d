package caller

import "time"

// watchLimit bounds what is read ahead of a caller whose request is running,
// in bytes.
const watchLimit = 64 << 10

// callerGone tells a session that its caller's connection has ended.
type callerGone struct{}

// startWatch reads ahead from the caller until stopWatch, to find out whether
// its connection has ended. Short requests end before it is started.
func (s *session) startWatch() {
	if s.watch != nil {
		return
	}
	done := make(chan struct{})
	s.watch = done
	go func() {
		defer close(done)
		for s.reader.Buffered() < watchLimit {
			err := s.reader.Fill()
			if err == nil {
				continue
			}
			if !isTimeout(err) {
				s.mailbox.post(callerGone{})
			}
			return
		}
	}()
}

// stopWatch ends the watch; what it has read stays in the reader.
func (s *session) stopWatch() {
	if s.watch == nil {
		return
	}
	_ = s.conn.SetReadDeadline(aLongTimeAgo)
	<-s.watch
	_ = s.conn.SetReadDeadline(time.Time{})
	s.watch = nil
}
