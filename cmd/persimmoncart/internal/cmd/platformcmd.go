package cmd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/platform"
)

const (
	// platformCommand is the name of the command that serves on the platform.
	platformCommand = "platform"
	// settingsPollInterval is the time between two looks at the settings file, which may
	// change without a signal.
	settingsPollInterval = 5 * time.Second
)

// A PlatformSettings holds the flags of the platform command. The settings
// themselves are in the file that the platform keeps.
type PlatformSettings struct {
	File string `long:"settings" env:"SETTINGS" description:"settings file that the platform writes"`
}

// load reads and checks the settings file.
func (s *PlatformSettings) load() (*platform.Settings, error) {
	path := s.path()
	if path == "" {
		return nil, errors.New("no settings file is named")
	}
	return platform.LoadSettings(path)
}

// path returns the path of the settings file.
func (s *PlatformSettings) path() string {
	if s.File != "" {
		return s.File
	}
	return os.Getenv(platform.SettingsVariable)
}

// mainPlatform runs the platform command and returns its exit code.
func mainPlatform(s *Settings, platformSettings *PlatformSettings, stdout, stderr io.Writer) int {
	loaded, err := platformSettings.load()
	if err != nil {
		return report(stderr, exitUsage, err)
	}
	if s.Check {
		_, _ = fmt.Fprintln(stdout, "the settings are valid")
		return exitOK
	}
	ctx, stop := signalContext()
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	w := &settingsWatcher{
		Reloads: make(chan *platform.Settings), Hangups: hangups, Path: platformSettings.path(), Stderr: stderr, Timer: &timer.System{},
	}
	go w.run(ctx)
	p := &platform.Program{Logs: stdout, Reloads: w.Reloads, Settings: loaded}
	if err := p.Run(ctx); err != nil {
		return report(stderr, exitFailed, err)
	}
	return exitOK
}

// A settingsWatcher follows the settings file. Its fields are set before run.
type settingsWatcher struct {
	Reloads chan *platform.Settings
	Hangups <-chan os.Signal
	Path    string
	Stderr  io.Writer
	Timer   persimmoncart.Timer

	lastData []byte
}

// run follows the file until ctx is done. Settings that cannot be used are
// reported with the wrong fields, and the old ones stay in force.
func (w *settingsWatcher) run(ctx context.Context) {
	poll := make(chan struct{}, 1)
	defer w.Timer.Subscribe(settingsPollInterval, func(time.Time) {
		select {
		case poll <- struct{}{}:
		default: // a poll is pending already
		}
	})()
	w.lastData, _ = os.ReadFile(w.Path) // what was loaded; a file that is gone differs
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.Hangups:
		case <-poll:
		}
		data, err := os.ReadFile(w.Path)
		if err != nil {
			report(w.Stderr, exitUsage, errors.Wrap(err, "reload"))
			continue
		}
		if bytes.Equal(data, w.lastData) {
			continue
		}
		w.lastData = data
		settings, err := platform.ParseSettings(data)
		if err != nil {
			report(w.Stderr, exitUsage, errors.Wrap(err, "reload: the old settings stay in force"))
			continue
		}
		select {
		case w.Reloads <- settings:
		case <-ctx.Done():
			return
		}
	}
}
