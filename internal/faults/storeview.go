package faults

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/objectapi"
)

// A storeView is an operator's access to the store, which fails as the
// instances' access does.
type storeView struct {
	persimmoncart.Store

	world *world
}

// Create implements persimmoncart.Store.
func (v *storeView) Create(ctx context.Context, key string, value []byte) (persimmoncart.Version, error) {
	return v.write("create", key, func() (persimmoncart.Version, error) { return v.Store.Create(ctx, key, value) })
}

// Get implements persimmoncart.Store.
func (v *storeView) Get(ctx context.Context, key string) (persimmoncart.Object, error) {
	if v.world.storeFault(objectapi.CallRead).Down {
		return persimmoncart.Object{}, &persimmoncart.UnavailableError{Err: errors.New("store is down"), Operation: "get"}
	}
	return v.Store.Get(ctx, key)
}

// Update implements persimmoncart.Store.
func (v *storeView) Update(ctx context.Context, key string, value []byte, version persimmoncart.Version) (persimmoncart.Version, error) {
	return v.write("update", key, func() (persimmoncart.Version, error) { return v.Store.Update(ctx, key, value, version) })
}

// write applies the world's faults to a write.
func (v *storeView) write(op, key string, f func() (persimmoncart.Version, error)) (persimmoncart.Version, error) {
	fault := v.world.storeFault(objectapi.CallWrite)
	if fault.Down {
		return 0, &persimmoncart.UnavailableError{Err: errors.New("store is down"), Operation: op}
	}
	version, err := f()
	if fault.ResponseLost {
		return 0, &persimmoncart.AmbiguousError{Err: errors.New("answer was lost"), Key: key}
	}
	return version, err
}
