// Package bench simulates a deployment under load to measure the decision code
// of internal/policy against other routers. Engines, links and application
// endpoints are small fakes in virtual time; a run is deterministic for its
// seed.
package bench
