package peer_test

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart/internal/peer"
	"github.com/persimmoncart/persimmoncart/internal/timer"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

func ExampleNetwork() {
	v := timer.NewVirtual(time.Unix(0, 0))
	network := &peer.Network{Timer: v}
	sfax, kass := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.1.1:7000")
	network.Port(kass).Handler = peer.Mux{"member": echoHandler{}}
	network.Port(sfax).Call(kass, &memberv1.ProbeRequest{Sequence: 5}, time.Second, func(reply proto.Message, err error) {
		fmt.Println(reply.(*memberv1.ProbeReply).GetSequence(), err)
	})
	v.Advance(time.Second)
	fmt.Println(network.Port(sfax).TotalBytesSent())
	// Output:
	// 5 <nil>
	// 114
}
