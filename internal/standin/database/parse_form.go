package database

import (
	"strings"
)

// form is one form of statement. In its text, ? stands for a string, a number
// or a parameter, @ for a word, # for any of them, and ... for whatever comes.
type form struct {
	text string
	make func(m match) statement
}

// match holds what a form's signs stood for.
type match struct {
	operands []operand
	words    []string
	rest     []token
}

// forms lists every statement that the stand-in knows.
var forms = []form{
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

	{"BEGIN ...", makeBegin},
	{"START TRANSACTION ...", makeBegin},
	{"COMMIT", func(match) statement { return commitTransaction{} }},
	{"END", func(match) statement { return commitTransaction{} }},
	{"ROLLBACK", func(match) statement { return rollbackTransaction{} }},
	{"SET @ = #", makeSet},
	{"SET @ TO #", makeSet},
	{"SET SESSION @ = #", makeSet},
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

func makeBegin(m match) statement {
	readOnly := false
	for i, word := range m.rest {
		readOnly = readOnly || word.is("ONLY") && i > 0 && m.rest[i-1].is("READ")
	}
	return beginTransaction{readOnly: readOnly}
}

func makeSet(m match) statement {
	return setSetting{name: strings.ToLower(m.words[0]), value: m.operands[0]}
}

// formTokens holds the tokens of each form's text.
var formTokens = tokenizeForms()

func tokenizeForms() [][]token {
	all := make([][]token, 0, len(forms))
	for _, f := range forms {
		tokens, err := tokenize(f.text)
		if err != nil {
			panic(err)
		}
		all = append(all, tokens)
	}
	return all
}

// SupportedStatements returns the text of every statement that the stand-in knows.
func SupportedStatements() []string {
	texts := make([]string, 0, len(forms))
	for _, f := range forms {
		texts = append(texts, f.text)
	}
	return texts
}

// -----------------------------------------------------------------------------
// Parsing.

// parse reads the statements of SQL text. There is none where the text is
// empty or a comment.
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
			st, err := parseOne(tokens[:length])
			if err != nil {
				return nil, err
			}
			statements = append(statements, st)
		}
		tokens = tokens[min(length+1, len(tokens)):]
	}
	return statements, nil
}

func parseOne(tokens []token) (statement, error) {
	for i, f := range forms {
		if m, ok := matchForm(formTokens[i], tokens); ok {
			return f.make(m), nil
		}
	}
	return nil, failure(stateSyntax, "the stand-in knows no such statement near %q", tokens[0].text)
}

func matchForm(wanted, tokens []token) (match, bool) {
	var m match
	for i, want := range wanted {
		if want.is(".") {
			m.rest = tokens[i:]
			return m, true
		}
		if i >= len(tokens) || !m.take(want, tokens[i]) {
			return match{}, false
		}
	}
	return m, len(tokens) == len(wanted)
}

// take matches one token, and keeps it where a sign stands for it.
func (m *match) take(want, have token) bool {
	value, isOperand := have.operand()
	isWord := have.kind == tokenWord
	switch {
	case want.is("?"):
		m.operands = append(m.operands, value)
		return isOperand
	case want.is("@"):
		m.words = append(m.words, have.text)
		return isWord
	case want.is("#"):
		if isWord {
			value = operand{literal: have.text}
		}
		m.operands = append(m.operands, value)
		return isWord || isOperand
	}
	return have.is(want.text) || have.kind == tokenNumber && want.kind == tokenNumber && have.text == want.text
}

// parameters returns the number of the highest parameter in SQL text.
func parameters(sql string) int {
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
