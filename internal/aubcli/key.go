package aubcli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.yaml.in/yaml/v3"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// newKeyCommand returns the commands for the keys of callers.
func newKeyCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:        "key",
		ShortUsage:  "auburndale key new [flags]",
		ShortHelp:   "make callers' keys",
		LongHelp:    "Example:\n  auburndale key new --name dispatch --workspace zilina",
		FlagSet:     s.newFlagSet("auburndale key"),
		Subcommands: []*ffcli.Command{newKeyNewCommand(s)},
		Exec: func(context.Context, []string) error {
			return s.usageError("key needs the command new")
		},
	}
}

func newKeyNewCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale key new")
	name := fs.String("name", "", "name of the key in tickets")
	workspace := fs.String("workspace", "", "workspace that the key stands for")
	return &ffcli.Command{
		Name:       "new",
		ShortUsage: "auburndale key new --name NAME --workspace WORKSPACE",
		ShortHelp:  "make a key",
		LongHelp: "Prints the part of a ticket that stores the key to standard output, and the key itself to standard error.\n" +
			"The key is shown this once only. It is made on this machine and sent nowhere.\n" +
			"Example:\n  auburndale key new --name dispatch --workspace zilina > key.yaml",
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 || *name == "" || *workspace == "" {
				return s.usageError("key new needs -name and -workspace, and nothing besides")
			}
			secret, stored, err := aubauth.NewKey(*name, *workspace)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.errOut, "The key, shown this once only: %s\n", secret)
			return yaml.NewEncoder(s.out).Encode(keyTicketPart{Keys: []aubapi.Key{stored}})
		},
	}
}

// keyTicketPart is a ticket reduced to its keys.
type keyTicketPart struct {
	Keys []aubapi.Key `yaml:"keys"`
}
