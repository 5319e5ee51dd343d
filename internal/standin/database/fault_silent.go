package database

// FaultSilent makes the open client connections permanently silent: the
// database discards what it receives on them and sends no more responses,
// including that of a running statement. New connections work.
type FaultSilent struct{}

func (FaultSilent) isFault() {}

var faultSilent = faultVariant{
	name:  "silent",
	help:  "open connections are never answered again; new ones work",
	parse: func(FaultRequest) (Fault, error) { return FaultSilent{}, nil },
}
