package capacity

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart/internal/peer"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

const (
	costCalls   = 4000 // calls over which the cost of a message is averaged
	costServers = 32   // servers over which the cost of a connection is averaged
)

// Costs holds the costs of the real transport over loopback, which the simulation does
// not include.
type Costs struct {
	ConnectionBytes float64 // heap in bytes for both ends of a connection to a peer
	MessageSeconds  float64 // processor time in seconds for sending and receiving one message
}

// measureCosts measures calls to real servers over loopback, without TLS.
func measureCosts() (Costs, error) {
	handler := http.NewServeMux()
	for path, h := range (&peer.Server{Handler: probeHandler{}, Meter: &peer.Meter{}}).Routes() {
		handler.Handle(path, h)
	}
	client := &peer.Client{HTTP: peer.NewHTTPClient(nil), Meter: &peer.Meter{}}
	defer client.HTTP.CloseIdleConnections()
	var addrs []netip.AddrPort
	for range costServers {
		server := httptest.NewUnstartedServer(handler)
		server.Config.Protocols = &http.Protocols{}
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		server.Start()
		defer server.Close()
		addr, err := netip.ParseAddrPort(server.Listener.Addr().String())
		if err != nil {
			return Costs{}, errors.Wrap(err, "parse address of server")
		}
		addrs = append(addrs, addr)
	}
	before := heap()
	if err := callAll(client, addrs, 4); err != nil {
		return Costs{}, err
	}
	connection := (heap() - before) / costServers
	begin := processorTime()
	if err := callAll(client, addrs, costCalls/costServers); err != nil {
		return Costs{}, err
	}
	// One call is two messages, each sent by one end and received by the other.
	message := (processorTime() - begin).Seconds() / costCalls / 2
	return Costs{ConnectionBytes: max(connection, 0), MessageSeconds: message}, nil
}

// callAll sends count probes to each address. It calls all addresses in parallel and
// waits for their replies before the next round. It returns the joined errors.
func callAll(client *peer.Client, addrs []netip.AddrPort, count int) error {
	var mutex sync.Mutex
	var failed error
	for range count {
		var group sync.WaitGroup
		for _, addr := range addrs {
			group.Add(1)
			request := &memberv1.ProbeRequest{From: &memberv1.Entry{Id: "dc-00-000", Incarnation: 1764800000}, Sequence: 1}
			client.Call(addr, request, time.Minute, func(_ proto.Message, err error) {
				defer group.Done()
				mutex.Lock()
				defer mutex.Unlock()
				failed = errors.Join(failed, err)
			})
		}
		group.Wait()
	}
	return failed
}

// A probeHandler answers probes.
type probeHandler struct{}

// Handle implements peer.Handler.
func (probeHandler) Handle(request proto.Message, respond func(proto.Message, error)) {
	r, ok := request.(*memberv1.ProbeRequest)
	if !ok {
		respond(nil, fmt.Errorf("unexpected request type %T", request))
		return
	}
	respond(&memberv1.ProbeReply{From: r.GetFrom(), Sequence: r.GetSequence()}, nil)
}

// heap returns the size of the live objects on the heap in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// processorTime returns the processor time that this process has used, or zero if it is
// not available.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureMemory returns the mean heap of one node in bytes, including a copy of the
// configuration and the connections to its peers.
func measureMemory(nodes int, seed uint64, costs Costs) float64 {
	before := heap()
	snapshot := newTopology(nodes).snapshot()
	configuration := heap() - before
	runtime.KeepAlive(snapshot)
	before = heap()
	f := newFleet(nodes, seed)
	f.timer.Advance(settleTime)
	used := heap() - before - configuration
	connections := 0
	for _, n := range f.nodes {
		connections += len(n.peers)
	}
	runtime.KeepAlive(f)
	return used/float64(nodes) + configuration + costs.ConnectionBytes*float64(connections)/float64(nodes)
}
