// Package fakes runs fakes of all systems of a deployment in one process: the
// store, the weight store, the instance list, engines and application endpoints.
package fakes

import (
	"fmt"
	"strconv"

	"github.com/persimmoncart/persimmoncart"
)

// Names of deployments.
const (
	NameDarJaouz    = "dar-jaouz"
	NamePeachthread = "peachthread"
)

// DeploymentNames are the names of all deployments, sorted.
var DeploymentNames = []string{NameDarJaouz, NamePeachthread}

// A DataCentre holds the numbers of endpoints and entry instances of a deployment
// in one data centre.
type DataCentre struct {
	ApplicationEndpoints int
	DecodeEngines        int
	EntryInstances       int
	Name                 persimmoncart.DataCentre
	PrefillEngines       int
	Region               persimmoncart.Region
}

// A Deployment describes the pools of a deployment and their sizes
// (docs/design.md, section 4).
type Deployment struct {
	Application persimmoncart.PoolName // pool of application endpoints
	DataCentres []DataCentre
	Model       persimmoncart.ModelName
	Name        string
	Pool        persimmoncart.PoolName // pool of engines
	WeightBytes int64                  // size of the weights of Model
}

// DarJaouz returns the deployment dar-jaouz.
func DarJaouz() Deployment {
	return Deployment{
		Application: "yard-books",
		DataCentres: []DataCentre{
			{ApplicationEndpoints: 1, DecodeEngines: 5, EntryInstances: 3, Name: "sfax-hall1", PrefillEngines: 2, Region: "sfax-coast"},
			{ApplicationEndpoints: 1, DecodeEngines: 5, EntryInstances: 3, Name: "sfax-hall2", PrefillEngines: 2, Region: "sfax-coast"},
			{ApplicationEndpoints: 1, DecodeEngines: 4, EntryInstances: 2, Name: "kass-hall1", PrefillEngines: 2, Region: "kasserine-hl"},
		},
		Model:       "hull-llm",
		Name:        NameDarJaouz,
		Pool:        "hull-llm",
		WeightBytes: 16e9,
	}
}

// DeploymentByName returns the deployment with name, or an *UnknownDeploymentError.
func DeploymentByName(name string) (Deployment, error) {
	switch name {
	case NameDarJaouz:
		return DarJaouz(), nil
	case NamePeachthread:
		return Peachthread(), nil
	default:
		return Deployment{}, &UnknownDeploymentError{Value: name}
	}
}

// Peachthread returns the deployment peachthread.
func Peachthread() Deployment {
	return Deployment{
		Application: "pledge-desk",
		DataCentres: []DataCentre{
			{ApplicationEndpoints: 1, DecodeEngines: 3, EntryInstances: 3, Name: "athens-a", PrefillEngines: 2, Region: "ga-north"},
			{ApplicationEndpoints: 1, DecodeEngines: 3, EntryInstances: 3, Name: "gainesville-b", PrefillEngines: 1, Region: "ga-north"},
			{ApplicationEndpoints: 1, DecodeEngines: 2, EntryInstances: 2, Name: "valdosta-a", PrefillEngines: 1, Region: "ga-south"},
		},
		Model:       "match-writers",
		Name:        NamePeachthread,
		Pool:        "match-writers",
		WeightBytes: 16e9,
	}
}

// Endpoints returns the deployment's endpoints without addresses, sorted by data
// centre, role and number.
func (d Deployment) Endpoints() []persimmoncart.Endpoint {
	var list []persimmoncart.Endpoint
	for _, c := range d.DataCentres {
		for _, r := range []struct {
			count int
			role  persimmoncart.Role
		}{
			{c.ApplicationEndpoints, persimmoncart.RoleApplication},
			{c.DecodeEngines, persimmoncart.RoleDecode},
			{c.PrefillEngines, persimmoncart.RolePrefill},
		} {
			for n := range r.count {
				list = append(list, d.endpoint(c, r.role, n))
			}
		}
	}
	return list
}

// endpoint returns the endpoint of c with role and number.
func (d Deployment) endpoint(c DataCentre, role persimmoncart.Role, number int) persimmoncart.Endpoint {
	e := persimmoncart.Endpoint{
		// Even numbers refuse old fencing tokens and odd ones ignore them, so that
		// both kinds occur.
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

// An UnknownDeploymentError reports a name that no deployment has.
type UnknownDeploymentError struct {
	Value string
}

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q, want one of %q", e.Value, DeploymentNames)
}
