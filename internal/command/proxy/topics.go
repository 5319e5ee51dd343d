package proxy

import "embed"

//go:embed topics/*.txt
var topicFiles embed.FS

// topics lists the help topics; the text of each is topics/NAME.txt.
var topics = []struct{ name, summary string }{
	{"settings", "configuration that an instance reads at its start"},
	{"manifest", "declaring groups, ranks, kinds and limits, and changing them"},
	{"kinds", "how a caller names the kind of its requests"},
	{"ranks", "which requests run first, and the share that the others keep"},
	{"tokens", "session tokens: reading one's own writes at every instance"},
	{"results", "done, not run, outcome unknown: what each means for a caller"},
	{"failover", "how a primary is replaced, and what the logbook records"},
	{"drain", "taking an instance or a database out of service"},
	{"outage", "what works while the platform is down"},
}

func topicText(name string) (string, bool) {
	body, err := topicFiles.ReadFile("topics/" + name + ".txt")
	if err != nil {
		return "", false
	}
	return string(body), true
}

func printTopics(console *Console) {
	for _, topic := range topics {
		console.printf("  %-10s %s\n", topic.name, topic.summary)
	}
}
