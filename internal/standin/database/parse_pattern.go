package database

import (
	"strings"
)

// statementPattern is the syntax of one statement. In its text, ? stands for a
// string, a number or a parameter, @ for a word, # for any of these, and ...
// for all remaining tokens.
type statementPattern struct {
	text  string
	build func(m match) statement
}

// match holds the tokens that matched a pattern's placeholders.
type match struct {
	operands  []operand
	words     []string
	remaining []token
}

// statementPatterns lists the syntax of every supported statement.
var statementPatterns = []statementPattern{
	{"SELECT value FROM kv WHERE key = ?", func(m match) statement { return selectValue{m.operands[0]} }},
	{"SELECT key, value FROM kv", func(match) statement { return selectAll{} }},
	{"SELECT key, value FROM kv ORDER BY key", func(match) statement { return selectAll{} }},
	{"INSERT INTO kv (key, value) VALUES (?, ?)", func(m match) statement {
		return insertValue{key: m.operands[0], value: m.operands[1]}
	}},
	{"UPDATE kv SET value = ? WHERE key = ?", func(m match) statement {
		return updateValue{value: m.operands[0], key: m.operands[1]}
	}},
	{"DELETE FROM kv WHERE key = ?", func(m match) statement { return deleteValue{m.operands[0]} }},
	{"INSERT INTO ledger (entry) VALUES (?)", func(m match) statement { return insertLedger{m.operands[0]} }},
	{"SELECT entry FROM ledger", func(match) statement { return selectLedger{} }},
	{"SELECT count(*) FROM ledger WHERE entry = ?", func(m match) statement { return countLedger{m.operands[0]} }},
	{"SELECT 1", func(match) statement { return selectOne{} }},
	{"SELECT work(?)", func(m match) statement { return selectWork{m.operands[0]} }},
	{"SELECT rows(?)", func(m match) statement { return selectRows{m.operands[0]} }},
	{"NOTICE ?", func(m match) statement { return sendNotice{m.operands[0]} }},
	{"COPY ...", func(match) statement { return copyStatement{} }},

	{"BEGIN ...", buildBegin},
	{"START TRANSACTION ...", buildBegin},
	{"COMMIT", func(match) statement { return commitTransaction{} }},
	{"END", func(match) statement { return commitTransaction{} }},
	{"ROLLBACK", func(match) statement { return rollbackTransaction{} }},
	{"SET @ = #", buildSet},
	{"SET @ TO #", buildSet},
	{"SET SESSION @ = #", buildSet},
	{"SHOW @", func(m match) statement { return showSetting{strings.ToLower(m.words[0])} }},
	{"RESET @", func(m match) statement { return resetSetting{strings.ToLower(m.words[0])} }},
	{"DISCARD ALL", func(match) statement { return discardAll{} }},
	{"DEALLOCATE @", func(m match) statement { return deallocate{m.words[0]} }},

	{"CALL group_status()", func(match) statement { return callStatus{} }},
	{"CALL group_wait(?, ?)", func(m match) statement { return callWait{m.operands[0], m.operands[1]} }},
	{"CALL group_fence(?, ?)", func(m match) statement { return callFence{m.operands[0], m.operands[1]} }},
	{"CALL group_promote(?, ?)", func(m match) statement { return callPromote{m.operands[0], m.operands[1]} }},
	{"CALL group_follow(?, ?, ?)", func(m match) statement {
		return callFollow{m.operands[0], m.operands[1], m.operands[2]}
	}},
	{"CALL group_settle(?, ?)", func(m match) statement { return callSettle{m.operands[0], m.operands[1]} }},
}

func buildBegin(m match) statement {
	readOnly := false
	for i, word := range m.remaining {
		readOnly = readOnly || word.is("ONLY") && i > 0 && m.remaining[i-1].is("READ")
	}
	return beginTransaction{readOnly: readOnly}
}

func buildSet(m match) statement {
	return setSetting{name: strings.ToLower(m.words[0]), value: m.operands[0]}
}

// patternTokens holds the tokens of each pattern's text.
var patternTokens = tokenizePatterns()

func tokenizePatterns() [][]token {
	tokenLists := make([][]token, 0, len(statementPatterns))
	for _, p := range statementPatterns {
		tokens, err := tokenize(p.text)
		if err != nil {
			panic(err)
		}
		tokenLists = append(tokenLists, tokens)
	}
	return tokenLists
}

// SupportedStatements returns the pattern of every supported statement, with
// the placeholders ?, @, # and "...".
func SupportedStatements() []string {
	texts := make([]string, 0, len(statementPatterns))
	for _, p := range statementPatterns {
		texts = append(texts, p.text)
	}
	return texts
}

// -----------------------------------------------------------------------------
// Parsing.

// parse parses SQL text that holds any number of statements, separated by
// semicolons. It returns none if the text is blank or consists of comments.
func parse(sql string) ([]statement, error) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	var statements []statement
	for len(tokens) > 0 {
		length := 0
		for length < len(tokens) && !tokens[length].is(";") {
			length++
		}
		if length > 0 {
			st, err := parseStatement(tokens[:length])
			if err != nil {
				return nil, err
			}
			statements = append(statements, st)
		}
		tokens = tokens[min(length+1, len(tokens)):]
	}
	return statements, nil
}

func parseStatement(tokens []token) (statement, error) {
	for i, p := range statementPatterns {
		if m, ok := matchPattern(patternTokens[i], tokens); ok {
			return p.build(m), nil
		}
	}
	return nil, newSQLError(stateSyntax, "the stand-in knows no such statement near %q", tokens[0].text)
}

// matchPattern reports whether tokens match a pattern, and returns what its
// placeholders matched.
func matchPattern(pattern, tokens []token) (match, bool) {
	var m match
	for i, expectedToken := range pattern {
		if expectedToken.is(".") {
			m.remaining = tokens[i:]
			return m, true
		}
		if i >= len(tokens) || !m.matchToken(expectedToken, tokens[i]) {
			return match{}, false
		}
	}
	return m, len(tokens) == len(pattern)
}

// matchToken reports whether a token matches one of the pattern, and stores the
// token if the pattern's is a placeholder.
func (m *match) matchToken(expected, actual token) bool {
	value, isOperand := actual.operand()
	isWord := actual.kind == tokenWord
	switch {
	case expected.is("?"):
		m.operands = append(m.operands, value)
		return isOperand
	case expected.is("@"):
		m.words = append(m.words, actual.text)
		return isWord
	case expected.is("#"):
		if isWord {
			value = operand{literal: actual.text}
		}
		m.operands = append(m.operands, value)
		return isWord || isOperand
	}
	return actual.is(expected.text) || actual.kind == tokenNumber && expected.kind == tokenNumber && actual.text == expected.text
}

// parameterCount returns the number of the highest parameter in SQL text, or 0
// if there is none.
func parameterCount(sql string) int {
	tokens, err := tokenize(sql)
	if err != nil {
		return 0
	}
	highest := 0
	for _, t := range tokens {
		if t.kind == tokenParameter {
			value, _ := t.operand()
			highest = max(highest, value.parameter)
		}
	}
	return highest
}
