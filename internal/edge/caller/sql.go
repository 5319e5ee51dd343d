package caller

import "strings"

// traits is what the proxy wants to know of a statement's text. It errs in the
// safe direction: words inside of literals count like any other.
type traits struct {
	// first and second are the leading keywords in upper case; empty where
	// there is none or it is longer than any that matters.
	first, second string
	// commits says that the text may end a transaction by a commit.
	commits bool
	// leavesState says that the text may leave state on the connection that
	// outlasts the transaction.
	leavesState bool
	// several says that more than one statement follows.
	several bool
}

// opensTransaction reports whether the text begins with BEGIN or START
// TRANSACTION.
func (t traits) opensTransaction() bool {
	return t.first == "BEGIN" || t.first == "START" && t.second == "TRANSACTION"
}

// endsTransaction reports whether the text begins with a statement that ends a
// transaction, also one that has failed.
func (t traits) endsTransaction() bool {
	switch t.first {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return t.second != "TO"
	}
	return false
}

// join adds what a further statement of the same batch does.
func (t traits) join(other traits) traits {
	if t.first == "" {
		t.first, t.second = other.first, other.second
	} else {
		t.several = true
	}
	t.commits = t.commits || other.commits
	t.leavesState = t.leavesState || other.leavesState
	t.several = t.several || other.several
	return t
}

// stateless lists the keywords that begin a statement which leaves no state on
// the connection, provided that none of stateWords is in it.
var stateless = map[string]bool{
	"SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true,
	"VALUES": true, "WITH": true, "TABLE": true, "SHOW": true, "EXPLAIN": true,
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true,
	"ABORT": true, "SAVEPOINT": true, "RELEASE": true,
}

// stateWords lists the words that may leave state behind in any statement.
var stateWords = map[string]bool{
	"SET_CONFIG": true, "TEMP": true, "TEMPORARY": true, "PG_TEMP": true,
	"PG_ADVISORY_LOCK": true, "PG_TRY_ADVISORY_LOCK": true,
	"PG_ADVISORY_LOCK_SHARED": true, "PG_TRY_ADVISORY_LOCK_SHARED": true,
	"SETSEED": true, "DBLINK_CONNECT": true, "PREPARE": true, "EXECUTE": true,
}

// commitWords lists the words without which no transaction commits.
var commitWords = map[string]bool{"COMMIT": true, "END": true, "PREPARE": true}

// wordLimit is above the length of the longest word in the lists, in bytes.
const wordLimit = 32

// scan reads the traits of a text in one pass.
func scan(text string) traits {
	var t traits
	var upper [wordLimit]byte
	statements := 0
	words := 0
	rest := skipBlank(text)
	for rest != "" {
		if rest[0] == ';' {
			words = 0
			rest = skipBlank(rest[1:])
			continue
		}
		if !isWord(rest[0]) {
			rest = rest[1:]
			continue
		}
		n := wordLength(rest)
		word := upperWord(rest[:n], &upper)
		rest = rest[n:]
		words++
		if words == 1 {
			statements++
			t.leavesState = t.leavesState || !stateless[string(word)]
		}
		t.note(word, statements, words)
		if words == 1 {
			rest = skipBlank(rest)
		}
	}
	t.several = statements > 1
	return t
}

func (t *traits) note(word []byte, statement, place int) {
	if statement == 1 && place == 1 {
		t.first = keyword(word)
	}
	if statement == 1 && place == 2 {
		t.second = keyword(word)
	}
	t.commits = t.commits || commitWords[string(word)]
	t.leavesState = t.leavesState || stateWords[string(word)]
}

// keywords interns the words that first and second are compared with.
var keywords = map[string]string{
	"BEGIN": "BEGIN", "START": "START", "TRANSACTION": "TRANSACTION",
	"COMMIT": "COMMIT", "END": "END", "ROLLBACK": "ROLLBACK", "ABORT": "ABORT",
	"TO": "TO", "SET": "SET", "RESET": "RESET", "DISCARD": "DISCARD",
	"DEALLOCATE": "DEALLOCATE", "ALL": "ALL", "COPY": "COPY", "SHOW": "SHOW",
	"LISTEN": "LISTEN",
}

func keyword(word []byte) string {
	known, ok := keywords[string(word)]
	if ok {
		return known
	}
	return string(word)
}

// skipBlank skips white space, comments and opening brackets.
func skipBlank(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n\f\v(")
		switch {
		case strings.HasPrefix(text, "--"):
			_, text, _ = strings.Cut(text, "\n")
		case strings.HasPrefix(text, "/*"):
			text = text[commentLength(text):]
		default:
			return text
		}
	}
}

// commentLength returns the length of the comment that text begins with;
// comments nest.
func commentLength(text string) int {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(text)
}

func isWord(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '_' || b >= 0x80
}

func wordLength(text string) int {
	for i := 0; i < len(text); i++ {
		if !isWord(text[i]) {
			return i
		}
	}
	return len(text)
}

// upperWord returns the word in upper case, or nothing where it is longer than
// any that matters.
func upperWord(word string, into *[wordLimit]byte) []byte {
	if len(word) > wordLimit {
		return nil
	}
	for i := 0; i < len(word); i++ {
		b := word[i]
		if b >= 'a' && b <= 'z' {
			b -= 'a' - 'A'
		}
		into[i] = b
	}
	return into[:len(word)]
}
