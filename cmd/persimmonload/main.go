// Command persimmonload is a load generator: it sends requests to entry instances
// and checks every response.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/persimmoncart/persimmoncart/cmd/persimmonload/internal/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmd.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
