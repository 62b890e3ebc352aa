package aubcodec

import (
	"google.golang.org/protobuf/proto"

	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// EncodeTicket encodes the ticket as a command of the replicated log.
func EncodeTicket(t aubapi.Ticket) ([]byte, error) {
	return proto.Marshal(&aubwire.TicketCommand{
		Number:  t.Number,
		Objects: ObjectsToWire(TicketObjects(t)),
		Remove:  IDsToWire(t.Remove),
	})
}

// DecodeTicket decodes the ticket from a command of the replicated log.
func DecodeTicket(body []byte) (aubapi.Ticket, error) {
	var cmd aubwire.TicketCommand
	if err := proto.Unmarshal(body, &cmd); err != nil {
		return aubapi.Ticket{}, err
	}
	objects := ObjectsFromWire(0, cmd.GetObjects())
	return aubapi.Ticket{
		Number:     cmd.GetNumber(),
		Workspaces: objects.Workspaces,
		Keys:       objects.Keys,
		Models:     objects.Models,
		Adapters:   objects.Adapters,
		Routes:     objects.Routes,
		Remove:     IDsFromWire(cmd.GetRemove()),
	}, nil
}

// TicketObjects returns the objects that a ticket sets.
func TicketObjects(t aubapi.Ticket) aubquery.ConfigObjects {
	return aubquery.ConfigObjects{
		Workspaces: t.Workspaces,
		Keys:       t.Keys,
		Models:     t.Models,
		Adapters:   t.Adapters,
		Routes:     t.Routes,
	}
}

// EncodeOutcome encodes the outcome as the result of a command.
func EncodeOutcome(o aubapi.TicketOutcome) ([]byte, error) {
	return proto.Marshal(&aubwire.TicketResult{
		Number:  o.Number,
		Status:  string(o.Status),
		Version: o.Version,
		Faults:  FaultsToWire(o.Faults),
	})
}

// DecodeOutcome decodes the outcome from the result of a command.
func DecodeOutcome(body []byte) (aubapi.TicketOutcome, error) {
	var result aubwire.TicketResult
	if err := proto.Unmarshal(body, &result); err != nil {
		return aubapi.TicketOutcome{}, err
	}
	return aubapi.TicketOutcome{
		Number:  result.GetNumber(),
		Status:  aubapi.TicketStatus(result.GetStatus()),
		Version: result.GetVersion(),
		Faults:  FaultsFromWire(result.GetFaults()),
	}, nil
}
