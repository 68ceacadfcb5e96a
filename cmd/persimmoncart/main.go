// Command persimmoncart is the entry instance: it serves callers from pools of
// prefill engines, decode engines and application endpoints.
package main

import (
	"os"

	"github.com/persimmoncart/persimmoncart/cmd/persimmoncart/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
