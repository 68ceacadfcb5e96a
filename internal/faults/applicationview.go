package faults

import (
	"context"
	"net/netip"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

var (
	_ persimmoncart.Application  = (*applicationView)(nil)
	_ persimmoncart.Applications = (*applicationsView)(nil)
)

// An applicationsView is the access of one instance to the application endpoints,
// with the cluster's faults applied.
type applicationsView struct {
	node *node
}

// Application implements persimmoncart.Applications.
func (v *applicationsView) Application(addr netip.AddrPort) persimmoncart.Application {
	return &applicationView{Application: v.node.cluster.applications.Application(addr), addr: addr, node: v.node}
}

// An applicationView is the access of one instance to one application endpoint,
// with the cluster's faults applied.
type applicationView struct {
	persimmoncart.Application

	addr netip.AddrPort
	node *node
}

// Call implements persimmoncart.Application.
func (v *applicationView) Call(ctx context.Context, request persimmoncart.CallRequest) (*persimmoncart.CallResponse, error) {
	cluster := v.node.cluster
	region := cluster.regionOf(v.addr)
	if err := v.node.send("call", region); err != nil {
		return nil, err
	}
	cluster.checkDrained(v.addr)
	response, err := v.Application.Call(ctx, request)
	if ran(err) {
		cluster.recordRun(request)
	}
	if delay := cluster.responseDelay(); delay > 0 {
		time.Sleep(delay)
	}
	if err := v.node.receive(region, err); err != nil {
		if cluster.disabledGuard == NotRunTrue {
			return nil, &persimmoncart.EndpointRefusedError{Addr: v.addr, Reason: "guard is disabled"}
		}
		return nil, err
	}
	if response != nil && cluster.mismatchAttempt() {
		if cluster.disabledGuard == AnsweredOnce || cluster.disabledGuard == WholeAnswer {
			response.Body = []byte("response to another call")
			return response, nil
		}
		response.Attempt.Number++
	}
	return response, nil
}

// Load implements persimmoncart.Application.
func (v *applicationView) Load(ctx context.Context) (persimmoncart.LoadReport, error) {
	region := v.node.cluster.regionOf(v.addr)
	if err := v.node.send("load", region); err != nil {
		return persimmoncart.LoadReport{}, err
	}
	report, err := v.Application.Load(ctx)
	return report, v.node.receive(region, err)
}

// ran reports whether the application may have executed the call that returned err.
func ran(err error) bool {
	switch err.(type) { //nolint:errorlint // The fake returns these errors unwrapped.
	case *persimmoncart.EndpointRefusedError, *persimmoncart.UnavailableError:
		return false
	default:
		return true
	}
}
