package caller

import (
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
)

const (
	// maxSettings is the maximum number of settings that a session keeps.
	maxSettings = 64
	// maxSettingBytes is the maximum length of a SET statement that is kept, in
	// bytes.
	maxSettingBytes = 1 << 10
)

// settings holds what a caller has set by SET outside transactions. It is set
// again on each backend connection that serves the caller.
type settings struct {
	list []setting
	// joined is the text of all statements. Equal texts mean equal settings.
	joined string
}

type setting struct {
	name string
	// text is the whole statement.
	text string
}

func (s *settings) put(added setting) {
	defer s.join()
	for i := range s.list {
		if s.list[i].name == added.name {
			s.list[i] = added
			return
		}
	}
	s.list = append(s.list, added)
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

func (s *settings) hasRoom(added setting) bool {
	return len(s.list) < maxSettings && len(added.text) <= maxSettingBytes
}

// -----------------------------------------------------------------------------
// Settings on backend connections.

// replaySettings sets the settings of the session on a connection. It returns a
// problem if the database rejects one of them, and an error if the connection
// is unusable. Nothing of the caller's batch was sent before.
func (s *session) replaySettings(conn *database.Conn) (*problem, error) {
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
	o := &s.workspace.outgoing
	o.reset()
	if state.NeedsReset {
		o.appendSetupQuery("DISCARD ALL")
		clearState(state)
	}
	for _, one := range s.settings.list {
		o.appendSetupQuery(one.text)
	}
	state.CallerSettings = s.settings.joined
	return s.runSetupQueries(conn, o)
}

// runSetupQueries sends setup queries of the proxy and reads their answers.
func (s *session) runSetupQueries(conn *database.Conn, o *outgoing) (*problem, error) {
	_, err := conn.Write(o.bytes, sendTimeout)
	if err != nil {
		return nil, err
	}
	rl := &relay{session: s, outgoing: o}
	var rejection *problem
	_ = conn.SetReadDeadline(deadlineIn(sendTimeout))
	for o.pendingSetupQueries > 0 {
		frame, err := conn.Reader.Next()
		if err != nil {
			return nil, err
		}
		if frame.Type == 'E' && rejection == nil {
			rejection = databaseProblem(frame)
			conn.State.NeedsReset = true
		}
		rl.handleSetupQueryFrame(frame)
	}
	return rejection, nil
}

// storeSetting stores a SET of the caller that a database has accepted.
func (s *session) storeSetting(r *request, b *batch) {
	cmd := b.command()
	if cmd == nil || r.transactionStatus != statusIdle || !r.firstBatch || !b.executes() {
		return
	}
	if cmd.kind != commandSet {
		return
	}
	s.settings.put(setting{name: cmd.name, text: cmd.text})
	if r.conn != nil {
		r.conn.State.CallerSettings = s.settings.joined
	}
}

// isSet reports whether the batch is a SET. The session keeps track of it, so
// the connection need not be reset because of it.
func (b *batch) isSet() bool {
	cmd := b.command()
	return cmd != nil && cmd.kind == commandSet
}

// settingName normalizes the name of a setting.
func settingName(name string) string { return strings.ToLower(strings.Trim(name, "\"")) }
