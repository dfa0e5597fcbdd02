// Command lacewingwheel runs the router and the tools for its operators.
package main

import (
	"os"

	"lacewingwheel.example/lacewingwheel/pkg/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
