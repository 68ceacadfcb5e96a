// Package concurrency estimates how fast each endpoint of a pool works and how many
// requests it handles at the same time before its latency rises.
//
// An Estimator belongs to one endpoint in one role; a Pool joins the estimators of one
// role, whose mean is the prior of each. A Load averages the load that an endpoint
// reports. An Estimator learns from Samples: the time that a request took, together with
// the requests that the endpoint had beside it and the slowdown that it reported.
//
// The package starts no goroutines, reads no clock and does no I/O. No type is safe for
// concurrent use. The design is in docs/design/concurrency.md.
package concurrency
