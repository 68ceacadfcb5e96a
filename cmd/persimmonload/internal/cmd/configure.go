package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/demo"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/instancelist"
	"github.com/persimmoncart/persimmoncart/internal/loadgen"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// A configureCommand writes the configuration of a deployment to the store, with
// the endpoints of the instance list and an account with the key.
type configureCommand struct {
	command.Command
	Key   string           `long:"key" env:"PERSIMMONLOAD_KEY" required:"true" description:"API key of the account"`
	List  flagtype.Address `long:"list" env:"PERSIMMONLOAD_LIST" default:"127.0.0.1:7102" description:"Instance list with the deployment's endpoints"`
	Mix   string           `long:"mix" env:"PERSIMMONLOAD_MIX" default:"dar-jaouz" choice:"dar-jaouz" choice:"peachthread" description:"Deployment"`
	Store flagtype.Address `long:"store" env:"PERSIMMONLOAD_STORE" default:"127.0.0.1:7100" description:"Store"`
}

// run implements runner.
func (c *configureCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	deployment, err := fakes.DeploymentByName(c.Mix)
	if err != nil {
		return err
	}
	mix, err := loadgen.MixByName(c.Mix)
	if err != nil {
		return err
	}
	client := transport.NewClient(nil)
	defer client.CloseIdleConnections()
	listed, err := (&instancelist.Client{Addr: c.List.AddrPort, HTTP: client}).List(ctx)
	if err != nil {
		return err
	}
	var endpoints []persimmoncart.Endpoint
	for _, entry := range listed {
		if entry.Endpoint != nil {
			endpoints = append(endpoints, *entry.Endpoint)
		}
	}
	changes, err := demo.Configuration(deployment, endpoints, mix, c.Key)
	if err != nil {
		return err
	}
	clock := &timer.System{}
	store := &objectapi.Client{Addr: c.Store.AddrPort, HTTP: client, Timer: clock}
	editor := &config.Editor{Repository: &config.Repository{Store: store}, Timer: clock}
	result, err := editor.Apply(ctx, config.Edit{Author: "persimmonload", Changes: changes, Force: true})
	if err != nil {
		return errors.Wrap(err, "apply configuration")
	}
	_, err = fmt.Fprintf(stdout, "version %d holds %d endpoints\n", result.Version, len(endpoints))
	return err
}
