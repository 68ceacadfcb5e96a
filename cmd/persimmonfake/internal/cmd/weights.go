package cmd

import (
	"context"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/weightstore"
)

// A weightsCommand runs a fake weight store.
type weightsCommand struct {
	command.Command
	Addr      flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7101" description:"Address to listen on"`
	CallRate  float64          `long:"calls" env:"PERSIMMONFAKE_CALLS" default:"10" description:"Calls a second; zero is unlimited"`
	Models    map[string]int64 `long:"model" env:"PERSIMMONFAKE_MODELS" env-delim:"," required:"true" description:"Model and the size of its weights in bytes, as name:bytes; may be repeated"`
	FetchRate float64          `long:"rate" env:"PERSIMMONFAKE_RATE" default:"2e9" description:"Rate of one fetch, bytes a second"`
}

// run implements runner.
func (w *weightsCommand) run(ctx context.Context, env environment) error {
	fake := &weightstore.Fake{CallRate: w.CallRate, FetchRate: w.FetchRate, Sizes: map[persimmoncart.ModelName]int64{}, Timer: env.timer}
	for model, size := range w.Models {
		fake.Sizes[persimmoncart.ModelName(model)] = size
	}
	return env.serve(ctx, "weights", w.Addr.AddrPort, (&weightstore.Handler{Store: fake}).Handler())
}
