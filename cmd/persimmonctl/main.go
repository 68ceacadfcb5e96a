// Command persimmonctl is the command-line tool for operators: it compares,
// applies, inspects and rolls back the configuration of a deployment.
package main

import (
	"os"

	"github.com/persimmoncart/persimmoncart/cmd/persimmonctl/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
