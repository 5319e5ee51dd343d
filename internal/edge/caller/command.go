package caller

import "strings"

// verb tells which command of the session a statement is.
type verb int

const (
	// verbSet is SET name = value.
	verbSet verb = iota
	// verbReset is RESET name.
	verbReset
	// verbResetAll is RESET ALL.
	verbResetAll
	// verbDiscard is DISCARD ALL.
	verbDiscard
	// verbDeallocate is DEALLOCATE name, or ALL, which leaves the name empty.
	verbDeallocate
	// verbShow is SHOW of a setting of the proxy's own.
	verbShow
)

// ownPrefix begins the names of the proxy's own settings.
const ownPrefix = "eelgrassfold."

// command is a statement about the session's own state.
type command struct {
	verb  verb
	name  string
	value string
	// text is the whole statement.
	text string
}

// isOwn reports whether the command is about a setting of the proxy's own.
func (c *command) isOwn() bool { return strings.HasPrefix(c.name, ownPrefix) }

// parseCommand returns the command that text is, or nil. Only the forms that
// drivers send are known; any other is a statement for the database.
func parseCommand(text string, t traits) *command {
	if t.several {
		return nil
	}
	switch t.first {
	case "SET", "RESET", "DISCARD", "DEALLOCATE", "SHOW":
	default:
		return nil
	}
	plain := strings.TrimRight(skipBlank(text), "; \t\r\n")
	_, rest := cutWord(plain)
	switch t.first {
	case "SET":
		return parseSet(plain, rest)
	case "RESET":
		return parseReset(rest)
	case "DISCARD":
		return whenAll(rest, &command{verb: verbDiscard})
	case "DEALLOCATE":
		if word, after := cutWord(rest); strings.EqualFold(word, "PREPARE") {
			rest = after
		}
		return parseDeallocate(rest)
	}
	name := settingName(strings.TrimSpace(rest))
	if !strings.HasPrefix(name, ownPrefix) {
		return nil
	}
	return &command{verb: verbShow, name: name}
}

func parseDeallocate(rest string) *command {
	name := strings.TrimSpace(rest)
	switch {
	case name == "" || strings.ContainsAny(name, " \t\r\n"):
		return nil
	case strings.EqualFold(name, "ALL"):
		name = ""
	}
	return &command{verb: verbDeallocate, name: strings.Trim(name, "\"")}
}

func whenAll(rest string, c *command) *command {
	if strings.EqualFold(strings.TrimSpace(rest), "ALL") {
		return c
	}
	return nil
}

func parseReset(rest string) *command {
	name := settingName(strings.TrimSpace(rest))
	if name == "all" {
		return &command{verb: verbResetAll}
	}
	if name == "" || strings.ContainsAny(name, " \t\r\n") {
		return nil
	}
	return &command{verb: verbReset, name: name}
}

// parseSet reads SET [SESSION] name {= | TO} value. SET LOCAL, SET ROLE and
// their like are statements for the database.
func parseSet(plain, rest string) *command {
	word, after := cutWord(rest)
	if strings.EqualFold(word, "SESSION") {
		rest = after
		word, after = cutWord(rest)
	}
	if strings.EqualFold(word, "LOCAL") {
		return nil
	}
	name := word
	value := strings.TrimSpace(after)
	switch {
	case strings.HasPrefix(value, "="):
		value = value[1:]
	case len(value) > 2 && strings.EqualFold(value[:2], "TO") && isBlank(value[2]):
		value = value[2:]
	default:
		return nil
	}
	value = strings.TrimSpace(value)
	if name == "" || value == "" {
		return nil
	}
	return &command{verb: verbSet, name: settingName(name), value: unquote(value), text: plain}
}

// cutWord cuts the first word off, up to white space or an equals sign.
func cutWord(text string) (string, string) {
	text = strings.TrimLeft(text, " \t\r\n")
	i := strings.IndexAny(text, " \t\r\n=")
	if i < 0 {
		return text, ""
	}
	return text[:i], text[i:]
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// unquote takes the quotes off a literal.
func unquote(value string) string {
	if len(value) >= 2 && value[0] == '\'' && value[len(value)-1] == '\'' {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return value
}
