package caller

import (
	"net/url"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// hint is what a caller says of its work, by settings or by a comment.
type hint struct {
	kind     string
	key      string
	token    model.Token
	deadline time.Duration
	roaming  bool
}

// keyLimit is the greatest length of a caller's own idempotency key, and
// kindLimit that of the name of a kind, in bytes.
const (
	keyLimit  = 200
	kindLimit = 100
)

// HintError reports a setting or comment key of the proxy that can't be read.
type HintError struct {
	Name   string
	Value  string
	Detail string
}

// Error implements error.
func (e *HintError) Error() string {
	return "eelgrassfold " + e.Name + " " + quoted(e.Value) + ": " + e.Detail
}

func quoted(text string) string { return "\"" + text + "\"" }

// hintSetters is the table of what may be said, by a comment
// /*kind='post'*/, by SET eelgrassfold.kind = 'post', or by a startup parameter
// of that name.
var hintSetters = map[string]func(*hint, string) error{
	"kind":     setKind,
	"key":      setKey,
	"token":    setToken,
	"deadline": setDeadline,
	"roaming":  setRoaming,
}

// statementOnly and sessionOnly list the names that don't go everywhere.
const (
	statementOnly = "key"
	sessionOnly   = "roaming"
)

func setKind(h *hint, value string) error {
	if value == "" || len(value) > kindLimit {
		return &HintError{Name: "kind", Value: value, Detail: "expected the name of a kind of work"}
	}
	h.kind = value
	return nil
}

func setKey(h *hint, value string) error {
	if value == "" || len(value) > keyLimit {
		return &HintError{Name: "key", Value: value, Detail: "expected 1 to 200 characters"}
	}
	for i := 0; i < len(value); i++ {
		if value[i] <= ' ' || value[i] > '~' || value[i] == '\'' || value[i] == '\\' {
			return &HintError{Name: "key", Value: value, Detail: "expected printable ASCII without quotes and backslashes"}
		}
	}
	h.key = value
	return nil
}

func setToken(h *hint, value string) error {
	token, err := model.ParseToken(value)
	if err != nil {
		return &HintError{Name: "token", Value: value, Detail: "expected group/term:offset"}
	}
	h.token = token
	return nil
}

func setDeadline(h *hint, value string) error {
	deadline, err := time.ParseDuration(value)
	if err != nil || deadline <= 0 {
		return &HintError{Name: "deadline", Value: value, Detail: "expected a duration such as 200ms"}
	}
	h.deadline = deadline
	return nil
}

func setRoaming(h *hint, value string) error {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		h.roaming = true
	case "off", "false", "no", "0":
		h.roaming = false
	default:
		return &HintError{Name: "roaming", Value: value, Detail: "expected on or off"}
	}
	return nil
}

// over returns h with what is missing taken from the session's hint.
func (h hint) over(session hint) hint {
	if h.kind == "" {
		h.kind = session.kind
	}
	if h.deadline == 0 {
		h.deadline = session.deadline
	}
	if h.token.Group == "" {
		h.token = session.token
	}
	return h
}

// -----------------------------------------------------------------------------
// Comments.

// parseHint reads the comments at the start and at the end of a statement. Keys
// that are not the proxy's are passed over. Its error is a *HintError.
func parseHint(text string) (hint, error) {
	var h hint
	if !strings.Contains(text, "/*") {
		return h, nil
	}
	seen := map[string]bool{}
	rest := strings.TrimSpace(text)
	for strings.HasPrefix(rest, "/*") {
		n := commentLength(rest)
		err := h.readComment(rest[:n], seen)
		if err != nil {
			return hint{}, err
		}
		rest = strings.TrimSpace(rest[n:])
	}
	rest = strings.TrimRight(rest, "; \t\r\n")
	for strings.HasSuffix(rest, "*/") {
		start := strings.LastIndex(rest, "/*")
		if start < 0 {
			break
		}
		err := h.readComment(rest[start:], seen)
		if err != nil {
			return hint{}, err
		}
		rest = strings.TrimRight(rest[:start], "; \t\r\n")
	}
	return h, nil
}

// readComment reads key='value' pairs, parted by commas.
func (h *hint) readComment(comment string, seen map[string]bool) error {
	body := strings.TrimSuffix(strings.TrimPrefix(comment, "/*"), "*/")
	for body != "" {
		var pair string
		pair, body = cutPair(body)
		name, value, found := strings.Cut(pair, "=")
		if !found {
			continue
		}
		name = decodeKey(name)
		set, ours := hintSetters[name]
		if !ours || name == sessionOnly {
			continue
		}
		if seen[name] {
			return &HintError{Name: name, Value: value, Detail: "given twice"}
		}
		seen[name] = true
		decoded, err := decodeValue(name, value)
		if err != nil {
			return err
		}
		err = set(h, decoded)
		if err != nil {
			return err
		}
	}
	return nil
}

// cutPair cuts at the first comma outside of quotes.
func cutPair(body string) (string, string) {
	inside := false
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '\'':
			inside = !inside
		case ',':
			if !inside {
				return body[:i], body[i+1:]
			}
		}
	}
	return body, ""
}

func decodeKey(name string) string {
	name = strings.TrimSpace(name)
	decoded, err := url.PathUnescape(name)
	if err != nil {
		return name
	}
	return decoded
}

func decodeValue(name, value string) (string, error) {
	value = strings.TrimSpace(value)
	if len(value) < 2 || value[0] != '\'' || value[len(value)-1] != '\'' {
		return "", &HintError{Name: name, Value: value, Detail: "expected a value in single quotes"}
	}
	inner := value[1 : len(value)-1]
	if strings.ContainsAny(strings.ReplaceAll(inner, `\'`, ""), `'\`) {
		return "", &HintError{Name: name, Value: value, Detail: "a quote inside of the value is not escaped"}
	}
	decoded, err := url.PathUnescape(strings.ReplaceAll(inner, `\'`, "'"))
	if err != nil {
		return "", &HintError{Name: name, Value: value, Detail: "the value is not URL-encoded"}
	}
	return decoded, nil
}
