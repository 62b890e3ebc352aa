package aubcli

import (
	"context"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.yaml.in/yaml/v3"

	"github.com/auburndale/auburndale/pkg/aubclient"
)

// query reads one kind of object from the administration API.
type query struct {
	kind string
	read func(ctx context.Context, c *aubclient.Client) (any, error)
}

func queries() []query {
	return []query{
		{"workspaces", func(ctx context.Context, c *aubclient.Client) (any, error) { return c.Workspaces(ctx) }},
		{"keys", func(ctx context.Context, c *aubclient.Client) (any, error) { return c.Keys(ctx) }},
		{"models", func(ctx context.Context, c *aubclient.Client) (any, error) { return c.Models(ctx) }},
		{"adapters", func(ctx context.Context, c *aubclient.Client) (any, error) { return c.Adapters(ctx) }},
		{"routes", func(ctx context.Context, c *aubclient.Client) (any, error) { return c.Routes(ctx) }},
		{"version", func(ctx context.Context, c *aubclient.Client) (any, error) { return c.Version(ctx) }},
		{"members", func(ctx context.Context, c *aubclient.Client) (any, error) { return c.Members(ctx) }},
	}
}

func queryKinds() []string {
	kinds := make([]string, 0, len(queries()))
	for _, q := range queries() {
		kinds = append(kinds, q.kind)
	}
	return kinds
}

// newGetCommand returns the command that shows objects of the active configuration and
// the known processes.
func newGetCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale get")
	var admin adminFlags
	admin.register(fs)
	kinds := queryKinds()
	allowed := strings.Join(kinds, ", ")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "auburndale get KIND [flags]",
		ShortHelp:  "show objects of the configuration or the known processes as YAML",
		LongHelp:   "KIND is one of " + allowed + ".\nExample:\n  auburndale get models --credential_file admin.credential",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := s.parseInterspersed(fs, args)
			if err != nil {
				return err
			}
			if len(args) != 1 || !slices.Contains(kinds, args[0]) {
				return s.usageError("get needs one KIND: %s", allowed)
			}
			client, err := admin.newClient(s)
			if err != nil {
				return err
			}
			result, err := queries()[slices.Index(kinds, args[0])].read(ctx, client)
			if err != nil {
				return err
			}
			return yaml.NewEncoder(s.out).Encode(result)
		},
	}
}
