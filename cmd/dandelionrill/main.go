// Command dandelionrill runs a router or an operator tool.
package main

import (
	"os"

	"dandelionrill.example/fleet/cli"
)

func main() { os.Exit(cli.Main(cli.SignalContext(), os.Args[1:], cli.SystemEnvironment())) }
