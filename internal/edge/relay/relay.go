// Package relay passes statements to peers and runs those of peers.
//
// # What flows in and out
//
// A Client opens a Conn for a statement or transaction whose database this instance has
// no way to. The Conn takes the same calls as a connection of package backend: the state of
// the session travels in the frame of the statement. A Server runs the statements
// of peers with an Executor and returns their answers. It never passes them on.
//
// There is one link for each pair of instances and direction: an authenticated connection
// of package peer, opened when it is needed and closed after idleTimeout. Many statements
// share it. A statement takes one frame there and one back; a transaction stays on the
// link of its first statement, and the relay rolls it back when the link ends.
//
// The outcome of a statement is one of three. It was not run (NotRunError): it did not
// leave this instance, or the relay has said that it sent nothing to the database. It was
// answered. Or it was lost (LostError) and may have run.
//
// The link is closed when answers are due and no frame, not even an answer to a ping,
// arrives for silentTicks. All that was sent over it is lost then.
//
// # How it is laid out
//
//	message.go   the messages, and the reasons for which a statement is not run
//	outbox.go    the bounded queue of a link's writer
//	client.go    the links to relays
//	link.go      one link to a relay
//	conn.go      the way of one statement or transaction
//	server.go    the links from peers
//	serve.go     the statements and transactions of one link from a peer
//	executor.go  running them with a scheduler and a pool
//
// # Usage
//
//	client := relay.NewClient(relay.ClientOptions{Instance: id, Key: key, Chooser: chooser})
//	ended := client.Start(ctx)
//	conn := client.Open(address, requirements, reservation)
//	reply, err := conn.RunIn(ctx, timeout, state, request)
//	conn.Close()
package relay
