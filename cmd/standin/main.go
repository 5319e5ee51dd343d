// Command standin holds stand-ins for the systems that eelgrassfold serves.
package main

func main() {}
