package persimmoncart

import (
	"context"
	"net/netip"
)

// An Instance is one entry instance as its peers see it.
type Instance struct {
	Addr        netip.AddrPort
	DataCentre  DataCentre
	ID          InstanceID
	Incarnation Incarnation
	Leaving     bool
	Region      Region
}

// Tag returns the tag of work that the instance starts.
func (i Instance) Tag() Tag {
	return Tag{Incarnation: i.Incarnation, Instance: i.ID}
}

// An InstanceList reads the platform's list of entry instances and endpoints.
//
// The list lags behind the real state by up to some tens of seconds.
type InstanceList interface {
	// List returns every live or leaving entry.
	List(ctx context.Context) ([]ListEntry, error)
}

// A ListEntry is one entry of the platform's instance list. Exactly one of
// Endpoint and Instance is set.
type ListEntry struct {
	Endpoint *Endpoint
	Instance *Instance
}
