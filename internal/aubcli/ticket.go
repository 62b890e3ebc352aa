package aubcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// defaultWaitTimeout is the default time that ticket apply waits until all processes
// have applied the ticket.
const defaultWaitTimeout = 20 * time.Second

// newTicketCommand returns the commands that apply and show change tickets.
func newTicketCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale ticket")
	return &ffcli.Command{
		Name:        "ticket",
		ShortUsage:  "auburndale ticket <apply|show> [flags]",
		ShortHelp:   "apply or show change tickets",
		LongHelp:    "Example:\n  auburndale ticket apply examples/tickets/1.yaml --wait --credential_file admin.credential",
		FlagSet:     fs,
		Subcommands: []*ffcli.Command{newTicketApplyCommand(s), newTicketShowCommand(s)},
		Exec: func(context.Context, []string) error {
			return s.usageError("ticket needs one of the commands apply and show")
		},
	}
}

// ticketApplyCommand is the command that applies one ticket.
type ticketApplyCommand struct {
	streams
	flags       *flag.FlagSet
	admin       adminFlags
	wait        bool
	waitTimeout time.Duration
}

func newTicketApplyCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale ticket apply")
	c := &ticketApplyCommand{streams: s, flags: fs}
	c.admin.register(fs)
	fs.BoolVar(&c.wait, "wait", false, "wait until every known process has the ticket in force, and name those that have not")
	fs.DurationVar(&c.waitTimeout, "wait_timeout", defaultWaitTimeout, "longest wait, up to 60s")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "auburndale ticket apply FILE [flags]",
		ShortHelp:  "apply the ticket of a YAML or JSON file; - reads standard input",
		LongHelp: "A ticket that was sent before is applied once and gets its first outcome, so repeating the command is safe.\n" +
			"Exit code 0: accepted, and with --wait in force everywhere. 1: refused, unknown or not in force everywhere. 2: wrong usage.\n" +
			"Example:\n  auburndale ticket apply examples/tickets/1.yaml --wait --credential_file admin.credential",
		FlagSet: fs,
		Exec:    c.exec,
	}
}

func (c *ticketApplyCommand) exec(ctx context.Context, args []string) error {
	args, err := c.parseInterspersed(c.flags, args)
	if err != nil {
		return err
	}
	if len(args) != 1 {
		return c.usageError("ticket apply needs one FILE, not %d", len(args))
	}
	client, err := c.admin.newClient(c.streams)
	if err != nil {
		return err
	}
	ticket, err := readTicketFile(args[0])
	if err != nil {
		return err
	}
	outcome, err := client.ApplyTicket(ctx, ticket, c.waitDuration())
	if err != nil {
		return fmt.Errorf("ticket %d: %w", ticket.Number, err)
	}
	printOutcome(c.out, outcome)
	return c.checkOutcome(outcome)
}

func (c *ticketApplyCommand) waitDuration() time.Duration {
	if !c.wait {
		return 0
	}
	return c.waitTimeout
}

// checkOutcome returns an error unless the ticket was accepted and, with the flag wait,
// is active everywhere.
func (c *ticketApplyCommand) checkOutcome(o aubapi.TicketOutcome) error {
	if o.Status != aubapi.TicketAccepted {
		return fmt.Errorf("ticket %d: %s", o.Number, o.Status)
	}
	if c.wait && !o.InForce {
		return fmt.Errorf("ticket %d is accepted but not confirmed by: %s", o.Number, strings.Join(o.Unconfirmed, ", "))
	}
	return nil
}

func newTicketShowCommand(s streams) *ffcli.Command {
	fs := s.newFlagSet("auburndale ticket show")
	var admin adminFlags
	admin.register(fs)
	return &ffcli.Command{
		Name:       "show",
		ShortUsage: "auburndale ticket show NUMBER [flags]",
		ShortHelp:  "show the outcome of a ticket",
		LongHelp:   "Example:\n  auburndale ticket show 1 --credential_file admin.credential",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := s.parseInterspersed(fs, args)
			if err != nil {
				return err
			}
			if len(args) != 1 {
				return s.usageError("ticket show needs one NUMBER, not %d", len(args))
			}
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return s.usageError("NUMBER is %q; allowed is a whole number", args[0])
			}
			client, err := admin.newClient(s)
			if err != nil {
				return err
			}
			outcome, err := client.Ticket(ctx, number)
			if err != nil {
				return err
			}
			printOutcome(s.out, outcome)
			return nil
		},
	}
}

func readTicketFile(name string) (aubapi.Ticket, error) {
	data, err := readInput(name)
	if err != nil {
		return aubapi.Ticket{}, err
	}
	format := aubapi.FormatYAML
	if strings.HasSuffix(name, ".json") {
		format = aubapi.FormatJSON
	}
	ticket, err := aubapi.DecodeTicket(data, format)
	if decodeErr, ok := errors.AsType[*aubapi.DecodeError](err); ok {
		return aubapi.Ticket{}, fmt.Errorf("%s:\n%s", name, formatFaults(decodeErr.Faults))
	}
	return ticket, err
}

// readInput reads a file, or standard input if the name is a dash. Standard input is
// limited to one byte more than a ticket may have, so that the decoder refuses more.
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, aubapi.MaxTicketBytes+1))
	}
	return os.ReadFile(name)
}

func printOutcome(w io.Writer, o aubapi.TicketOutcome) {
	fmt.Fprintf(w, "ticket %d: %s", o.Number, o.Status)
	if o.Version > 0 {
		fmt.Fprintf(w, ", version %d", o.Version)
	}
	if o.InForce {
		fmt.Fprint(w, ", in force everywhere")
	}
	fmt.Fprintln(w)
	if len(o.Faults) > 0 {
		fmt.Fprintln(w, formatFaults(o.Faults))
	}
	for _, name := range o.Unconfirmed {
		fmt.Fprintf(w, "  not confirmed by %s\n", name)
	}
}

func formatFaults(faults []aubapi.Fault) string {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
