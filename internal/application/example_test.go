package application_test

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/application"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// An endpoint that fails after it ran a call leaves the outcome unknown.
func ExampleFake() {
	records := &application.Records{}
	f := application.NewFake(netip.MustParseAddrPort("10.0.0.1:80"), records, timer.NewVirtual(time.Unix(0, 0)))
	f.CallTime = 0
	f.Change(func(f *application.Faults) { f.Fail = true })
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the virtual time does not advance
	_, err := f.Call(ctx, persimmoncart.CallRequest{Key: "k", Method: "POST", Path: "/new"})
	fmt.Println(err != nil, records.All()["k"].Runs)
	// Output:
	// true 1
}
