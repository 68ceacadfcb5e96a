// Command persimmoncart runs an entry instance, which routes the requests of
// callers to pools of prefill engines, decode engines and application endpoints.
package main

import (
	"os"

	"github.com/persimmoncart/persimmoncart/cmd/persimmoncart/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
