// Command dandelionrill runs a router and the tools of operators.
package main

import (
	"os"

	"dandelionrill.example/fleet/cli"
)

func main() { os.Exit(cli.Main(cli.SignalContext(), os.Args[1:], cli.System())) }
