package proxy

import "embed"

//go:embed topics/*.txt
var topicFiles embed.FS

// topics lists the help topics; the text of each is topics/NAME.txt.
var topics = []struct{ name, summary string }{
	{"settings", "what an instance is told at its start"},
	{"manifest", "declaring groups, ranks, kinds and limits, and changing them"},
	{"kinds", "how a caller names its kind of work"},
	{"ranks", "which work goes first, and what the rest keeps"},
	{"tokens", "session tokens: seeing one's own writes everywhere"},
	{"results", "done, not run, outcome unknown: what each means for a caller"},
	{"failover", "how a primary is replaced, and what the logbook keeps"},
	{"drain", "taking an instance or a database away"},
	{"outage", "what goes on while the platform is down"},
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
