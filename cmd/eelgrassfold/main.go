// Command eelgrassfold is the database proxy and its operators' tool.
package main

func main() {}
