package instancelist

import (
	"net/netip"

	"github.com/persimmoncart/persimmoncart"
)

// A wireEndpoint is the JSON form of an endpoint.
type wireEndpoint struct {
	Addr    netip.AddrPort            `json:"addr"`
	Auth    bool                      `json:"auth,omitempty"` // authenticates the sender of an order
	Blocks  int                       `json:"blocks,omitempty"`
	Centre  persimmoncart.DataCentre  `json:"centre"`
	Fence   bool                      `json:"fence,omitempty"` // refuses calls with an old fencing token
	ID      persimmoncart.EndpointID  `json:"id"`
	Leaving bool                      `json:"leaving,omitempty"`
	Models  []persimmoncart.ModelName `json:"models,omitempty"`
	Pool    persimmoncart.PoolName    `json:"pool"`
	Region  persimmoncart.Region      `json:"region"`
	Repeat  bool                      `json:"repeat,omitempty"` // runs each idempotency key once
	Role    persimmoncart.Role        `json:"role"`
	Slots   int                       `json:"slots,omitempty"`
}

// endpoint converts e to an Endpoint.
func (e wireEndpoint) endpoint() *persimmoncart.Endpoint {
	return &persimmoncart.Endpoint{
		Addr:         e.Addr,
		Blocks:       e.Blocks,
		Capabilities: persimmoncart.Capabilities{Authenticates: e.Auth, Fences: e.Fence, Deduplicates: e.Repeat},
		DataCentre:   e.Centre,
		ID:           e.ID,
		Leaving:      e.Leaving,
		Models:       e.Models,
		Pool:         e.Pool,
		Region:       e.Region,
		Role:         e.Role,
		Slots:        e.Slots,
	}
}

// newWireEndpoint returns the JSON form of e.
func newWireEndpoint(e *persimmoncart.Endpoint) wireEndpoint {
	return wireEndpoint{
		Addr:    e.Addr,
		Auth:    e.Capabilities.Authenticates,
		Blocks:  e.Blocks,
		Centre:  e.DataCentre,
		Fence:   e.Capabilities.Fences,
		ID:      e.ID,
		Leaving: e.Leaving,
		Models:  e.Models,
		Pool:    e.Pool,
		Region:  e.Region,
		Repeat:  e.Capabilities.Deduplicates,
		Role:    e.Role,
		Slots:   e.Slots,
	}
}

// A wireInstance is the JSON form of an entry instance.
type wireInstance struct {
	Addr        netip.AddrPort            `json:"addr"`
	Centre      persimmoncart.DataCentre  `json:"centre"`
	ID          persimmoncart.InstanceID  `json:"id"`
	Incarnation persimmoncart.Incarnation `json:"incarnation"`
	Leaving     bool                      `json:"leaving,omitempty"`
	Region      persimmoncart.Region      `json:"region"`
}

// instance converts i to an Instance.
func (i wireInstance) instance() *persimmoncart.Instance {
	return &persimmoncart.Instance{
		Addr:        i.Addr,
		DataCentre:  i.Centre,
		ID:          i.ID,
		Incarnation: i.Incarnation,
		Leaving:     i.Leaving,
		Region:      i.Region,
	}
}

// newWireInstance returns the JSON form of i.
func newWireInstance(i *persimmoncart.Instance) wireInstance {
	return wireInstance{
		Addr:        i.Addr,
		Centre:      i.DataCentre,
		ID:          i.ID,
		Incarnation: i.Incarnation,
		Leaving:     i.Leaving,
		Region:      i.Region,
	}
}

// A wireList is the response to a List request.
type wireList struct {
	Endpoints []wireEndpoint `json:"endpoints"`
	Instances []wireInstance `json:"instances"`
}

// entries returns the entries of the list, instances first.
func (l wireList) entries() []persimmoncart.ListEntry {
	list := make([]persimmoncart.ListEntry, 0, len(l.Instances)+len(l.Endpoints))
	for _, i := range l.Instances {
		list = append(list, persimmoncart.ListEntry{Instance: i.instance()})
	}
	for _, e := range l.Endpoints {
		list = append(list, persimmoncart.ListEntry{Endpoint: e.endpoint()})
	}
	return list
}
