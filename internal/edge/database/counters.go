package database

import "expvar"

// The counters of the pool.
var (
	opens        = expvar.NewInt("database_opens")
	openFailures = expvar.NewInt("database_open_failures")
	staleFound   = expvar.NewInt("database_stale_found")
)
