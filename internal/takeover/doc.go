// Package takeover implements the failover of calls between controllers that share a directory of ledgers. It seals the ledgers of failed
// controllers, unpacks their calls, claims the calls that callers resume, and transfers calls of live controllers to the controllers that their
// callers have reconnected to.
//
// Package decide/takeover defines the protocol on the shared directory and its timing; this package performs the I/O. Nothing here runs on the
// event loop: one goroutine scans the directory and posts the results to the loop. docs/takeover.md describes the protocol, docs/names.md the
// vocabulary.
package takeover
