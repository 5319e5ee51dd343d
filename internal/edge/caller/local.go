package caller

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/postgres"
)

// textType is the type number of text.
const textType = 25

// answer is a row of one column that the proxy itself gives.
type answer struct{ column, value string }

// isLocal reports whether the proxy answers a batch by itself.
func (b *batch) isLocal(open bool) bool {
	if c := b.command(); c != nil {
		return c.isOwn() || !open && c.verb != verbSet && c.verb != verbShow
	}
	if open {
		return false
	}
	return b.isNothing() || b.onlyCloses()
}

// isNothing reports whether the batch holds no statement.
func (b *batch) isNothing() bool {
	return b.isEmpty() || !b.extended && b.traits.first == ""
}

func (b *batch) onlyCloses() bool {
	if !b.extended {
		return false
	}
	for i := range b.parts {
		if b.parts[i].kind != 'C' {
			return false
		}
	}
	return true
}

// runs reports whether the batch executes anything.
func (b *batch) runs() bool {
	if !b.extended {
		return true
	}
	for i := range b.parts {
		if b.parts[i].kind == 'E' {
			return true
		}
	}
	return false
}

// command returns the command that the batch is, or nil.
func (b *batch) command() *command {
	if !b.extended {
		return b.only
	}
	if b.traits.several {
		return nil
	}
	for i := range b.parts {
		if b.parts[i].statement != nil {
			return b.parts[i].statement.command
		}
	}
	return nil
}

// handleLocal runs a command on the session's own state.
func (s *session) handleLocal(b *batch) error {
	c := b.command()
	if c == nil {
		return s.answerLocally(b, "", nil)
	}
	if c.verb == verbShow {
		value, err := s.show(strings.TrimPrefix(c.name, ownPrefix))
		if err != nil {
			b.refuse(hintProblem(err))
			return s.handleProblem(b)
		}
		return s.answerLocally(b, "SHOW", &answer{column: c.name, value: value})
	}
	if !b.runs() {
		return s.answerLocally(b, "", nil)
	}
	tag, err := s.apply(c)
	if err != nil {
		b.refuse(hintProblem(err))
		return s.handleProblem(b)
	}
	return s.answerLocally(b, tag, nil)
}

// apply changes the session's own state and returns the command's tag. Its
// error is a *HintError.
func (s *session) apply(c *command) (string, error) {
	switch c.verb {
	case verbSet:
		return "SET", s.setOwn(strings.TrimPrefix(c.name, ownPrefix), c.value)
	case verbReset:
		if c.isOwn() {
			return "RESET", s.resetOwn(strings.TrimPrefix(c.name, ownPrefix))
		}
		s.settings.drop(c.name)
		return "RESET", nil
	case verbResetAll:
		s.settings.clear()
		s.hint = hint{roaming: s.hint.roaming}
		return "RESET", nil
	case verbDeallocate:
		if c.name != "" {
			s.statements.drop(c.name)
			return "DEALLOCATE", nil
		}
		s.statements.clear()
		return "DEALLOCATE ALL", nil
	}
	s.settings.clear()
	s.statements.clear()
	s.hint = hint{roaming: s.hint.roaming}
	return "DISCARD ALL", nil
}

// setOwn changes a setting of the proxy's own. A token set here counts for the
// statements that follow until the next commit gives a newer one.
func (s *session) setOwn(name, value string) error {
	set, known := hintSetters[name]
	if !known || name == statementOnly || name == sessionOnly {
		return &HintError{Name: name, Value: value, Detail: "not a setting of a session"}
	}
	changed := s.hint
	err := set(&changed, value)
	if err != nil {
		return err
	}
	if changed.token.Group != "" && changed.token.Group != s.group {
		return &HintError{Name: name, Value: value, Detail: "the token is of another group"}
	}
	s.hint = changed
	return nil
}

func (s *session) resetOwn(name string) error {
	switch name {
	case "kind":
		s.hint.kind = ""
	case "deadline":
		s.hint.deadline = 0
	case "token":
		s.hint.token.Group = ""
		s.hint.token.Position.Term, s.hint.token.Position.Offset = 0, 0
	default:
		return &HintError{Name: name, Detail: "not a setting of a session"}
	}
	return nil
}

// show returns the value of a setting of the proxy's own. Its error is a
// *HintError.
func (s *session) show(name string) (string, error) {
	switch name {
	case "token":
		if s.token.Group == "" {
			return "", nil
		}
		return s.token.String(), nil
	case "kind":
		return s.hint.kind, nil
	case "deadline":
		return s.hint.deadline.String(), nil
	case "roaming":
		return onOff(s.hint.roaming), nil
	}
	return "", &HintError{Name: name, Detail: "not a setting of a session"}
}

// -----------------------------------------------------------------------------
// Answers.

// answerLocally gives the answer to a batch that no database has seen.
func (s *session) answerLocally(b *batch, tag string, row *answer) error {
	if !b.extended {
		s.appendSimple(tag, row)
	} else {
		for i := range b.parts {
			s.appendPart(b, &b.parts[i], tag, row)
		}
	}
	s.ready(s.status())
	return s.flush()
}

func (s *session) append(message pgproto3.BackendMessage) {
	s.work.out, _ = message.Encode(s.work.out)
}

func (s *session) appendSimple(tag string, row *answer) {
	if tag == "" {
		s.append(&pgproto3.EmptyQueryResponse{})
		return
	}
	if row != nil {
		s.append(row.description())
		s.append(&pgproto3.DataRow{Values: [][]byte{[]byte(row.value)}})
	}
	s.append(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// appendPart answers one message of the extended protocol.
func (s *session) appendPart(b *batch, p *part, tag string, row *answer) {
	switch p.kind {
	case 'P':
		s.statements.put(p.statement)
		s.append(&pgproto3.ParseComplete{})
	case 'B':
		s.append(&pgproto3.BindComplete{})
	case 'C':
		if p.named {
			s.statements.drop(p.name)
		}
		s.append(&pgproto3.CloseComplete{})
	case 'D':
		if b.raw[p.start+postgres.HeaderSize] == 'S' {
			s.append(&pgproto3.ParameterDescription{})
		}
		if row != nil {
			s.append(row.description())
			return
		}
		s.append(&pgproto3.NoData{})
	case 'E':
		if tag == "" {
			s.append(&pgproto3.EmptyQueryResponse{})
			return
		}
		if row != nil {
			s.append(&pgproto3.DataRow{Values: [][]byte{[]byte(row.value)}})
		}
		s.append(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
}

func (a *answer) description() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(a.column),
		DataTypeOID:  textType,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

func deadlineIn(d time.Duration) time.Time { return time.Now().Add(d) }
