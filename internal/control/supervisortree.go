package control

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

// A Service is a function that runs until its context is done. The supervisor
// restarts it if it returns earlier.
type Service struct {
	Name string
	Run  func(context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String returns the service's name in logs.
func (s Service) String() string { return s.Name }

// A SupervisorTree is the supervisor tree of one instance. Its fields are set before Run.
type SupervisorTree struct {
	Logger   zerolog.Logger
	Name     string
	Services []Service
}

// Run runs the services until ctx is done. It restarts services that return, with
// suture's default backoff.
func (t *SupervisorTree) Run(ctx context.Context) error {
	s := suture.New(t.Name, suture.Spec{EventHook: t.logEvent})
	for _, service := range t.Services {
		s.Add(service)
	}
	if err := s.Serve(ctx); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "supervisor tree")
	}
	return nil
}

// logEvent logs an event of the supervisor, without the text of a service's error.
func (t *SupervisorTree) logEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		t.Logger.Error().Str("service", e.ServiceName).Msg("service panicked")
	case suture.EventServiceTerminate:
		t.Logger.Warn().Str("service", e.ServiceName).Bool("restarting", e.Restarting).Msg("service ended")
	case suture.EventStopTimeout:
		t.Logger.Warn().Str("service", e.ServiceName).Msg("service did not stop in time")
	case suture.EventBackoff:
		t.Logger.Warn().Str("supervisor", e.SupervisorName).Msg("services end too often, backing off")
	case suture.EventResume:
		t.Logger.Info().Str("supervisor", e.SupervisorName).Msg("backoff ended")
	}
}
