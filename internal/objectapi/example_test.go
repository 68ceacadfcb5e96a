package objectapi_test

import (
	"context"
	"fmt"
	"time"

	"github.com/persimmoncart/persimmoncart/internal/objectapi"
	"github.com/persimmoncart/persimmoncart/internal/timer"
)

// After a lost response the client reads the object to find out whether the write
// took effect.
func ExampleFaulty() {
	ctx := context.Background()
	clock := timer.NewVirtual(time.Unix(0, 0))
	memory := &objectapi.Memory{Timer: clock}
	store := &objectapi.Faulty{Store: memory, Timer: clock}
	store.LoseResponses(1)
	_, err := store.Create(ctx, "claims/7", []byte("nonce 1"))
	fmt.Println(err)
	o, _ := store.Get(ctx, "claims/7")
	fmt.Printf("version %d: %s\n", o.Version, o.Value)
	// Output:
	// write of "claims/7" may have taken effect: answer was lost
	// version 1: nonce 1
}
