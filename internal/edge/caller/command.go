package caller

import "strings"

// commandKind is the kind of a session command.
type commandKind int

const (
	// commandSet is SET name = value.
	commandSet commandKind = iota
	// commandReset is RESET name.
	commandReset
	// commandResetAll is RESET ALL.
	commandResetAll
	// commandDiscard is DISCARD ALL.
	commandDiscard
	// commandDeallocate is DEALLOCATE name, or DEALLOCATE ALL with an empty
	// name.
	commandDeallocate
	// commandShow is SHOW of a proxy setting.
	commandShow
)

// proxyPrefix is the prefix of the names of proxy settings.
const proxyPrefix = "eelgrassfold."

// command is a statement that changes or shows the state of the session.
type command struct {
	kind  commandKind
	name  string
	value string
	// text is the whole statement.
	text string
}

// isProxySetting reports whether the command is about a proxy setting.
func (c *command) isProxySetting() bool { return strings.HasPrefix(c.name, proxyPrefix) }

// parseCommand returns the session command in text, or nil if it holds none. It
// recognizes only the forms that drivers send; every other statement goes to
// the database.
func parseCommand(text string, t traits) *command {
	if t.multipleStatements {
		return nil
	}
	switch t.firstWord {
	case "SET", "RESET", "DISCARD", "DEALLOCATE", "SHOW":
	default:
		return nil
	}
	trimmed := strings.TrimRight(skipBlank(text), "; \t\r\n")
	_, rest := cutWord(trimmed)
	switch t.firstWord {
	case "SET":
		return parseSet(trimmed, rest)
	case "RESET":
		return parseReset(rest)
	case "DISCARD":
		return commandIfAll(rest, &command{kind: commandDiscard})
	case "DEALLOCATE":
		if word, after := cutWord(rest); strings.EqualFold(word, "PREPARE") {
			rest = after
		}
		return parseDeallocate(rest)
	}
	name := settingName(strings.TrimSpace(rest))
	if !strings.HasPrefix(name, proxyPrefix) {
		return nil
	}
	return &command{kind: commandShow, name: name}
}

func parseDeallocate(rest string) *command {
	name := strings.TrimSpace(rest)
	switch {
	case name == "" || strings.ContainsAny(name, " \t\r\n"):
		return nil
	case strings.EqualFold(name, "ALL"):
		name = ""
	}
	return &command{kind: commandDeallocate, name: strings.Trim(name, "\"")}
}

func commandIfAll(rest string, c *command) *command {
	if strings.EqualFold(strings.TrimSpace(rest), "ALL") {
		return c
	}
	return nil
}

func parseReset(rest string) *command {
	name := settingName(strings.TrimSpace(rest))
	if name == "all" {
		return &command{kind: commandResetAll}
	}
	if name == "" || strings.ContainsAny(name, " \t\r\n") {
		return nil
	}
	return &command{kind: commandReset, name: name}
}

// parseSet parses SET [SESSION] name {= | TO} value. SET LOCAL, SET ROLE and
// similar statements go to the database.
func parseSet(trimmed, rest string) *command {
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
	return &command{kind: commandSet, name: settingName(name), value: unquote(value), text: trimmed}
}

// cutWord splits text after its first word, which ends at white space or an
// equals sign.
func cutWord(text string) (string, string) {
	text = strings.TrimLeft(text, " \t\r\n")
	i := strings.IndexAny(text, " \t\r\n=")
	if i < 0 {
		return text, ""
	}
	return text[:i], text[i:]
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// unquote removes the quotes of a string literal.
func unquote(value string) string {
	if len(value) >= 2 && value[0] == '\'' && value[len(value)-1] == '\'' {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return value
}
