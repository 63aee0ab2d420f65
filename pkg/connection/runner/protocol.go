// Package runner speaks to the backend servers of services: it knows their interface, keeps
// what each has said of itself, and sends calls and streams. The gateway calls it.
//
// It does not choose among servers: a Picker does, which the gateway hands to each pool.
package runner

// The interface that a backend server offers. A server without these headers
// works too: it is then known by what the entry host itself has sent it.
const (
	// CallPath and StreamPath are followed by SERVICE/KIND.
	CallPath   = "/call/"
	StreamPath = "/stream/"
	// FreeHeader is in each answer: how many slots are free.
	FreeHeader = "Wrenferry-Free"
	// LeavingHeader is in an answer of a server that takes no new work.
	LeavingHeader = "Wrenferry-Leaving"
	// RefusedHeader says that the server refused before anything ran.
	RefusedHeader = "Wrenferry-Refused"
	// KeyHeader carries the caller's key.
	KeyHeader = "Idempotency-Key"
)
