// Package bench measures the decision code under load: the code of
// internal/policy against small fakes of engines, links and application
// endpoints, in virtual time and deterministic for a seed.
package bench
