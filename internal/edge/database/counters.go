package database

import "expvar"

// Metrics of the pool: connections opened, failures to open one, and idle
// connections that were found broken.
var (
	openedConnections = expvar.NewInt("database_opens")
	openFailures      = expvar.NewInt("database_open_failures")
	staleConnections  = expvar.NewInt("database_stale_found")
)
