package caller

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// maxStatements is the maximum number of named prepared statements of a
	// session.
	maxStatements = 1024
	// maxStatementBytes is the maximum size of all of them together, in bytes.
	maxStatementBytes = 1 << 20
	// maxBackendStatements is the number of prepared statements on one backend
	// connection above which the connection is reset.
	maxBackendStatements = 512
	// digestBytes is the length of the part of a digest that names a statement.
	digestBytes = 16
)

// statement is a prepared statement of a session. Its name at the databases is
// a digest of its text. Sessions that prepare the same text thus share the
// statement on a connection, and no session can use a statement that another
// one prepared under the same name.
type statement struct {
	// name is the caller's name for it; empty for the unnamed statement.
	name string
	// backendName is the name at the databases; empty for the unnamed
	// statement.
	backendName string
	// parseMessage is the Parse message with the name at the databases.
	parseMessage []byte
	traits       traits
	hint         hint
	// command is the session command in the statement, or nil if it is another
	// statement.
	command *command
}

// newStatement creates a statement from a Parse message. Its error is a
// *HintError.
func newStatement(parse *pgproto3.Parse) (*statement, error) {
	h, err := parseHint(parse.Query)
	if err != nil {
		return nil, err
	}
	s := &statement{name: parse.Name, traits: scanTraits(parse.Query), hint: h}
	s.command = parseCommand(parse.Query, s.traits)
	renamed := *parse
	if parse.Name != "" {
		renamed.Name = "e" + digest(parse)
	}
	s.backendName = renamed.Name
	s.parseMessage, err = renamed.Encode(nil)
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

// hasRoom reports whether one more statement can be stored.
func (s *statements) hasRoom(stmt *statement) bool {
	return len(s.named) < maxStatements && s.bytes+len(stmt.parseMessage) <= maxStatementBytes
}

func (s *statements) put(stmt *statement) {
	if stmt.name == "" {
		s.unnamed = stmt
		return
	}
	if s.named == nil {
		s.named = map[string]*statement{}
	}
	s.drop(stmt.name)
	s.named[stmt.name] = stmt
	s.bytes += len(stmt.parseMessage)
}

func (s *statements) drop(name string) {
	if name == "" {
		s.unnamed = nil
		return
	}
	stmt, found := s.named[name]
	if found {
		s.bytes -= len(stmt.parseMessage)
		delete(s.named, name)
	}
}

// size returns the size of all statements, in bytes.
func (s *statements) size() int {
	if s.unnamed == nil {
		return s.bytes
	}
	return s.bytes + len(s.unnamed.parseMessage)
}

func (s *statements) clear() { *s = statements{} }
