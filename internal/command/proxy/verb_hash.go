package proxy

import (
	"bufio"
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/caller"
)

var hashSubcommand = subcommand{
	name:    "hash",
	summary: "Hash a caller's password from standard input.",
	detail: "The password is the first line of standard input; its hash is printed. The file that\n" +
		"a [[user]] of the settings names may contain the hash instead of the password.",
	examples:   []string{"eelgrassfold hash < officer.clear > officer.password"},
	newCommand: func() any { return &hashCommand{} },
}

type hashCommand struct{}

// Run reads a password and prints its hash.
func (*hashCommand) Run(console *Console) error {
	line, _ := bufio.NewReader(console.In).ReadString('\n')
	password := strings.TrimSpace(line)
	if password == "" {
		return &InputError{Reason: "standard input contains no password"}
	}
	hash, err := caller.NewPasswordHash(password)
	if err != nil {
		return err
	}
	console.printf("%s\n", hash)
	return nil
}
