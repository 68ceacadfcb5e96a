package demo

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/fakes"
	"github.com/persimmoncart/persimmoncart/internal/loadgen"
)

// account is the account that the load runs under.
const account = "demo"

// A file is a configuration file; YAML contains JSON.
type file struct {
	Accounts  []config.AccountSpec  `json:"accounts"`
	Endpoints []config.EndpointSpec `json:"endpoints"`
	Links     []config.LinkSpec     `json:"links"`
	Pools     []config.PoolSpec     `json:"pools"`
	Routes    []config.RouteSpec    `json:"routes"`
}

// regionLink is the rate of the link between two regions: 30 Mbit/s.
const regionLink = 30e6 / 8

// Configuration returns the changes that configure a deployment with the given
// endpoints, the routes of its mix, and an account with an API key.
func Configuration(d fakes.Deployment, endpoints []persimmoncart.Endpoint, mix loadgen.Mix, key string) ([]persimmoncart.ConfigChange, error) {
	f := file{
		Accounts: []config.AccountSpec{{
			Class: persimmoncart.ClassInteractive, Keys: []config.KeyHash{config.HashKey(key)}, Name: account, Rate: 1000,
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
		From: string(d.DataCentres[0].Region), Name: "regions", Rate: regionLink, To: string(d.DataCentres[len(d.DataCentres)-1].Region),
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

// endpointSpec returns the configuration of one endpoint.
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

// routeSpec returns the configuration of the route of one part of a mix.
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
