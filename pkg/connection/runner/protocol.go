// Package runner is the gateway's client of the backend servers of services. It defines their
// HTTP interface, keeps the state that each server reports, and sends calls and streams.
//
// The choice among servers is made by a Picker, which the gateway passes to each pool.
package runner

// The HTTP interface of a backend server. The headers are optional: without them
// the entry host knows a server's load only from its own outstanding requests.
const (
	// CallPath and StreamPath are followed by SERVICE/KIND.
	CallPath   = "/call/"
	StreamPath = "/stream/"
	// FreeHeader, in each answer, is the number of free slots.
	FreeHeader = "Wrenferry-Free"
	// LeavingHeader, in an answer, means that the server takes no new work.
	LeavingHeader = "Wrenferry-Leaving"
	// RefusedHeader, in an answer, means that the server refused the request before running anything.
	RefusedHeader = "Wrenferry-Refused"
	// KeyHeader, in a request, is the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
)
