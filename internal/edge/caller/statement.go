package caller

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// statementCount bounds the named prepared statements of a session.
	statementCount = 1024
	// statementBytes bounds the text of all of them, in bytes.
	statementBytes = 1 << 20
	// preparedLimit bounds the prepared statements on one backend
	// connection; above it the connection is reset.
	preparedLimit = 512
	// digestBytes is the part of a digest that names a statement.
	digestBytes = 16
)

// statement is a prepared statement of a session. At the databases it has a
// name made of a digest of its text, so that sessions that prepare the same
// share it on a connection, and no session can reach what another prepared
// under a name of its own.
type statement struct {
	// name is the caller's own name; empty for the unnamed statement.
	name string
	// backend is the name at the databases; empty for the unnamed statement.
	backend string
	// parse is the Parse message with the name at the databases.
	parse  []byte
	traits traits
	hint   hint
	// command is the command of the session that the statement is, or nil.
	command *command
}

// newStatement reads what a Parse message says. Its error is a *HintError.
func newStatement(parse *pgproto3.Parse) (*statement, error) {
	h, err := parseHint(parse.Query)
	if err != nil {
		return nil, err
	}
	s := &statement{name: parse.Name, traits: scan(parse.Query), hint: h}
	s.command = parseCommand(parse.Query, s.traits)
	renamed := *parse
	if parse.Name != "" {
		renamed.Name = "e" + digest(parse)
	}
	s.backend = renamed.Name
	s.parse, err = renamed.Encode(nil)
	return s, err
}

func digest(parse *pgproto3.Parse) string {
	unnamed := *parse
	unnamed.Name = ""
	raw, _ := unnamed.Encode(nil)
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:digestBytes])
}

// statements holds the prepared statements of a session.
type statements struct {
	named   map[string]*statement
	unnamed *statement
	bytes   int
}

func (s *statements) get(name []byte) *statement {
	if len(name) == 0 {
		return s.unnamed
	}
	return s.named[string(name)]
}

// hasRoom reports whether one more statement may be kept.
func (s *statements) hasRoom(one *statement) bool {
	return len(s.named) < statementCount && s.bytes+len(one.parse) <= statementBytes
}

func (s *statements) put(one *statement) {
	if one.name == "" {
		s.unnamed = one
		return
	}
	if s.named == nil {
		s.named = map[string]*statement{}
	}
	s.drop(one.name)
	s.named[one.name] = one
	s.bytes += len(one.parse)
}

func (s *statements) drop(name string) {
	if name == "" {
		s.unnamed = nil
		return
	}
	one, found := s.named[name]
	if found {
		s.bytes -= len(one.parse)
		delete(s.named, name)
	}
}

func (s *statements) clear() { *s = statements{} }
