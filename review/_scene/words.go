package main

import (
	_ "embed"
	"strings"
)

//go:embed words.txt
var wordList string

//go:embed settings.tmpl
var settingsTemplate string

//go:embed config.tmpl
var configTemplate string

// words holds the names of the users' platform by their keys in words.txt.
var words = func() map[string]string {
	result := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(wordList), "\n") {
		key, value, _ := strings.Cut(line, "=")
		result[key] = value
	}
	return result
}()
