package database

import (
	"strconv"
	"strings"
	"unicode"
)

// tokenKind is the kind of a token.
type tokenKind int

// The values of tokenKind.
const (
	tokenWord tokenKind = iota
	tokenString
	tokenNumber
	tokenParameter
	tokenPunctuation
)

// token is one lexical token of a statement.
type token struct {
	kind tokenKind
	text string
}

// tokenize splits SQL text into tokens. It drops whitespace and comments.
func tokenize(sql string) ([]token, error) {
	var tokens []token
	for {
		rest, err := skipSpaceAndComments(sql)
		if err != nil || rest == "" {
			return tokens, err
		}
		next, length, err := nextToken(rest)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, next)
		sql = rest[length:]
	}
}

// skipSpaceAndComments returns SQL text without its leading whitespace and
// comments.
func skipSpaceAndComments(sql string) (string, error) {
	for {
		sql = strings.TrimLeftFunc(sql, unicode.IsSpace)
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			_, rest, closed := strings.Cut(sql, "*/")
			if !closed {
				return "", newSQLError(stateSyntax, "unterminated comment")
			}
			sql = rest
		default:
			return sql, nil
		}
	}
}

// nextToken returns the token at the start of SQL text, and its length in
// bytes.
func nextToken(sql string) (token, int, error) {
	first := sql[0]
	switch {
	case first == '\'':
		return stringToken(sql)
	case first == '"':
		length := strings.IndexByte(sql[1:], '"')
		if length < 0 {
			return token{}, 0, newSQLError(stateSyntax, "unterminated identifier")
		}
		return token{tokenWord, sql[1 : 1+length]}, length + 2, nil
	case first == '$':
		length := 1 + prefixLength(sql[1:], isDigitByte)
		return token{tokenParameter, sql[1:length]}, length, nil
	case isDigitByte(first), first == '-' && len(sql) > 1 && isDigitByte(sql[1]):
		length := 1 + prefixLength(sql[1:], isNumberByte)
		return token{tokenNumber, sql[:length]}, length, nil
	case isLetterByte(first):
		length := prefixLength(sql, isWordByte)
		return token{tokenWord, sql[:length]}, length, nil
	}
	return token{tokenPunctuation, sql[:1]}, 1, nil
}

// stringToken reads a quoted literal, in which two quotes stand for one.
func stringToken(sql string) (token, int, error) {
	var text strings.Builder
	for i := 1; i < len(sql); i++ {
		if sql[i] != '\'' {
			text.WriteByte(sql[i])
			continue
		}
		if i+1 == len(sql) || sql[i+1] != '\'' {
			return token{tokenString, text.String()}, i + 1, nil
		}
		text.WriteByte('\'')
		i++
	}
	return token{}, 0, newSQLError(stateSyntax, "unterminated string")
}

// prefixLength returns the number of leading bytes of text that accepts holds for.
func prefixLength(text string, accepts func(b byte) bool) int {
	length := 0
	for length < len(text) && accepts(text[length]) {
		length++
	}
	return length
}

func isDigitByte(b byte) bool  { return b >= '0' && b <= '9' }
func isNumberByte(b byte) bool { return isDigitByte(b) || b == '.' }
func isLetterByte(b byte) bool { return b == '_' || b|0x20 >= 'a' && b|0x20 <= 'z' }
func isWordByte(b byte) bool   { return isLetterByte(b) || isDigitByte(b) || b == '.' }

// operand returns the operand that a token denotes, or false if it denotes
// none.
func (t token) operand() (operand, bool) {
	switch t.kind {
	case tokenString, tokenNumber:
		return operand{literal: t.text}, true
	case tokenParameter:
		number, err := strconv.Atoi(t.text)
		return operand{parameter: number}, err == nil && number > 0
	}
	return operand{}, false
}

// is reports whether a token is the given word or punctuation, ignoring case.
func (t token) is(text string) bool {
	return (t.kind == tokenWord || t.kind == tokenPunctuation) && strings.EqualFold(t.text, text)
}
