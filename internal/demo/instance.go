package demo

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/engine"
	"github.com/persimmoncart/persimmoncart/internal/entry"
	"github.com/persimmoncart/persimmoncart/internal/instancelist"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/transport"
)

// gracePeriod is the time in which a load balancer would detect that an instance
// stops.
const gracePeriod = 100 * time.Millisecond

// An instance is an entry instance with open listeners.
type instance struct {
	*entry.Instance
	addr netip.AddrPort // for callers
}

// newInstance returns an instance that reads its configuration from the store and
// finds other instances through the instance list.
func (d *Runner) newInstance(ctx context.Context, self persimmoncart.Instance) (*instance, error) {
	var listeners [2]net.Listener
	for n := range listeners {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback.String())
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", self.ID)
		}
		listeners[n] = l
	}
	self.Addr = listeners[1].Addr().(*net.TCPAddr).AddrPort()
	client := transport.NewClient(nil)
	i := &entry.Instance{
		Applications:   &application.Clients{HTTP: client},
		CallerListener: listeners[0],
		Engines:        &engine.Clients{HTTP: client},
		Grace:          gracePeriod,
		Logger:         d.Log.With().Str("instance", string(self.ID)).Logger(),
		Metrics:        metrics.New(),
		PeerListener:   listeners[1],
		Self:           self,
		Store:          &objectapi.Client{Addr: d.platform.StoreAddr, HTTP: client, Timer: d.Timer},
		Timer:          d.Timer,
	}
	peers := &entry.Peers{
		HTTP:         peer.NewHTTPClient(nil),
		InstanceList: &instancelist.Client{Addr: d.platform.ListAddr, HTTP: client},
	}
	peers.Join(i)
	return &instance{Instance: i, addr: listeners[0].Addr().(*net.TCPAddr).AddrPort()}, nil
}

// addToInstanceList adds the instances to the instance list, without a delay until
// they are listed.
func (d *Runner) addToInstanceList(instances []*instance) {
	d.platform.List.Lag = 0
	d.platform.List.Change(func(list []persimmoncart.ListEntry) []persimmoncart.ListEntry {
		for _, i := range instances {
			list = append(list, persimmoncart.ListEntry{Instance: &i.Self})
		}
		return list
	})
}
