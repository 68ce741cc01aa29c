// Command measure prints the measurements of the decisions as Markdown.
package main

import (
	"os"

	"github.com/bramleyhinge/bramleyhinge/internal/cli"
)

func main() {
	os.Exit(cli.Measure(os.Args[1:], os.Stdout, os.Stderr))
}
