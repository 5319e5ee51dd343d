package caller

import (
	"net/url"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// hint describes a request, as given by the caller in settings or in a comment.
type hint struct {
	kind  string
	key   string
	token model.Token
	// deadline is the time that the caller allows for the request from its arrival
	// on. Zero, or more than the limit of the request kind, stands for that limit.
	deadline time.Duration
	// roaming is true for a multi-connection session; see message.SessionOpened.
	roaming bool
}

// maxKeyLength is the maximum length of a caller-supplied idempotency key, and
// maxKindLength that of the name of a request kind, in bytes.
const (
	maxKeyLength  = 200
	maxKindLength = 100
)

// HintError reports an invalid proxy setting or comment key.
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

// hintSetters maps the names of the hints to their parsers. A hint is given by
// a comment /*kind='post'*/, by SET eelgrassfold.kind = 'post', or by the
// startup parameter eelgrassfold.kind.
var hintSetters = map[string]func(*hint, string) error{
	"kind":     setKind,
	"key":      setKey,
	"token":    setToken,
	"deadline": setDeadline,
	"roaming":  setRoaming,
}

// statementOnly is the hint that only a comment may give; sessionOnly is the
// one that only a startup parameter may give.
const (
	statementOnly = "key"
	sessionOnly   = "roaming"
)

func setKind(h *hint, value string) error {
	if value == "" || len(value) > maxKindLength {
		return &HintError{Name: "kind", Value: value, Detail: "expected the name of a kind of work"}
	}
	h.kind = value
	return nil
}

func setKey(h *hint, value string) error {
	if value == "" || len(value) > maxKeyLength {
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

// withDefaults returns h with a missing kind, deadline or token taken from
// defaults, the hint of the session or of the other statements of a batch. The key
// and roaming are not taken over.
func (h hint) withDefaults(defaults hint) hint {
	if h.kind == "" {
		h.kind = defaults.kind
	}
	if h.deadline == 0 {
		h.deadline = defaults.deadline
	}
	if h.token.Group == "" {
		h.token = defaults.token
	}
	return h
}

// -----------------------------------------------------------------------------
// Hints in comments.

// parseHint parses the comments at the start and at the end of a statement.
// Keys that do not belong to the proxy are ignored. Its error is a *HintError.
func parseHint(text string) (hint, error) {
	var h hint
	if !strings.Contains(text, "/*") {
		return h, nil
	}
	given := map[string]bool{}
	rest := strings.TrimSpace(text)
	for strings.HasPrefix(rest, "/*") {
		n := commentLength(rest)
		err := h.readComment(rest[:n], given)
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
		err := h.readComment(rest[start:], given)
		if err != nil {
			return hint{}, err
		}
		rest = strings.TrimRight(rest[:start], "; \t\r\n")
	}
	return h, nil
}

// readComment parses the key='value' pairs of a comment, separated by commas.
func (h *hint) readComment(comment string, given map[string]bool) error {
	body := strings.TrimSuffix(strings.TrimPrefix(comment, "/*"), "*/")
	for body != "" {
		var pair string
		pair, body = cutPair(body)
		name, value, found := strings.Cut(pair, "=")
		if !found {
			continue
		}
		name = decodeKey(name)
		set, known := hintSetters[name]
		if !known || name == sessionOnly {
			continue
		}
		if given[name] {
			return &HintError{Name: name, Value: value, Detail: "given twice"}
		}
		given[name] = true
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

// cutPair splits body at the first comma outside quotes.
func cutPair(body string) (string, string) {
	inQuotes := false
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '\'':
			inQuotes = !inQuotes
		case ',':
			if !inQuotes {
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
