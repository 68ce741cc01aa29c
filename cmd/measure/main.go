// Command measure runs the measurements of bramleyhinge and prints the results as Markdown.
package main

import (
	"os"

	"github.com/bramleyhinge/bramleyhinge/internal/cli"
)

func main() {
	os.Exit(cli.Measure(os.Args[1:], os.Stdout, os.Stderr))
}
