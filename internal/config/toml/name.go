package toml

import "regexp"

// NameSyntax describes valid names, for error messages.
const NameSyntax = "only letters, digits, '.', '_' and '-', at most 63 characters"

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsValidName reports whether text is a valid name. The syntax is restricted
// because names are used unquoted in connection parameters, log lines and control
// statements.
func IsValidName(text string) bool { return validName.MatchString(text) }
