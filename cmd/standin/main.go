// Command standin runs one stand-in for tests: platform, engine, plain service or rater.
package main

import (
	"os"

	"github.com/bramleyhinge/bramleyhinge/internal/cli"
)

func main() {
	os.Exit(cli.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
