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

// DeploymentNames are the names of all deployments, sorted.
var DeploymentNames = []string{NameDarJaouz, NamePeachthread}

// A DataCentre is one data centre of a deployment with its replicas.
type DataCentre struct {
	ApplicationEndpoints int
	DecodeEngines        int
	EntryInstances       int // entry instances
	Name                 persimmoncart.DataCentre
	PrefillEngines       int
	Region               persimmoncart.Region
}

// A Deployment is the sizes of one deployment (docs/design.md, section 4).
type Deployment struct {
	Application persimmoncart.PoolName
	DataCentres []DataCentre
	Model       persimmoncart.ModelName
	Name        string
	Pool        persimmoncart.PoolName // of engines
	WeightBytes int64                  // bytes
}

// DarJaouz returns dar-jaouz at today's sizes.
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

// DeploymentByName returns the deployment at today's sizes, or a *NameError.
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

// Peachthread returns peachthread at today's sizes.
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

// endpoint returns one endpoint.
func (d Deployment) endpoint(c DataCentre, role persimmoncart.Role, number int) persimmoncart.Endpoint {
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

// A UnknownDeploymentError reports the name of no deployment.
type UnknownDeploymentError struct {
	Value string
}

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q, want one of %q", e.Value, DeploymentNames)
}
