package cmd

import (
	"context"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart/platform"
)

// platformCommand is the name of the command that serves on the platform.
const platformCommand = "platform"

// A PlatformSettings holds the flags of the platform command. The settings
// themselves are in the file that the platform keeps.
type PlatformSettings struct {
	File string `long:"settings" env:"SETTINGS" description:"settings file that the platform writes"`
}

// check reads the settings file and reports whether it can be used.
func (s *PlatformSettings) load() (*platform.Settings, error) {
	path := s.File
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return nil, errors.New("no settings file is named")
	}
	return platform.LoadSettings(path)
}

// runPlatform serves on the platform until ctx is done.
func runPlatform(ctx context.Context, s *platform.Settings, logs io.Writer) error {
	p := &platform.Program{Logs: logs, Settings: s}
	return p.Run(ctx)
}
