package toml

import "regexp"

// NameSyntax tells operators what IsValidName wants.
const NameSyntax = "letters, digits, '.', '_' and '-' only, at most 63"

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsValidName reports whether text may name something. Names go into connection
// parameters, log lines and control statements without quoting.
func IsValidName(text string) bool { return validName.MatchString(text) }
