package caller

import (
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
)

const (
	// settingCount bounds the settings that a session keeps.
	settingCount = 64
	// settingBytes bounds the text of one of them, in bytes.
	settingBytes = 1 << 10
)

// settings holds what a caller has set by SET outside of transactions, to be
// set again on each backend connection that serves it.
type settings struct {
	list []setting
	// joined is the text of all of them, which names their state.
	joined string
}

type setting struct {
	name string
	// text is the whole statement.
	text string
}

func (s *settings) put(one setting) {
	defer s.join()
	for i := range s.list {
		if s.list[i].name == one.name {
			s.list[i] = one
			return
		}
	}
	s.list = append(s.list, one)
}

func (s *settings) drop(name string) {
	defer s.join()
	for i := range s.list {
		if s.list[i].name == name {
			s.list = append(s.list[:i], s.list[i+1:]...)
			return
		}
	}
}

func (s *settings) clear() { *s = settings{} }

func (s *settings) join() {
	texts := make([]string, len(s.list))
	for i := range s.list {
		texts[i] = s.list[i].text
	}
	s.joined = strings.Join(texts, ";")
}

func (s *settings) hasRoom(one setting) bool {
	return len(s.list) < settingCount && len(one.text) <= settingBytes
}

// -----------------------------------------------------------------------------
// On backend connections.

// replay puts the session's settings in force on a connection. It returns the
// database's error as a problem where one is refused, or an error where the
// connection is of no use. Nothing of the caller's work was sent by then.
func (s *session) replay(conn *database.Conn) (*problem, error) {
	state := &conn.State
	if state.CallerSettings == s.settings.joined && !state.NeedsReset {
		return nil, nil
	}
	if state.CallerSettings != "" {
		state.NeedsReset = true
	}
	if len(s.settings.list) == 0 {
		return nil, nil
	}
	o := &s.work.outgoing
	o.reset()
	if state.NeedsReset {
		o.query("DISCARD ALL")
		forget(state)
	}
	for _, one := range s.settings.list {
		o.query(one.text)
	}
	state.CallerSettings = s.settings.joined
	return s.runPreludes(conn, o)
}

// runPreludes sends the proxy's own queries and waits for their answers.
func (s *session) runPreludes(conn *database.Conn, o *outgoing) (*problem, error) {
	_, err := conn.Write(o.bytes, sendTimeout)
	if err != nil {
		return nil, err
	}
	y := &relay{s: s, o: o}
	var refused *problem
	_ = conn.SetReadDeadline(deadlineIn(sendTimeout))
	for o.preludes > 0 {
		frame, err := conn.Reader.Next()
		if err != nil {
			return nil, err
		}
		if frame.Type == 'E' && refused == nil {
			refused = databaseProblem(frame)
			conn.State.NeedsReset = true
		}
		y.takePrelude(frame)
	}
	return refused, nil
}

// keepSetting remembers a SET of the caller that a database has accepted.
func (s *session) keepSetting(r *request, b *batch) {
	command := b.command()
	if command == nil || r.status != statusIdle || !r.first || !b.runs() {
		return
	}
	if command.verb != verbSet {
		return
	}
	s.settings.put(setting{name: command.name, text: command.text})
	if r.conn != nil {
		r.conn.State.CallerSettings = s.settings.joined
	}
}

// isSetting reports whether the batch is a SET that the session keeps by
// itself, so that the connection need not be reset for it.
func (b *batch) isSetting() bool {
	command := b.command()
	return command != nil && command.verb == verbSet
}

// settingName normalises the name of a setting.
func settingName(name string) string { return strings.ToLower(strings.Trim(name, "\"")) }
