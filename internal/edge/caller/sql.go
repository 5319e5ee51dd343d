package caller

import "strings"

// traits holds the properties of a statement's text that the proxy acts on.
// They are conservative: words inside literals count like any others.
type traits struct {
	// firstWord and secondWord are the leading words in upper case; empty if
	// there is none or it is longer than maxWordLength.
	firstWord, secondWord string
	// commits is true if the text may commit a transaction.
	commits bool
	// leavesState is true if the text may leave state on the connection that
	// outlives the transaction.
	leavesState bool
	// multipleStatements is true if the text has more than one statement.
	multipleStatements bool
}

// opensTransaction reports whether the text begins with BEGIN or START
// TRANSACTION.
func (t traits) opensTransaction() bool {
	return t.firstWord == "BEGIN" || t.firstWord == "START" && t.secondWord == "TRANSACTION"
}

// endsTransaction reports whether the text begins with a statement that ends a
// transaction, including one that has failed.
func (t traits) endsTransaction() bool {
	switch t.firstWord {
	case "COMMIT", "END", "ABORT":
		return true
	case "ROLLBACK":
		return t.secondWord != "TO"
	}
	return false
}

// merge adds the traits of the next statement of the same batch.
func (t traits) merge(other traits) traits {
	if t.firstWord == "" {
		t.firstWord, t.secondWord = other.firstWord, other.secondWord
	} else {
		t.multipleStatements = true
	}
	t.commits = t.commits || other.commits
	t.leavesState = t.leavesState || other.leavesState
	t.multipleStatements = t.multipleStatements || other.multipleStatements
	return t
}

// statelessKeywords lists the keywords of statements that leave no state on the
// connection, provided that they contain none of stateWords.
var statelessKeywords = map[string]bool{
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

// commitWords lists the words of which a text must contain one to commit an open
// transaction.
var commitWords = map[string]bool{"COMMIT": true, "END": true, "PREPARE": true}

// maxWordLength exceeds the length of the longest word in the lists, in bytes.
const maxWordLength = 32

// scanTraits determines the traits of a text in one pass.
func scanTraits(text string) traits {
	var t traits
	var upper [maxWordLength]byte
	statementCount := 0
	wordCount := 0
	rest := skipBlank(text)
	for rest != "" {
		if rest[0] == ';' {
			wordCount = 0
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
		wordCount++
		if wordCount == 1 {
			statementCount++
			t.leavesState = t.leavesState || !statelessKeywords[string(word)]
		}
		t.addWord(word, statementCount, wordCount)
		if wordCount == 1 {
			rest = skipBlank(rest)
		}
	}
	t.multipleStatements = statementCount > 1
	return t
}

func (t *traits) addWord(word []byte, statementIndex, wordIndex int) {
	if statementIndex == 1 && wordIndex == 1 {
		t.firstWord = keyword(word)
	}
	if statementIndex == 1 && wordIndex == 2 {
		t.secondWord = keyword(word)
	}
	t.commits = t.commits || commitWords[string(word)]
	t.leavesState = t.leavesState || stateWords[string(word)]
}

// keywords interns the words that firstWord and secondWord are compared with.
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

// skipBlank skips white space, comments and opening parentheses.
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

// commentLength returns the length of the comment at the start of text.
// Comments nest.
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

// upperWord returns the word in upper case, or nil if it is longer than
// maxWordLength.
func upperWord(word string, buffer *[maxWordLength]byte) []byte {
	if len(word) > maxWordLength {
		return nil
	}
	for i := 0; i < len(word); i++ {
		b := word[i]
		if b >= 'a' && b <= 'z' {
			b -= 'a' - 'A'
		}
		buffer[i] = b
	}
	return buffer[:len(word)]
}
