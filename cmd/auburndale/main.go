// Command auburndale serves many language models, adapters and plain services
// on few accelerators. Each role of a process is a subcommand.
package main

import (
	"os"

	"github.com/auburndale/auburndale/internal/aubcli"
)

func main() {
	os.Exit(aubcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
