// Package policy holds the router's decision code: which replicas serve a
// request, in which order waiting requests are served, which are refused, and
// what is tried again.
//
// The code is pure: it starts no goroutines, reads no clock and does no I/O.
// Callers pass the time in and carry the decisions out. No type is safe for
// concurrent use.
package policy
