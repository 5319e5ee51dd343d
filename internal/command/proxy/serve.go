package proxy

import "github.com/eelgrassfold/eelgrassfold/internal/config/settings"

func serveInstance(*Console, *settings.Settings) error {
	return &UnavailableError{Why: "serve"}
}
