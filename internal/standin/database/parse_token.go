package database

import (
	"strconv"
	"strings"
	"unicode"
)

// tokenKind tells what a token is.
type tokenKind int

// The values of tokenKind.
const (
	tokenWord tokenKind = iota
	tokenString
	tokenNumber
	tokenParameter
	tokenMark
)

// token is the smallest part of a statement.
type token struct {
	kind tokenKind
	text string
}

// tokenize splits SQL text into tokens and drops comments.
func tokenize(sql string) ([]token, error) {
	var tokens []token
	for {
		rest, err := skipBlanks(sql)
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

// skipBlanks drops blanks and comments at the beginning.
func skipBlanks(sql string) (string, error) {
	for {
		sql = strings.TrimLeftFunc(sql, unicode.IsSpace)
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			_, rest, closed := strings.Cut(sql, "*/")
			if !closed {
				return "", failure(stateSyntax, "unterminated comment")
			}
			sql = rest
		default:
			return sql, nil
		}
	}
}

// nextToken returns the token at the beginning, and its length in bytes.
func nextToken(sql string) (token, int, error) {
	first := sql[0]
	switch {
	case first == '\'':
		return stringToken(sql)
	case first == '"':
		length := strings.IndexByte(sql[1:], '"')
		if length < 0 {
			return token{}, 0, failure(stateSyntax, "unterminated identifier")
		}
		return token{tokenWord, sql[1 : 1+length]}, length + 2, nil
	case first == '$':
		length := 1 + spanOf(sql[1:], isDigit)
		return token{tokenParameter, sql[1:length]}, length, nil
	case isDigit(first), first == '-' && len(sql) > 1 && isDigit(sql[1]):
		length := 1 + spanOf(sql[1:], isNumeral)
		return token{tokenNumber, sql[:length]}, length, nil
	case isLetter(first):
		length := spanOf(sql, isWord)
		return token{tokenWord, sql[:length]}, length, nil
	}
	return token{tokenMark, sql[:1]}, 1, nil
}

// stringToken reads a literal in quotes, in which a doubled quote is one.
func stringToken(sql string) (token, int, error) {
	var text strings.Builder
	for at := 1; at < len(sql); at++ {
		if sql[at] != '\'' {
			text.WriteByte(sql[at])
			continue
		}
		if at+1 == len(sql) || sql[at+1] != '\'' {
			return token{tokenString, text.String()}, at + 1, nil
		}
		text.WriteByte('\'')
		at++
	}
	return token{}, 0, failure(stateSyntax, "unterminated string")
}

func spanOf(text string, belongs func(b byte) bool) int {
	length := 0
	for length < len(text) && belongs(text[length]) {
		length++
	}
	return length
}

func isDigit(b byte) bool   { return b >= '0' && b <= '9' }
func isNumeral(b byte) bool { return isDigit(b) || b == '.' }
func isLetter(b byte) bool  { return b == '_' || b|0x20 >= 'a' && b|0x20 <= 'z' }
func isWord(b byte) bool    { return isLetter(b) || isDigit(b) || b == '.' }

// operand returns the value that a token stands for.
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

// is reports whether a token is a word or mark, in any case.
func (t token) is(text string) bool {
	return (t.kind == tokenWord || t.kind == tokenMark) && strings.EqualFold(t.text, text)
}
