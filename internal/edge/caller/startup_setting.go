package caller

import "strings"

// addStartupSetting adds a startup parameter that is no proxy setting to the
// settings of the session, as if it were set by SET.
func (s *session) addStartupSetting(name, value string) *problem {
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
			sqlState: stateFeatureNotSupported,
			message:  "the startup parameter " + quoted(name) + " is not supported",
			fatal:    true,
		}
	}
	if strings.HasPrefix(name, protocolPrefix) {
		return nil
	}
	if !isSettingName(name) {
		return asFatal(hintProblem(&HintError{Name: name, Value: value, Detail: "not the name of a setting"}))
	}
	added := setting{name: name, text: "SET " + name + " = '" + strings.ReplaceAll(value, "'", "''") + "'"}
	if !s.settings.hasRoom(added) {
		return asFatal(problemTooManySettings.withDetail(name))
	}
	s.settings.put(added)
	return nil
}

// protocolPrefix is the prefix of protocol options.
const protocolPrefix = "_pq_."

func isUTF8(value string) bool {
	normalized := strings.ToUpper(strings.Trim(value, "'"))
	return normalized == "UTF8" || normalized == "UTF-8"
}

// isSettingName reports whether a name can be used in a statement without
// quotes.
func isSettingName(name string) bool {
	for i := range len(name) {
		letter := name[i] >= 'a' && name[i] <= 'z' || name[i] == '_'
		notFirst := name[i] >= '0' && name[i] <= '9' || name[i] == '.'
		if !letter && (i == 0 || !notFirst) {
			return false
		}
	}
	return name != ""
}
