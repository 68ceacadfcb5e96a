// Package fakes runs the fakes of a whole deployment in one process: store,
// weight store, instance list, engines and application endpoints.
package fakes

import (
	"fmt"
	"strconv"

	"github.com/persimmoncart/persimmoncart"
)

// Names of the deployments.
const (
	NameDarJaouz    = "dar-jaouz"
	NamePeachthread = "peachthread"
)

// Names are the names of all deployments, sorted.
var Names = []string{NameDarJaouz, NamePeachthread}

// A Centre is one data centre of a deployment with its replicas.
type Centre struct {
	Applications int
	Decode       int
	Instances    int // entry instances
	Name         persimmoncart.DataCentre
	Prefill      int
	Region       persimmoncart.Region
}

// A Deployment is the sizes of one deployment (docs/design.md, section 4).
type Deployment struct {
	Application persimmoncart.PoolName
	Centres     []Centre
	Model       persimmoncart.ModelName
	Name        string
	Pool        persimmoncart.PoolName // of engines
	Weights     int64                  // bytes
}

// ByName returns the deployment at today's sizes, or a *NameError.
func ByName(name string) (Deployment, error) {
	switch name {
	case NameDarJaouz:
		return DarJaouz(), nil
	case NamePeachthread:
		return Peachthread(), nil
	default:
		return Deployment{}, &NameError{Value: name}
	}
}

// DarJaouz returns dar-jaouz at today's sizes.
func DarJaouz() Deployment {
	return Deployment{
		Application: "yard-books",
		Centres: []Centre{
			{Applications: 1, Decode: 5, Instances: 3, Name: "sfax-hall1", Prefill: 2, Region: "sfax-coast"},
			{Applications: 1, Decode: 5, Instances: 3, Name: "sfax-hall2", Prefill: 2, Region: "sfax-coast"},
			{Applications: 1, Decode: 4, Instances: 2, Name: "kass-hall1", Prefill: 2, Region: "kasserine-hl"},
		},
		Model:   "hull-llm",
		Name:    NameDarJaouz,
		Pool:    "hull-llm",
		Weights: 16e9,
	}
}

// Peachthread returns peachthread at today's sizes.
func Peachthread() Deployment {
	return Deployment{
		Application: "pledge-desk",
		Centres: []Centre{
			{Applications: 1, Decode: 3, Instances: 3, Name: "athens-a", Prefill: 2, Region: "ga-north"},
			{Applications: 1, Decode: 3, Instances: 3, Name: "gainesville-b", Prefill: 1, Region: "ga-north"},
			{Applications: 1, Decode: 2, Instances: 2, Name: "valdosta-a", Prefill: 1, Region: "ga-south"},
		},
		Model:   "match-writers",
		Name:    NamePeachthread,
		Pool:    "match-writers",
		Weights: 16e9,
	}
}

// Endpoints returns the deployment's endpoints without addresses, sorted by data
// centre, role and number.
func (d Deployment) Endpoints() []persimmoncart.Endpoint {
	var list []persimmoncart.Endpoint
	for _, c := range d.Centres {
		for _, r := range []struct {
			count int
			role  persimmoncart.Role
		}{
			{c.Applications, persimmoncart.RoleApplication},
			{c.Decode, persimmoncart.RoleDecode},
			{c.Prefill, persimmoncart.RolePrefill},
		} {
			for n := range r.count {
				list = append(list, d.endpoint(c, r.role, n))
			}
		}
	}
	return list
}

// endpoint returns one endpoint.
func (d Deployment) endpoint(c Centre, role persimmoncart.Role, number int) persimmoncart.Endpoint {
	e := persimmoncart.Endpoint{
		// Some endpoints refuse old fencing tokens and others ignore them.
		Capabilities: persimmoncart.Capabilities{Fences: number%2 == 0},
		DataCentre:   c.Name,
		ID:           persimmoncart.EndpointID(string(c.Name) + "-" + role.String() + "-" + strconv.Itoa(number)),
		Pool:         d.Pool,
		Region:       c.Region,
		Role:         role,
	}
	if role == persimmoncart.RoleApplication {
		e.Pool = d.Application
	} else {
		e.Models = []persimmoncart.ModelName{d.Model}
	}
	return e
}

// A NameError reports the name of no deployment.
type NameError struct {
	Value string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("unknown deployment %q, want one of %q", e.Value, Names)
}
