// Command persimmonfake runs fakes of the systems that the router calls: the
// store, the weight store, the instance list, engines and application endpoints.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/persimmoncart/persimmoncart/cmd/persimmonfake/internal/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
