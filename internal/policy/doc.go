// Package policy makes the decisions of the router: which replicas serve a
// request, in which order waiting requests are served, which are refused and
// which are retried.
//
// The package starts no goroutines, reads no clock and does no I/O. Callers pass
// the time in and carry out the decisions. No type is safe for concurrent use.
package policy
