package persimmoncart

import (
	"context"
	"net/netip"
)

// An Instance describes one entry instance to its peers.
type Instance struct {
	Addr        netip.AddrPort
	DataCentre  DataCentre
	ID          InstanceID
	Incarnation Incarnation
	Leaving     bool // shutting down
	Region      Region
}

// Tag returns the tag of this incarnation of the instance.
func (i Instance) Tag() Tag {
	return Tag{Incarnation: i.Incarnation, Instance: i.ID}
}

// An InstanceList reads the platform's list of entry instances and endpoints.
//
// The list lags behind the actual state by up to some tens of seconds.
type InstanceList interface {
	// List returns all live and leaving entries.
	List(ctx context.Context) ([]ListEntry, error)
}

// A ListEntry is one entry of the platform's instance list. Exactly one of
// Endpoint and Instance is set.
type ListEntry struct {
	Endpoint *Endpoint
	Instance *Instance
}
