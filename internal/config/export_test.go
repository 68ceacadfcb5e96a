package config

import "github.com/persimmoncart/persimmoncart"

// Install takes a change set into force as if it came from the store.
func (f *Follower) Install(s *persimmoncart.ConfigChangeSet) error { return f.install(s) }
