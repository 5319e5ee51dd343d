package caller

import "strings"

// takeSetting takes a startup parameter that is not the proxy's own: the
// session has it set at the databases, as if by SET.
func (s *session) takeSetting(name, value string) *problem {
	switch name {
	case "user", "database", "application_name":
		return nil
	case "client_encoding":
		if isUTF8(value) {
			return nil
		}
	case "replication", "options":
		if value == "" {
			return nil
		}
		return &problem{
			state:   stateFeatureNotSupported,
			message: "the startup parameter " + quoted(name) + " is not supported",
			fatal:   true,
		}
	}
	if strings.HasPrefix(name, protocolPrefix) {
		return nil
	}
	if !isSettingName(name) {
		return fatal(hintProblem(&HintError{Name: name, Value: value, Detail: "not the name of a setting"}))
	}
	one := setting{name: name, text: "SET " + name + " = '" + strings.ReplaceAll(value, "'", "''") + "'"}
	if !s.settings.hasRoom(one) {
		return fatal(problemSettings.with(name))
	}
	s.settings.put(one)
	return nil
}

// protocolPrefix begins the names of options of the protocol itself.
const protocolPrefix = "_pq_."

func isUTF8(value string) bool {
	plain := strings.ToUpper(strings.Trim(value, "'"))
	return plain == "UTF8" || plain == "UTF-8"
}

// isSettingName reports whether a name may stand in a statement as it is.
func isSettingName(name string) bool {
	for i := range len(name) {
		letter := name[i] >= 'a' && name[i] <= 'z' || name[i] == '_'
		later := name[i] >= '0' && name[i] <= '9' || name[i] == '.'
		if !letter && (i == 0 || !later) {
			return false
		}
	}
	return name != ""
}
