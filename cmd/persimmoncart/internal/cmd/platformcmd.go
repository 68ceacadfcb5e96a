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
	// settingsPollInterval is the time between two reads of the settings file,
	// which may change without SIGHUP.
	settingsPollInterval = 5 * time.Second
)

// PlatformSettings are the flags of the platform command. All other settings are
// in the settings file, which the platform writes.
type PlatformSettings struct {
	File string `long:"settings" env:"SETTINGS" description:"settings file that the platform writes"`
}

// load reads and validates the settings file.
func (s *PlatformSettings) load() (*platform.Settings, error) {
	path := s.path()
	if path == "" {
		return nil, errors.New("no settings file is named")
	}
	return platform.LoadSettings(path)
}

// path returns the path of the settings file, from the flag or from the platform's
// environment variable; it is empty if both are unset.
func (s *PlatformSettings) path() string {
	if s.File != "" {
		return s.File
	}
	return os.Getenv(platform.SettingsVariable)
}

// mainPlatform runs the platform command and returns the exit code of the program.
func mainPlatform(s *Settings, platformSettings *PlatformSettings, stdout, stderr io.Writer) int {
	settings, err := platformSettings.load()
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
	watcher := &settingsWatcher{
		Hangups: hangups, Path: platformSettings.path(), Reloads: make(chan *platform.Settings), Stderr: stderr, Timer: &timer.System{},
	}
	go watcher.run(ctx)
	program := &platform.Program{Logs: stdout, Reloads: watcher.Reloads, Settings: settings}
	if err := program.Run(ctx); err != nil {
		return report(stderr, exitFailed, err)
	}
	return exitOK
}

// A settingsWatcher reads the settings file again on SIGHUP and every
// settingsPollInterval. Its exported fields are set before run.
type settingsWatcher struct {
	Hangups <-chan os.Signal        // receives SIGHUP
	Path    string                  // of the settings file
	Reloads chan *platform.Settings // receives each changed, valid version of the settings
	Stderr  io.Writer               // for errors in the file
	Timer   persimmoncart.Timer

	lastData []byte // content of the file when it was last read
}

// run watches the file until ctx is done. If the new settings are invalid, it
// reports the wrong fields, and the old settings stay in force.
func (w *settingsWatcher) run(ctx context.Context) {
	poll := make(chan struct{}, 1)
	defer w.Timer.Subscribe(settingsPollInterval, func(time.Time) {
		select {
		case poll <- struct{}{}:
		default: // a poll is pending already
		}
	})()
	w.lastData, _ = os.ReadFile(w.Path) // as loaded at the start; if this fails, the next read counts as a change
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
