package config

import "github.com/persimmoncart/persimmoncart"

// InstallChangeSet puts a change set into force as if it came from the store.
func (f *Follower) InstallChangeSet(s *persimmoncart.ConfigChangeSet) error {
	return f.installChangeSet(s)
}
