// Package takeover runs the failover of calls between controllers that share a directory of ledgers: it seals the ledgers of failed
// controllers, unpacks their calls, claims those that callers come back for, and transfers live calls to where their callers are.
//
// The protocol on the shared directory and its timing are decided in decide/takeover; this package does the I/O. Nothing here runs on the
// event loop: one goroutine scans the directory and posts results to the loop. docs/takeover.md has the protocol, docs/names.md the
// vocabulary.
package takeover
