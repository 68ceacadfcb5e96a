// Package crowd has tests only: they start the real program as a process and play
// crowds of clients that misbehave. Its tests check that the process lives, that its
// memory and descriptors stay within its settings, and that it answers an ordinary
// request while the crowd is connected. They check no times and no share of served
// requests.
package crowd
