package demo

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/loadgen"
)

// accountName is the name of the account that sends the load.
const accountName = "demo"

// A configurationFile is the content of a configuration file. It is encoded as JSON,
// which is valid YAML.
type configurationFile struct {
	Accounts  []config.AccountSpec  `json:"accounts"`
	Endpoints []config.EndpointSpec `json:"endpoints"`
	Links     []config.LinkSpec     `json:"links"`
	Pools     []config.PoolSpec     `json:"pools"`
	Routes    []config.RouteSpec    `json:"routes"`
}

// regionLinkRate is the rate of the link between two regions in bytes per second
// (30 Mbit/s).
const regionLinkRate = 30e6 / 8

// Configuration returns the changes that configure a deployment: the given
// endpoints, the routes of the traffic mix, and an account with the given API key.
func Configuration(d fakes.Deployment, endpoints []persimmoncart.Endpoint, mix loadgen.Mix, key string) ([]persimmoncart.ConfigChange, error) {
	f := configurationFile{
		Accounts: []config.AccountSpec{{
			Class: persimmoncart.ClassInteractive, Keys: []config.KeyHash{config.HashKey(key)}, Name: accountName, Rate: 1000,
		}},
		Pools: []config.PoolSpec{
			{Name: string(d.Application), Role: persimmoncart.RoleApplication},
			{Models: []string{string(d.Model)}, Name: string(d.Pool)},
		},
	}
	for _, c := range d.DataCentres {
		f.Pools[1].Decode += c.DecodeEngines
		f.Pools[1].Prefill += c.PrefillEngines
	}
	for _, e := range endpoints {
		f.Endpoints = append(f.Endpoints, endpointSpec(e))
	}
	for _, p := range mix.Workloads {
		f.Routes = append(f.Routes, routeSpec(d, p))
	}
	f.Links = []config.LinkSpec{{
		From: string(d.DataCentres[0].Region), Name: "regions", Rate: regionLinkRate, To: string(d.DataCentres[len(d.DataCentres)-1].Region),
	}}
	data, err := json.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	entries, issues := config.ParseYAML("demo", data)
	if len(issues) > 0 {
		return nil, errors.Wrap(issues, "parse configuration")
	}
	return config.Diff(config.NewState(nil), config.NewState(entries)), nil
}

// endpointSpec converts an endpoint to its configuration.
func endpointSpec(e persimmoncart.Endpoint) config.EndpointSpec {
	s := config.EndpointSpec{
		Addr:       e.Addr,
		Blocks:     e.Blocks,
		DataCentre: string(e.DataCentre),
		Name:       string(e.ID),
		Pool:       string(e.Pool),
		Region:     string(e.Region),
		Role:       e.Role,
		Slots:      e.Slots,
	}
	if e.Capabilities.Fences {
		s.Capabilities = append(s.Capabilities, "fence")
	}
	for _, m := range e.Models {
		s.Models = append(s.Models, string(m))
	}
	return s
}

// routeSpec returns the configuration of the route that one workload of a mix uses.
func routeSpec(d fakes.Deployment, p loadgen.Workload) config.RouteSpec {
	r := config.RouteSpec{
		Class:   persimmoncart.ClassInteractive,
		Name:    string(p.Route),
		Pool:    string(d.Application),
		Timeout: config.Duration(p.Deadline),
	}
	switch p.Kind {
	case loadgen.KindDraft:
		r.Class = persimmoncart.ClassBatch
		r.MaxOutputTokens, r.Models, r.Pool = p.OutputTokens.High, []string{string(d.Model)}, string(d.Pool)
	case loadgen.KindLookup:
		r.Hedge, r.Idempotent = true, true
	case loadgen.KindRecord:
	}
	return r
}
