package cmd

import (
	"context"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/command"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/flagtype"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// An engineCommand runs a fake model engine.
type engineCommand struct {
	command.Command
	Addr              flagtype.Address `long:"addr" env:"PERSIMMONFAKE_ADDR" default:"127.0.0.1:7200" description:"Address to listen on"`
	Blocks            int              `long:"blocks" env:"PERSIMMONFAKE_BLOCKS" default:"0" description:"Memory in blocks of 1,024 tokens; zero takes the role's default"`
	EventDropInterval int              `long:"event-gap" env:"PERSIMMONFAKE_EVENT_GAP" default:"0" description:"Lose each n-th cache event; zero loses none"`
	EventLag          time.Duration    `long:"event-lag" env:"PERSIMMONFAKE_EVENT_LAG" default:"500ms" description:"Delay of cache events"`
	Fences            bool             `long:"fences" env:"PERSIMMONFAKE_FENCES" description:"Refuse orders with an old fencing token"`
	KVTTL             time.Duration    `long:"kv-life" env:"PERSIMMONFAKE_KV_LIFE" default:"800ms" description:"Time until exported KV cache is evicted"`
	LoadReportLag     time.Duration    `long:"load-lag" env:"PERSIMMONFAKE_LOAD_LAG" default:"1s" description:"Delay of load reports"`
	Models            []string         `long:"model" env:"PERSIMMONFAKE_MODELS" env-delim:"," required:"true" description:"Model to serve; may be repeated"`
	StepTime          time.Duration    `long:"pace" env:"PERSIMMONFAKE_PACE" default:"20ms" description:"Time of a decode step with one request"`
	PrefillRate       float64          `long:"rate" env:"PERSIMMONFAKE_RATE" default:"25000" description:"Prefill rate, tokens a second"`
	Role              string           `long:"role" env:"PERSIMMONFAKE_ROLE" default:"decode" choice:"decode" choice:"prefill" description:"Role of the engine"`
	Senders           []string         `long:"sender" env:"PERSIMMONFAKE_SENDERS" env-delim:"," description:"Instance that may send orders; none means everybody"`
	Slots             int              `long:"slots" env:"PERSIMMONFAKE_SLOTS" default:"0" description:"Requests that run at the same time; zero takes the role's default"`
	TransferRate      float64          `long:"transfer" env:"PERSIMMONFAKE_TRANSFER" default:"1e10" description:"Rate of imports, bytes a second"`
}

// run implements runner.
func (e *engineCommand) run(ctx context.Context, env environment) error {
	role, err := persimmoncart.ParseRole(e.Role)
	if err != nil {
		return err
	}
	fake := engine.NewFake(e.Addr.AddrPort, role, env.timer)
	if e.Blocks > 0 {
		fake.Blocks = e.Blocks
	}
	if e.Slots > 0 {
		fake.Slots = e.Slots
	}
	if len(e.Senders) > 0 {
		allowed := map[persimmoncart.InstanceID]bool{}
		for _, sender := range e.Senders {
			allowed[persimmoncart.InstanceID(sender)] = true
		}
		fake.AllowSender = func(sender persimmoncart.InstanceID) bool { return allowed[sender] }
	}
	for _, model := range e.Models {
		fake.Models = append(fake.Models, persimmoncart.ModelName(model))
	}
	fake.EventDropInterval, fake.EventLag, fake.Fences = e.EventDropInterval, e.EventLag, e.Fences
	fake.Exporter = &engine.Clients{HTTP: transport.NewClient(nil)}
	fake.KVTTL, fake.LoadReportLag, fake.StepTime = e.KVTTL, e.LoadReportLag, e.StepTime
	fake.PrefillRate, fake.TransferRate = e.PrefillRate, e.TransferRate
	return env.serve(ctx, "engine", e.Addr.AddrPort, (&engine.Handler{Engine: fake, Fake: fake}).Handler())
}
