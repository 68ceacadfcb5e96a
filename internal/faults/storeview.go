package faults

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
)

// A storeView is the access of an operator to the store, with the same faults as the
// access of the instances.
type storeView struct {
	persimmoncart.Store

	cluster *cluster
}

// Create implements persimmoncart.Store.
func (v *storeView) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return v.write("create", key, func() (persimmoncart.Version, error) { return v.Store.Create(ctx, key, value) })
}

// Get implements persimmoncart.Store.
func (v *storeView) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	if v.cluster.storeFault(objectapi.CallRead).Down {
		return persimmoncart.Object{}, &persimmoncart.UnavailableError{Err: errors.New("store is down"), Operation: "get"}
	}
	return v.Store.Get(ctx, key)
}

// Update implements persimmoncart.Store.
func (v *storeView) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	return v.write("update", key, func() (persimmoncart.Version, error) { return v.Store.Update(ctx, key, value, version) })
}

// write runs f with the cluster's faults. A lost response gives an *AmbiguousError.
func (v *storeView) write(operation, key string, f func() (persimmoncart.Version, error)) (persimmoncart.Version, error) {
	fault := v.cluster.storeFault(objectapi.CallWrite)
	if fault.Down {
		return 0, &persimmoncart.UnavailableError{Err: errors.New("store is down"), Operation: operation}
	}
	version, err := f()
	if fault.ResponseLost {
		return 0, &persimmoncart.AmbiguousError{Err: errors.New("response was lost"), Key: key}
	}
	return version, err
}
